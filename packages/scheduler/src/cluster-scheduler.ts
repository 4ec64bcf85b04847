import type {UsageReport, WorkerFacts} from '@amaranthsail/core';
import {refusalOf} from './admission.js';
import {DecisionRound} from './decision-round.js';
import {summarize, workerRefusals} from './explanation.js';
import {placeGang} from './gang-placement.js';
import {newJobEntry, totalAccelerators, type JobEntry} from './job-entry.js';
import type {OrderingPolicy} from './ordering-policy.js';
import type {
	AttemptEnd, Decision, Explanation, GuaranteeAlarm, PlacedTask, Refusal, Scheduler, SchedulerConfig, SchedulerJob, SchedulerLoad,
} from './scheduler.js';
import {SchedulerState} from './scheduler-state.js';

/** Settings of a scheduler that do not come from records. */
export type SchedulerOptions = {
	/** The failure domain; without it, that of the first worker counts. */
	readonly failureDomain?: string;
	/** Waiting jobs of all accounts beyond which new ones are refused. */
	readonly maxWaitingJobs?: number;
	/** An ordering to use instead of the one that the policy record names, for comparisons. */
	readonly ordering?: OrderingPolicy;
};

/** Keeps the queue within the memory of an entry; 1,000 waiting jobs take about 1 MB. */
const DEFAULT_MAX_WAITING_JOBS = 10_000;

/** How often a round is made although nothing has changed. */
const IDLE_ROUND_INTERVAL_MS = 1000;

/** The decision core of one failure domain. */
export class ClusterScheduler implements Scheduler {
	readonly #state: SchedulerState;
	readonly #maxWaitingJobs: number;
	#decidedVersion = -1;
	#decidedAtMs = 0;

	/**
	 * @param config - The configuration in force.
	 * @param options - Further settings.
	 */
	constructor(config: SchedulerConfig, options: SchedulerOptions = {}) {
		this.#state = new SchedulerState(config, options.failureDomain, options.ordering);
		this.#maxWaitingJobs = options.maxWaitingJobs ?? DEFAULT_MAX_WAITING_JOBS;
	}

	configure(config: SchedulerConfig): void {
		this.#state.configure(config);
	}

	upsertWorker(facts: WorkerFacts): void {
		this.#state.learnFailureDomain(facts.failureDomain);
		this.#state.cluster.upsert(facts);
		this.#state.version++;
	}

	setWorkerUsable(workerId: string, usable: boolean): void {
		this.#state.cluster.setUsable(workerId, usable);
		this.#state.version++;
	}

	removeWorker(workerId: string): void {
		this.#state.cluster.remove(workerId);
		this.#state.version++;
		this.#state.health.forget(workerId);
	}

	submit(job: SchedulerJob, nowMs: number): {readonly admitted: true} | {readonly admitted: false; readonly refusal: Refusal} {
		if (this.#state.jobs.has(job.jobId)) {
			return {admitted: true};
		}

		// The workers known now may be a part of those that there are, for example after a change of owner.
		const refusal = job.isAccepted ? undefined : this.#refusalOf(job, nowMs);
		if (refusal) {
			return {admitted: false, refusal};
		}

		const entry = newJobEntry(job, nowMs);
		this.#state.jobs.set(job.jobId, entry);
		this.#state.enqueue(entry);
		return {admitted: true};
	}

	restore(job: SchedulerJob, tasks: readonly PlacedTask[], startedAtMs: number, nowMs: number): void {
		const known = this.#state.jobs.get(job.jobId);
		if (known?.phase === 'placed') {
			return;
		}

		if (known) {
			this.withdraw(job.jobId);
		}

		const entry = newJobEntry(job, nowMs);
		this.#state.jobs.set(job.jobId, entry);
		this.#state.book(entry, tasks, this.#state.isInside(job.spec), startedAtMs);
		entry.startedAtMs = startedAtMs;
		entry.phase = 'placed';
		this.#state.placed.set(job.jobId, entry);
	}

	requeue(jobId: string, nowMs: number): void {
		const entry = this.#state.jobs.get(jobId);
		if (entry?.phase === 'ended') {
			entry.queuedAtMs = nowMs;
			this.#state.enqueue(entry);
		}
	}

	withdraw(jobId: string): void {
		const entry = this.#state.jobs.get(jobId);
		if (!entry || entry.phase === 'placed') {
			return;
		}

		if (this.#state.reclaiming.delete(jobId)) {
			// A job that never started has had no accelerator time.
			this.#state.release(entry, entry.placedAtMs);
		}

		this.#state.dequeue(entry);
		this.#state.jobs.delete(jobId);
	}

	started(jobId: string, nowMs: number): void {
		const entry = this.#state.placed.get(jobId);
		if (entry) {
			entry.startedAtMs ??= nowMs;
		}
	}

	ended(jobId: string, end: AttemptEnd, failedWorkerIds: readonly string[], nowMs: number): void {
		const entry = this.#state.placed.get(jobId);
		if (!entry) {
			return;
		}

		this.#noteHealth(entry, end, failedWorkerIds, nowMs);
		if (end === 'completed') {
			this.#state.estimates.learn(entry.spec, nowMs - (entry.startedAtMs ?? entry.placedAtMs));
		}

		this.#state.placed.delete(jobId);
		this.#state.release(entry, nowMs);
		entry.phase = 'ended';
		for (const other of this.#state.reclaiming.values()) {
			other.victims.delete(jobId);
		}

		if (end === 'completed') {
			this.#state.jobs.delete(jobId);
		}
	}

	reportUsage(usage: UsageReport): void {
		const entry = this.#state.placed.get(usage.jobId);
		if (entry) {
			this.#state.cluster.correct(entry, usage);
			this.#state.version++;
		}
	}

	decide(nowMs: number): readonly Decision[] {
		this.#state.health.expire(nowMs);
		// Without a change nothing fits that did not fit before; probes, reservations and stragglers depend on time alone.
		if (this.#decidedVersion === this.#state.version && nowMs - this.#decidedAtMs < IDLE_ROUND_INTERVAL_MS) {
			return [];
		}

		this.#decidedVersion = this.#state.version;
		this.#decidedAtMs = nowMs;
		return new DecisionRound(this.#state, nowMs).run();
	}

	explain(jobId: string, nowMs: number): Explanation {
		const entry = this.#state.jobs.get(jobId);
		if (!entry) {
			return {jobId, state: 'unknown_job', refusals: [], summary: 'no such job is waiting or placed here'};
		}

		if (entry.phase === 'placed') {
			return {jobId, state: 'placed', refusals: [], summary: `placed on ${[...new Set(entry.tasks.map(task => task.workerId))].join(', ')}`};
		}

		if (entry.phase === 'reclaiming') {
			return {jobId, state: 'waiting', refusals: [], summary: `has a place; waits for ${entry.victims.size} jobs to stop`};
		}

		return this.#explainWaiting(entry, nowMs);
	}

	alarms(): readonly GuaranteeAlarm[] {
		return this.#state.guard.alarms();
	}

	load(): SchedulerLoad {
		const idle = this.#state.cluster.idle();
		return {
			waitingJobs: this.#state.waiting.size + this.#state.reclaiming.size,
			waitingByAccount: this.#waitingByAccount(),
			services: this.#state.cluster.openServices(),
			idleAccelerators: idle.accelerators,
			totalAccelerators: this.#state.cluster.capacity().accelerators,
			largestFreeBlock: idle.largestBlock,
		};
	}

	#waitingByAccount(): Readonly<Record<string, number>> {
		const counts: Record<string, number> = {};
		for (const {job} of [...this.#state.waiting.values(), ...this.#state.reclaiming.values()]) {
			counts[job.spec.account] = (counts[job.spec.account] ?? 0) + 1;
		}

		return counts;
	}

	#explainWaiting(entry: JobEntry, nowMs: number): Explanation {
		const {jobId} = entry.job;
		const {cluster, health, ordering, waiting} = this.#state;
		const queue = [...waiting.values()].map(other => this.#state.queued(other, nowMs));
		const position = ordering.order(queue, nowMs).findIndex(job => job.jobId === jobId) + 1;
		const views = cluster.views(entry.spec, worker => this.#state.accepts(entry, worker, nowMs));
		const refusals = workerRefusals(entry.spec, cluster.workers.values(), {
			avoided: entry.avoided,
			mayTake: workerId => !health.isQuarantined(workerId) || health.mayTake(workerId, nowMs),
			isOutOfLane: this.#state.isOutOfLane(entry.spec),
			fitsTogether: placeGang(entry.spec, views, 'best') !== undefined,
			isAllowed: this.#state.placer.place(entry.spec, views, ordering.fit) !== undefined,
		});
		const summary = this.#state.isOverAccountLimit(entry.spec)
			? `account ${entry.spec.account} uses all the accelerators it may`
			: summarize(refusals, cluster.workers.size);
		return {
			jobId, state: 'waiting', position, refusals, summary,
		};
	}

	#noteHealth(entry: JobEntry, end: AttemptEnd, failedWorkerIds: readonly string[], nowMs: number): void {
		const {health} = this.#state;
		const failed = new Set(end === 'failed' ? failedWorkerIds : []);
		for (const {workerId} of [...entry.tasks, ...entry.duplicates]) {
			if (failed.has(workerId)) {
				continue;
			}

			// With a second attempt, it is not known which of the two finished.
			if (end === 'completed' && entry.duplicates.length === 0) {
				health.succeeded(workerId);
			} else {
				health.left(workerId, entry.job.jobId);
			}
		}

		for (const workerId of failed) {
			entry.failedWorkers.add(workerId);
			health.failed(workerId, entry.job.jobId, nowMs);
		}

		entry.failureCount += Number(end === 'failed');
	}

	#refusalOf(job: SchedulerJob, nowMs: number): Refusal | undefined {
		const {spec} = job;
		const state = this.#state;
		const {policy} = state.config;
		return refusalOf(job, {
			empty: state.empty(),
			accountWaiting: state.ledger.use(spec.account).waitingJobs,
			maxWaitingPerAccount: policy.maxWaitingPerAccount,
			totalWaiting: state.waiting.size,
			maxWaiting: this.#maxWaitingJobs,
			accelerators: totalAccelerators(spec),
			maxAccelerators: state.maxAccelerators(spec.account),
			estimate: state.estimates.estimate(spec),
			backlogMs: job.deadlineAtMs === undefined ? 0 : this.#backlogMs(job),
			insideGuarantee: job.deadlineAtMs !== undefined && state.isInside(spec),
		}, nowMs);
	}

	/** Accelerator time of waiting work that goes first, spread over all accelerators. */
	#backlogMs(job: SchedulerJob): number {
		const {estimates, ordering, waiting, cluster} = this.#state;
		const {typicalMs} = estimates.estimate(job.spec);
		let workMs = 0;
		for (const {spec} of waiting.values()) {
			const otherMs = estimates.estimate(spec).typicalMs;
			if (!ordering.usesEstimates || otherMs <= typicalMs) {
				workMs += otherMs * totalAccelerators(spec);
			}
		}

		return workMs / Math.max(1, cluster.capacity().accelerators);
	}
}

/**
 * Makes a scheduler for one failure domain.
 *
 * @param config - The configuration in force.
 * @param _nowMs - The present time; no state depends on it yet.
 * @param options - Further settings.
 * @returns The scheduler, without workers and jobs.
 */
export function createScheduler(config: SchedulerConfig, _nowMs: number, options?: SchedulerOptions): Scheduler {
	return new ClusterScheduler(config, options);
}
