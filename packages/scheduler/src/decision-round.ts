import {MAX_ATTEMPTS} from '@amaranthsail/core';
import {reserve, withoutReserved, type ExpectedEnd, type Reservation} from './backfill-reservation.js';
import {DUPLICATE} from './cluster-state.js';
import type {JobEntry} from './job-entry.js';
import type {QueuedJob} from './ordering-policy.js';
import type {ReclaimPlan} from './reclaim-planner.js';
import type {Decision, PlacedTask} from './scheduler.js';
import type {SchedulerState} from './scheduler-state.js';
import type {WorkerState} from './worker-state.js';

/** Reservations of one round; more would leave too little for the work behind them. */
const MAX_RESERVATIONS = 2;

/** Part of the accelerators that second attempts may use at once. */
const DUPLICATE_SHARE = 0.1;

/** Number of workers from which on a round makes one reservation only, because each looks at every worker about 15 times. */
const MANY_WORKERS = 100;

/** Workers that the searches for moves may look at in one round, so that a round stays short on many workers. */
const MIGRATION_BUDGET = 200;

/** A job runs at least this long between two moves, ten times what a checkpoint takes. */
const MIN_RUN_BEFORE_MOVE_MS = 30_000;

/** A job that is expected to end within this time is not moved. */
const MIN_REMAINING_FOR_MOVE_MS = 20_000;

/** One run of `decide`. */
export class DecisionRound {
	readonly #state: SchedulerState;
	readonly #nowMs: number;
	readonly #decisions: Decision[] = [];
	readonly #reservations: Reservation[] = [];
	/** Kinds of jobs that did not fit, with the shortest estimate that did not; nothing is freed within a round. */
	readonly #unplaceable = new Map<string, number>();
	readonly #unreclaimable = new Set<string>();
	#migrationTries = 0;
	readonly #outside = new Set<string>();
	#ends: readonly ExpectedEnd[] | undefined;

	/**
	 * @param state - What the scheduler knows.
	 * @param nowMs - The present time.
	 */
	constructor(state: SchedulerState, nowMs: number) {
		this.#state = state;
		this.#nowMs = nowMs;
	}

	/**
	 * Makes the decisions that are due.
	 *
	 * @returns The decisions in the order in which they should be carried out.
	 */
	run(): readonly Decision[] {
		this.#finishReclaims();
		this.#giveUp();
		const queue = [...this.#state.waiting.values()].map(entry => this.#state.queued(entry, this.#nowMs));
		const {ordering} = this.#state;
		const ordered = ordering.order(queue, this.#nowMs);
		// What accounts were promised comes before any ordering.
		for (const job of ordered) {
			const entry = this.#state.waiting.get(job.jobId)!;
			if (this.#isInside(entry)) {
				this.#placeInside(entry, job);
			}
		}

		for (const job of ordered) {
			const entry = this.#state.waiting.get(job.jobId);
			if (!entry) {
				continue;
			}

			this.#placeOutside(entry, job);
			if (ordering.blocksBehindHead && this.#state.waiting.has(job.jobId)) {
				break;
			}
		}

		this.#duplicateStragglers();
		return this.#decisions;
	}

	#finishReclaims(): void {
		for (const [jobId, entry] of this.#state.reclaiming) {
			const isLost = entry.tasks.some(task => {
				const worker = this.#state.cluster.workers.get(task.workerId);
				return !worker?.usable || worker.endpointFor(entry.spec.service) === undefined;
			});
			if (isLost) {
				this.#state.reclaiming.delete(jobId);
				this.#state.release(entry, this.#nowMs);
				this.#state.enqueue(entry);
			} else if (entry.victims.size === 0) {
				this.#state.reclaiming.delete(jobId);
				this.#announce(entry, entry.tasks);
			}
		}
	}

	#giveUp(): void {
		for (const [jobId, entry] of this.#state.waiting) {
			const hasNowhereToGo = entry.failureCount >= MAX_ATTEMPTS && entry.avoided.size === 0;
			if (entry.failedWorkers.size > 0 && (hasNowhereToGo || this.#state.health.neverRuns(entry.failedWorkers))) {
				this.#state.dequeue(entry);
				this.#state.jobs.delete(jobId);
				this.#state.health.absolve(jobId);
				const message = `failed on the workers ${[...entry.failedWorkers].join(', ')}`;
				this.#decisions.push({kind: 'refuse', jobId, refusal: {code: 'never_runs', message, retryable: false}});
			}
		}
	}

	#isInside(entry: JobEntry): boolean {
		const key = kindOf(entry);
		if (this.#outside.has(key)) {
			return false;
		}

		const isInside = this.#state.isInside(entry.spec);
		if (!isInside) {
			this.#outside.add(key);
		}

		return isInside;
	}

	#placeInside(entry: JobEntry, job: QueuedJob): void {
		const key = kindOf(entry);
		if (this.#unreclaimable.has(key)) {
			return;
		}

		const {placer, planner, cluster, ordering} = this.#state;
		const accepts = this.#accepts(entry);
		const tasks = placer.place(entry.spec, cluster.views(entry.spec, accepts), ordering.fit);
		if (tasks) {
			this.#place(entry, tasks, true);
			return;
		}

		const plan = planner.plan(entry.spec, accepts, jobId => this.#state.reclaiming.get(jobId)?.inside ?? false, ordering.fit);
		if (!plan) {
			this.#unreclaimable.add(key);
			return;
		}

		this.#hold(entry, plan, true);
	}

	/** Books the place of a plan and stops what is on it. */
	#hold(entry: JobEntry, plan: ReclaimPlan, isInside: boolean): void {
		const {jobId} = entry.job;
		this.#state.dequeue(entry);
		entry.phase = 'reclaiming';
		this.#state.reclaiming.set(jobId, entry);
		this.#state.book(entry, plan.tasks, isInside, this.#nowMs);
		for (const victimId of plan.victims) {
			const victim = this.#state.jobs.get(victimId)!;
			if (victim.phase === 'reclaiming') {
				// It only holds its place for a move; what runs there is a victim of its own.
				this.#state.reclaiming.delete(victimId);
				this.#state.release(victim, victim.placedAtMs);
				this.#state.enqueue(victim);
				continue;
			}

			entry.victims.add(victimId);
			this.#preempt(victim, jobId, isInside);
		}

		if (entry.victims.size === 0) {
			this.#state.reclaiming.delete(jobId);
			this.#announce(entry, plan.tasks);
		}
	}

	#preempt(victim: JobEntry, forJobId: string, reclaim: boolean): void {
		if (victim.isPreempted) {
			return;
		}

		victim.isPreempted = true;
		const graceMs = victim.spec.checkpointable ? this.#state.config.policy.checkpointGraceMs : 0;
		this.#decisions.push({
			kind: 'preempt', jobId: victim.job.jobId, forJobId, graceMs, reclaim,
		});
	}

	#placeOutside(entry: JobEntry, job: QueuedJob): void {
		const key = kindOf(entry);
		if ((this.#unplaceable.get(key) ?? Infinity) <= job.estimateMs || this.#state.isOverAccountLimit(entry.spec) || this.#state.isOutOfLane(entry.spec)) {
			return;
		}

		const {placer, cluster, ordering} = this.#state;
		const views = withoutReserved(cluster.views(entry.spec, this.#accepts(entry)), this.#reservations, this.#nowMs + job.estimateMs);
		const tasks = placer.place(entry.spec, views, ordering.fit);
		if (tasks) {
			this.#place(entry, tasks, false);
			return;
		}

		if (this.#migrateFor(entry, job)) {
			return;
		}

		this.#unplaceable.set(key, this.#reservations.length === 0 ? 0 : job.estimateMs);
		if (this.#reservations.length < this.#maxReservations() && ordering.wantsReservation(job, this.#nowMs)) {
			const reservation = reserve(entry, cluster, this.#expectedEnds(), {accepts: this.#accepts(entry), fit: ordering.fit});
			if (reservation) {
				this.#reservations.push(reservation);
			}
		}
	}

	/** Moves are made one at a time, because a moved job is without a place until it has stopped. */
	#migrateFor(entry: JobEntry, job: QueuedJob): boolean {
		const {reclaiming, migrations, jobs, ordering} = this.#state;
		if (reclaiming.size > 0 || this.#migrationTries >= this.#maxMigrationTries() || !ordering.wantsMigration(job, this.#nowMs)) {
			return false;
		}

		this.#migrationTries++;
		const plan = migrations.plan(
			entry,
			jobs,
			candidate => this.#mayMove(candidate),
			(candidate, worker) => this.#state.accepts(candidate, worker, this.#nowMs),
		);
		if (!plan) {
			return false;
		}

		this.#hold(entry, plan, false);
		return true;
	}

	#maxMigrationTries(): number {
		return Math.max(1, Math.floor(MIGRATION_BUDGET / this.#state.cluster.workers.size));
	}

	/** A move has to be cheap next to the work that is left, and a job is not moved again soon. */
	#mayMove(candidate: JobEntry): boolean {
		return candidate.phase === 'placed' && candidate.spec.checkpointable && candidate.spec.repeatable && !candidate.isPreempted
			&& candidate.duplicates.length === 0
			&& this.#elapsedMs(candidate) >= MIN_RUN_BEFORE_MOVE_MS
			&& this.#state.estimates.remainingMs(candidate.spec, this.#elapsedMs(candidate)) >= MIN_REMAINING_FOR_MOVE_MS;
	}

	#maxReservations(): number {
		return this.#state.cluster.workers.size <= MANY_WORKERS ? MAX_RESERVATIONS : 1;
	}

	#place(entry: JobEntry, tasks: readonly PlacedTask[], isInside: boolean): void {
		this.#state.dequeue(entry);
		this.#state.book(entry, tasks, isInside, this.#nowMs);
		this.#announce(entry, tasks);
	}

	#announce(entry: JobEntry, tasks: readonly PlacedTask[]): void {
		const {jobId} = entry.job;
		entry.phase = 'placed';
		this.#state.placed.set(jobId, entry);
		for (const task of tasks) {
			this.#state.health.placed(task.workerId, jobId);
		}

		this.#decisions.push({kind: 'place', jobId, tasks});
	}

	#accepts(entry: JobEntry): (worker: WorkerState) => boolean {
		return worker => this.#state.accepts(entry, worker, this.#nowMs);
	}

	#expectedEnds(): readonly ExpectedEnd[] {
		this.#ends ??= [...this.#state.placed.values()]
			.map(entry => ({jobId: entry.job.jobId, atMs: this.#nowMs + this.#state.estimates.remainingMs(entry.spec, this.#elapsedMs(entry))}))
			.toSorted((left, right) => left.atMs - right.atMs);
		return this.#ends;
	}

	#elapsedMs(entry: JobEntry): number {
		return this.#nowMs - (entry.startedAtMs ?? entry.placedAtMs);
	}

	#duplicateStragglers(): void {
		const {stragglerFactor} = this.#state.config.policy;
		if (stragglerFactor <= 0 || !this.#state.ordering.usesEstimates) {
			return;
		}

		let budget = this.#state.cluster.capacity().accelerators * DUPLICATE_SHARE;
		const stragglers: JobEntry[] = [];
		for (const entry of this.#state.placed.values()) {
			const estimate = this.#state.estimates.estimate(entry.spec);
			if (entry.duplicates.length > 0) {
				budget -= entry.accelerators;
			} else if (entry.spec.repeatable && !entry.isPreempted && entry.startedAtMs !== undefined
				&& estimate.learned && this.#elapsedMs(entry) > estimate.typicalMs * stragglerFactor) {
				stragglers.push(entry);
			}
		}

		for (const entry of stragglers) {
			if (entry.accelerators <= budget && this.#duplicate(entry)) {
				budget -= entry.accelerators;
			}
		}
	}

	#duplicate(entry: JobEntry): boolean {
		const {cluster, placer, ordering} = this.#state;
		const used = new Set(entry.tasks.map(task => task.workerId));
		const accepts = this.#accepts(entry);
		const views = cluster.views(entry.spec, worker => !used.has(worker.workerId) && accepts(worker));
		const tasks = placer.place(entry.spec, withoutReserved(views, this.#reservations, Infinity), ordering.fit);
		if (!tasks) {
			return false;
		}

		entry.duplicates = tasks;
		cluster.book(entry, tasks, this.#nowMs, DUPLICATE);
		this.#decisions.push({kind: 'duplicate', jobId: entry.job.jobId, tasks});
		return true;
	}
}

/** A job that keeps away from workers is a kind of its own. */
function kindOf(entry: JobEntry): string {
	return entry.avoided.size > 0 ? `${entry.kind}/${entry.job.jobId}` : entry.kind;
}
