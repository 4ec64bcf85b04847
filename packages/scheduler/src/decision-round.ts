import {MAX_ATTEMPTS} from '@amaranthsail/core';
import {findReservation, excludeReserved, type ExpectedEnd, type Reservation} from './backfill-reservation.js';
import {DUPLICATE_KEY_SUFFIX} from './cluster-state.js';
import type {JobEntry} from './job-entry.js';
import type {QueuedJob} from './ordering-policy.js';
import type {PreemptionPlan} from './reclaim-planner.js';
import type {Decision, PlacedTask} from './scheduler.js';
import type {SchedulerState} from './scheduler-state.js';
import type {WorkerState} from './worker-state.js';

/** Reservations made in one round; more would leave too little capacity for the jobs behind them. */
const MAX_RESERVATIONS = 2;

/** Share of all accelerators that duplicates of stragglers may use at once. */
const MAX_DUPLICATE_SHARE = 0.1;

/** On more workers, a round makes a single reservation, because each one scans every worker about 15 times. */
const MAX_WORKERS_FOR_ALL_RESERVATIONS = 100;

/** Workers that the searches for moves may scan in one round, to bound its duration on large clusters. */
const MAX_WORKERS_SEARCHED_FOR_MOVES = 200;

/** Minimum run time between two moves of a job: ten times the duration of a checkpoint. */
const MIN_RUN_BEFORE_MOVE_MS = 30_000;

/** A job that is expected to end sooner is not moved. */
const MIN_REMAINING_FOR_MOVE_MS = 20_000;

/** One scheduling round, that is one call of `decide`. */
export class DecisionRound {
	readonly #state: SchedulerState;
	readonly #nowMs: number;
	readonly #mayPreempt: boolean;
	readonly #decisions: Decision[] = [];
	readonly #reservations: Reservation[] = [];
	/** Kinds of jobs that did not fit, with the shortest estimate that did not. Valid for the round, which frees nothing. */
	readonly #unplaceableKinds = new Map<string, number>();
	readonly #unreclaimableKinds = new Set<string>();
	#migrationSearches = 0;
	readonly #kindsOutsideGuarantee = new Set<string>();
	#cachedExpectedEnds: readonly ExpectedEnd[] | undefined;

	/**
	 * @param state - The state of the scheduler.
	 * @param nowMs - The current time.
	 * @param mayPreempt - Whether running jobs may be stopped for others.
	 */
	constructor(state: SchedulerState, nowMs: number, mayPreempt: boolean) {
		this.#state = state;
		this.#nowMs = nowMs;
		this.#mayPreempt = mayPreempt;
	}

	/**
	 * Makes the decisions that are due.
	 *
	 * @returns The decisions in the order in which to carry them out.
	 */
	run(): readonly Decision[] {
		this.#finishPreemptions();
		this.#refuseJobsThatNeverRun();
		const queue = [...this.#state.waiting.values()].map(entry => this.#state.toQueuedJob(entry, this.#nowMs));
		const {ordering} = this.#state;
		const ordered = ordering.order(queue, this.#nowMs);
		// Jobs within guarantees are placed before all others.
		for (const job of ordered) {
			const entry = this.#state.waiting.get(job.jobId)!;
			if (this.#isWithinGuarantee(entry)) {
				this.#placeWithinGuarantee(entry, job);
			}
		}

		for (const job of ordered) {
			const entry = this.#state.waiting.get(job.jobId);
			if (!entry) {
				continue;
			}

			this.#placeInOrder(entry, job);
			if (ordering.hasHeadOfLineBlocking && this.#state.waiting.has(job.jobId)) {
				break;
			}
		}

		this.#duplicateStragglers();
		return this.#decisions;
	}

	#finishPreemptions(): void {
		for (const [jobId, entry] of this.#state.awaitingVictims) {
			const isPlacementLost = entry.tasks.some(task => {
				const worker = this.#state.cluster.workers.get(task.workerId);
				return !worker?.isUsable || worker.endpointFor(entry.spec.service) === undefined;
			});
			if (isPlacementLost) {
				this.#state.awaitingVictims.delete(jobId);
				this.#state.release(entry, this.#nowMs);
				this.#state.enqueue(entry);
			} else if (entry.victims.size === 0) {
				this.#state.awaitingVictims.delete(jobId);
				this.#commitPlacement(entry, entry.tasks);
			}
		}
	}

	#refuseJobsThatNeverRun(): void {
		for (const [jobId, entry] of this.#state.waiting) {
			const hasFailedEverywhere = entry.failureCount >= MAX_ATTEMPTS && entry.avoidedWorkers.size === 0;
			if (entry.failedWorkers.size > 0 && (hasFailedEverywhere || this.#state.health.isJobAtFault(entry.failedWorkers))) {
				this.#state.dequeue(entry);
				this.#state.jobs.delete(jobId);
				this.#state.health.discardFailures(jobId);
				const message = `failed on the workers ${[...entry.failedWorkers].join(', ')}`;
				this.#decisions.push({kind: 'refuse', jobId, refusal: {code: 'never_runs', message, retryable: false}});
			}
		}
	}

	#isWithinGuarantee(entry: JobEntry): boolean {
		const kind = kindKey(entry);
		if (this.#kindsOutsideGuarantee.has(kind)) {
			return false;
		}

		const isWithinGuarantee = this.#state.isWithinGuarantee(entry.spec);
		if (!isWithinGuarantee) {
			this.#kindsOutsideGuarantee.add(kind);
		}

		return isWithinGuarantee;
	}

	#placeWithinGuarantee(entry: JobEntry, job: QueuedJob): void {
		const kind = kindKey(entry);
		if (this.#unreclaimableKinds.has(kind)) {
			return;
		}

		const {placer, reclaimPlanner, cluster, ordering} = this.#state;
		const isEligible = this.#eligibilityFor(entry);
		const tasks = placer.place(entry.spec, cluster.placementViews(entry.spec, isEligible), ordering.fit);
		if (tasks) {
			this.#place(entry, tasks, true);
			return;
		}

		const plan = this.#mayPreempt
			? reclaimPlanner.plan(entry.spec, isEligible, jobId => this.#state.awaitingVictims.get(jobId)?.isWithinGuarantee ?? false, ordering.fit)
			: undefined;
		if (!plan) {
			this.#unreclaimableKinds.add(kind);
			return;
		}

		this.#executePlan(entry, plan, true);
	}

	/** Allocates the placement of a plan and preempts its victims. */
	#executePlan(entry: JobEntry, plan: PreemptionPlan, isWithinGuarantee: boolean): void {
		const {jobId} = entry.job;
		this.#state.dequeue(entry);
		entry.phase = 'awaitingVictims';
		this.#state.awaitingVictims.set(jobId, entry);
		this.#state.allocate(entry, plan.tasks, isWithinGuarantee, this.#nowMs);
		for (const victimId of plan.victims) {
			const victim = this.#state.jobs.get(victimId)!;
			if (victim.phase === 'awaitingVictims') {
				// The victim only holds a placement for a move; the jobs that run there are victims of this plan themselves.
				this.#state.awaitingVictims.delete(victimId);
				this.#state.release(victim, victim.placedAtMs);
				this.#state.enqueue(victim);
				continue;
			}

			entry.victims.add(victimId);
			this.#preempt(victim, jobId, isWithinGuarantee);
		}

		if (entry.victims.size === 0) {
			this.#state.awaitingVictims.delete(jobId);
			this.#commitPlacement(entry, plan.tasks);
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

	#placeInOrder(entry: JobEntry, job: QueuedJob): void {
		const kind = kindKey(entry);
		if ((this.#unplaceableKinds.get(kind) ?? Infinity) <= job.estimateMs || this.#state.isOverAccountLimit(entry.spec) || this.#state.exceedsLongWorkLimit(entry.spec)) {
			return;
		}

		const {placer, cluster, ordering} = this.#state;
		const views = excludeReserved(cluster.placementViews(entry.spec, this.#eligibilityFor(entry)), this.#reservations, this.#nowMs + job.estimateMs);
		const tasks = placer.place(entry.spec, views, ordering.fit);
		if (tasks) {
			this.#place(entry, tasks, false);
			return;
		}

		if (this.#migrateFor(entry, job)) {
			return;
		}

		this.#unplaceableKinds.set(kind, this.#reservations.length === 0 ? 0 : job.estimateMs);
		if (this.#reservations.length < this.#maxReservations() && ordering.shouldReserveFor(job, this.#nowMs)) {
			const reservation = findReservation(entry, cluster, this.#expectedEnds(), {isEligible: this.#eligibilityFor(entry), fit: ordering.fit});
			if (reservation) {
				this.#reservations.push(reservation);
			}
		}
	}

	/** Moves are made for one waiting job at a time, because a moved job has no placement until it has stopped. */
	#migrateFor(entry: JobEntry, job: QueuedJob): boolean {
		const {awaitingVictims, migrationPlanner, jobs, ordering} = this.#state;
		if (!this.#mayPreempt || awaitingVictims.size > 0 || this.#migrationSearches >= this.#maxMigrationSearches() || !ordering.mayMigrateFor(job, this.#nowMs)) {
			return false;
		}

		this.#migrationSearches++;
		const plan = migrationPlanner.plan(
			entry,
			jobs,
			candidate => this.#isMovable(candidate),
			(candidate, worker) => this.#state.isEligible(candidate, worker, this.#nowMs),
		);
		if (!plan) {
			return false;
		}

		this.#executePlan(entry, plan, false);
		return true;
	}

	#maxMigrationSearches(): number {
		return Math.max(1, Math.floor(MAX_WORKERS_SEARCHED_FOR_MOVES / this.#state.cluster.workers.size));
	}

	/** A move has to be cheap compared to the remaining work, and a job is not moved again soon. */
	#isMovable(candidate: JobEntry): boolean {
		return candidate.phase === 'placed' && candidate.spec.checkpointable && candidate.spec.repeatable && !candidate.isPreempted
			&& candidate.duplicates.length === 0
			&& this.#elapsedMs(candidate) >= MIN_RUN_BEFORE_MOVE_MS
			&& this.#state.estimates.remainingMs(candidate.spec, this.#elapsedMs(candidate)) >= MIN_REMAINING_FOR_MOVE_MS;
	}

	#maxReservations(): number {
		return this.#state.cluster.workers.size <= MAX_WORKERS_FOR_ALL_RESERVATIONS ? MAX_RESERVATIONS : 1;
	}

	#place(entry: JobEntry, tasks: readonly PlacedTask[], isWithinGuarantee: boolean): void {
		this.#state.dequeue(entry);
		this.#state.allocate(entry, tasks, isWithinGuarantee, this.#nowMs);
		this.#commitPlacement(entry, tasks);
	}

	#commitPlacement(entry: JobEntry, tasks: readonly PlacedTask[]): void {
		const {jobId} = entry.job;
		entry.phase = 'placed';
		this.#state.placed.set(jobId, entry);
		for (const task of tasks) {
			this.#state.health.recordPlacement(task.workerId, jobId);
		}

		this.#decisions.push({kind: 'place', jobId, tasks});
	}

	#eligibilityFor(entry: JobEntry): (worker: WorkerState) => boolean {
		return worker => this.#state.isEligible(entry, worker, this.#nowMs);
	}

	#expectedEnds(): readonly ExpectedEnd[] {
		this.#cachedExpectedEnds ??= [...this.#state.placed.values()]
			.map(entry => ({jobId: entry.job.jobId, endsAtMs: this.#nowMs + this.#state.estimates.remainingMs(entry.spec, this.#elapsedMs(entry))}))
			.toSorted((left, right) => left.endsAtMs - right.endsAtMs);
		return this.#cachedExpectedEnds;
	}

	#elapsedMs(entry: JobEntry): number {
		return this.#nowMs - (entry.startedAtMs ?? entry.placedAtMs);
	}

	#duplicateStragglers(): void {
		const {stragglerFactor} = this.#state.config.policy;
		if (stragglerFactor <= 0 || !this.#state.ordering.usesEstimates) {
			return;
		}

		let budget = this.#state.cluster.capacity().accelerators * MAX_DUPLICATE_SHARE;
		const stragglers: JobEntry[] = [];
		for (const entry of this.#state.placed.values()) {
			const estimate = this.#state.estimates.estimate(entry.spec);
			if (entry.duplicates.length > 0) {
				budget -= entry.accelerators;
			} else if (entry.spec.repeatable && !entry.isPreempted && entry.startedAtMs !== undefined
				&& estimate.isLearned && this.#elapsedMs(entry) > estimate.typicalMs * stragglerFactor) {
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
		const usedWorkers = new Set(entry.tasks.map(task => task.workerId));
		const isEligible = this.#eligibilityFor(entry);
		const views = cluster.placementViews(entry.spec, worker => !usedWorkers.has(worker.workerId) && isEligible(worker));
		const tasks = placer.place(entry.spec, excludeReserved(views, this.#reservations, Infinity), ordering.fit);
		if (!tasks) {
			return false;
		}

		entry.duplicates = tasks;
		cluster.allocate(entry, tasks, this.#nowMs, DUPLICATE_KEY_SUFFIX);
		this.#decisions.push({kind: 'duplicate', jobId: entry.job.jobId, tasks});
		return true;
	}
}

/** A job that avoids workers is a kind of its own. */
function kindKey(entry: JobEntry): string {
	return entry.avoidedWorkers.size > 0 ? `${entry.kind}/${entry.job.jobId}` : entry.kind;
}
