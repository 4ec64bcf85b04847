import {MAX_ATTEMPTS} from '@amaranthsail/core';
import {reserve, withoutReserved, type ExpectedEnd, type Reservation} from './backfill-reservation.js';
import {DUPLICATE} from './cluster-state.js';
import {totalAccelerators, type JobEntry} from './job-entry.js';
import type {QueuedJob} from './ordering-policy.js';
import type {Decision, PlacedTask} from './scheduler.js';
import type {SchedulerState} from './scheduler-state.js';
import type {WorkerState} from './worker-state.js';

/** Reservations of one round; more would leave too little for the work behind them. */
const MAX_RESERVATIONS = 2;

/** Part of the accelerators that second attempts may use at once. */
const DUPLICATE_SHARE = 0.1;

/** One run of `decide`. */
export class DecisionRound {
	readonly #state: SchedulerState;
	readonly #nowMs: number;
	readonly #decisions: Decision[] = [];
	readonly #reservations: Reservation[] = [];
	/** Kinds of jobs that did not fit; nothing is freed within a round. */
	readonly #unplaceable = new Set<string>();
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
		const ordered = this.#state.ordering.order(queue, this.#nowMs);
		// What accounts were promised comes before any ordering.
		for (const job of ordered) {
			const entry = this.#state.waiting.get(job.jobId)!;
			if (this.#isInside(entry)) {
				this.#placeInside(entry, job);
			}
		}

		for (const job of ordered) {
			const entry = this.#state.waiting.get(job.jobId);
			if (entry) {
				this.#placeOutside(entry, job);
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
		const key = `${kindOf(entry)}/inside`;
		if (this.#unplaceable.has(key)) {
			return;
		}

		const {placer, planner, cluster, ordering} = this.#state;
		const accepts = this.#accepts(entry);
		const tasks = placer.place(entry.spec, cluster.views(entry.spec, accepts), ordering.fit);
		if (tasks) {
			this.#place(entry, tasks, true);
			return;
		}

		const plan = planner.plan(entry.spec, accepts, jobId => this.#state.reclaiming.has(jobId), ordering.fit);
		if (!plan) {
			this.#unplaceable.add(key);
			return;
		}

		this.#state.dequeue(entry);
		entry.phase = 'reclaiming';
		this.#state.reclaiming.set(job.jobId, entry);
		this.#state.book(entry, plan.tasks, true, this.#nowMs);
		for (const jobId of plan.victims) {
			entry.victims.add(jobId);
			this.#preempt(this.#state.jobs.get(jobId)!, job.jobId);
		}

		if (entry.victims.size === 0) {
			this.#state.reclaiming.delete(job.jobId);
			this.#announce(entry, plan.tasks);
		}
	}

	#preempt(victim: JobEntry, forJobId: string): void {
		if (victim.isPreempted) {
			return;
		}

		victim.isPreempted = true;
		const graceMs = victim.spec.checkpointable ? this.#state.config.policy.checkpointGraceMs : 0;
		this.#decisions.push({
			kind: 'preempt', jobId: victim.job.jobId, forJobId, graceMs, reclaim: true,
		});
	}

	#placeOutside(entry: JobEntry, job: QueuedJob): void {
		const key = `${kindOf(entry)}/${job.estimateMs}`;
		if (this.#unplaceable.has(key) || this.#state.isOverAccountLimit(entry.spec) || this.#state.isOutOfLane(entry.spec)) {
			return;
		}

		const {placer, cluster, ordering} = this.#state;
		const views = withoutReserved(cluster.views(entry.spec, this.#accepts(entry)), this.#reservations, this.#nowMs + job.estimateMs);
		const tasks = placer.place(entry.spec, views, ordering.fit);
		if (tasks) {
			this.#place(entry, tasks, false);
			return;
		}

		this.#unplaceable.add(key);
		if (this.#reservations.length < MAX_RESERVATIONS && ordering.wantsReservation(job, this.#nowMs)) {
			const reservation = reserve(entry, cluster, this.#expectedEnds(), {accepts: this.#accepts(entry), fit: ordering.fit});
			if (reservation) {
				this.#reservations.push(reservation);
			}
		}
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
				budget -= totalAccelerators(entry.spec);
			} else if (entry.spec.repeatable && !entry.isPreempted && entry.startedAtMs !== undefined
				&& estimate.learned && this.#elapsedMs(entry) > estimate.typicalMs * stragglerFactor) {
				stragglers.push(entry);
			}
		}

		for (const entry of stragglers) {
			if (totalAccelerators(entry.spec) <= budget && this.#duplicate(entry)) {
				budget -= totalAccelerators(entry.spec);
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

/** Jobs of one kind fit or fail alike. */
function kindOf({spec, job, avoided}: JobEntry): string {
	const {shape} = spec;
	return [
		spec.account,
		spec.service,
		spec.taskCount,
		spec.adjacency,
		spec.repeatable,
		shape.slots,
		shape.connections,
		shape.processors,
		shape.memoryMb,
		shape.accelerators,
		avoided.size > 0 ? job.jobId : '',
	].join('/');
}
