import type {UsageReport, WorkerFacts} from '@amaranthsail/core';
import {checkAdmission} from './admission.js';
import {DecisionRound} from './decision-round.js';
import {summarizeRefusals, workerRefusals} from './explanation.js';
import {placeGang} from './gang-placement.js';
import {newJobEntry, totalAccelerators, type JobEntry} from './job-entry.js';
import type {OrderingPolicy} from './ordering-policy.js';
import type {
	AttemptEnd, Decision, Explanation, GuaranteeAlarm, PlacedTask, Refusal, Scheduler, SchedulerConfig, SchedulerJob, SchedulerLoad,
} from './scheduler.js';
import {SchedulerState} from './scheduler-state.js';

/** Options of a scheduler that do not come from records. */
export type SchedulerOptions = {
	/** The failure domain; by default, that of the first worker. */
	readonly failureDomain?: string;
	/** Waiting jobs of all accounts beyond which new ones are refused; by default 10,000. */
	readonly maxWaitingJobs?: number;
	/** An ordering policy to use instead of that of the policy record, for comparisons. */
	readonly ordering?: OrderingPolicy;
};

/** Bounds the memory of the queue; 1,000 waiting jobs take about 1 MB. */
const DEFAULT_MAX_WAITING_JOBS = 10_000;

/** Interval between rounds while nothing changes. */
const IDLE_ROUND_INTERVAL_MS = 1000;

/** The scheduler of one failure domain. */
export class ClusterScheduler implements Scheduler {
	readonly #state: SchedulerState;
	readonly #maxWaitingJobs: number;
	#decidedVersion = -1;
	#decidedAtMs = 0;

	/**
	 * @param config - The active configuration.
	 * @param options - Further options.
	 */
	constructor(config: SchedulerConfig, options: SchedulerOptions = {}) {
		this.#state = new SchedulerState(config, options.failureDomain, options.ordering);
		this.#maxWaitingJobs = options.maxWaitingJobs ?? DEFAULT_MAX_WAITING_JOBS;
	}

	configure(config: SchedulerConfig): void {
		this.#state.configure(config);
	}

	upsertWorker(facts: WorkerFacts): void {
		this.#state.adoptFailureDomain(facts.failureDomain);
		this.#state.cluster.upsert(facts);
		this.#state.version++;
	}

	setWorkerUsable(workerId: string, isUsable: boolean): void {
		this.#state.cluster.setUsable(workerId, isUsable);
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

		// An accepted job is not checked: some workers may not have reported yet, for example after a change of owner.
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
		this.#state.allocate(entry, tasks, this.#state.isWithinGuarantee(job.spec), startedAtMs);
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

		if (this.#state.awaitingVictims.delete(jobId)) {
			// The job never started, so it is charged no accelerator time.
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

		this.#recordHealth(entry, end, failedWorkerIds, nowMs);
		if (end === 'completed') {
			this.#state.estimates.recordRunTime(entry.spec, nowMs - (entry.startedAtMs ?? entry.placedAtMs));
		}

		this.#state.placed.delete(jobId);
		this.#state.release(entry, nowMs);
		entry.phase = 'ended';
		for (const other of this.#state.awaitingVictims.values()) {
			other.victims.delete(jobId);
		}

		if (end === 'completed') {
			this.#state.jobs.delete(jobId);
		}
	}

	reportUsage(usage: UsageReport): void {
		const entry = this.#state.placed.get(usage.jobId);
		if (entry) {
			this.#state.cluster.applyUsageReport(entry, usage);
			this.#state.version++;
		}
	}

	decide(nowMs: number, options?: {readonly mayPreempt: boolean}): readonly Decision[] {
		this.#state.health.expireQuarantines(nowMs);
		// Without a change, no further job fits; only probes, reservations and stragglers depend on time alone.
		if (this.#decidedVersion === this.#state.version && nowMs - this.#decidedAtMs < IDLE_ROUND_INTERVAL_MS) {
			return [];
		}

		this.#decidedVersion = this.#state.version;
		this.#decidedAtMs = nowMs;
		return new DecisionRound(this.#state, nowMs, options?.mayPreempt ?? true).run();
	}

	explain(jobId: string, nowMs: number): Explanation {
		const entry = this.#state.jobs.get(jobId);
		if (!entry) {
			return {jobId, state: 'unknown_job', refusals: [], summary: 'no such job is waiting or placed here'};
		}

		if (entry.phase === 'placed') {
			return {jobId, state: 'placed', refusals: [], summary: `placed on ${[...new Set(entry.tasks.map(task => task.workerId))].join(', ')}`};
		}

		if (entry.phase === 'awaitingVictims') {
			return {jobId, state: 'waiting', refusals: [], summary: `has a place; waits for ${entry.victims.size} jobs to stop`};
		}

		return this.#explainWaiting(entry, nowMs);
	}

	alarms(): readonly GuaranteeAlarm[] {
		return this.#state.guard.alarms();
	}

	load(): SchedulerLoad {
		const idle = this.#state.cluster.idleAccelerators();
		return {
			waitingJobs: this.#state.waiting.size + this.#state.awaitingVictims.size,
			waitingByAccount: this.#waitingByAccount(),
			services: this.#state.cluster.availableServices(),
			idleAccelerators: idle.accelerators,
			totalAccelerators: this.#state.cluster.capacity().accelerators,
			largestFreeBlock: idle.largestBlock,
		};
	}

	#waitingByAccount(): Readonly<Record<string, number>> {
		const counts: Record<string, number> = {};
		for (const {job} of [...this.#state.waiting.values(), ...this.#state.awaitingVictims.values()]) {
			counts[job.spec.account] = (counts[job.spec.account] ?? 0) + 1;
		}

		return counts;
	}

	#explainWaiting(entry: JobEntry, nowMs: number): Explanation {
		const {jobId} = entry.job;
		const {cluster, health, ordering, waiting} = this.#state;
		const queue = [...waiting.values()].map(other => this.#state.toQueuedJob(other, nowMs));
		const position = ordering.order(queue, nowMs).findIndex(job => job.jobId === jobId) + 1;
		const views = cluster.placementViews(entry.spec, worker => this.#state.isEligible(entry, worker, nowMs));
		const refusals = workerRefusals(entry.spec, cluster.workers.values(), {
			avoidedWorkers: entry.avoidedWorkers,
			mayReceiveJob: workerId => !health.isQuarantined(workerId) || health.mayReceiveJob(workerId, nowMs),
			exceedsLongWorkLimit: this.#state.exceedsLongWorkLimit(entry.spec),
			fitsTogether: placeGang(entry.spec, views, 'best') !== undefined,
			keepsGuarantees: this.#state.placer.place(entry.spec, views, ordering.fit) !== undefined,
		});
		const summary = this.#state.isOverAccountLimit(entry.spec)
			? `account ${entry.spec.account} uses all the accelerators it may`
			: summarizeRefusals(refusals, cluster.workers.size);
		return {
			jobId, state: 'waiting', position, refusals, summary,
		};
	}

	#recordHealth(entry: JobEntry, end: AttemptEnd, failedWorkerIds: readonly string[], nowMs: number): void {
		const {health} = this.#state;
		const failed = new Set(end === 'failed' ? failedWorkerIds : []);
		for (const {workerId} of [...entry.tasks, ...entry.duplicates]) {
			if (failed.has(workerId)) {
				continue;
			}

			// With a duplicate, it is unknown which of the two attempts completed.
			if (end === 'completed' && entry.duplicates.length === 0) {
				health.recordSuccess(workerId);
			} else {
				health.recordDeparture(workerId, entry.job.jobId);
			}
		}

		for (const workerId of failed) {
			entry.failedWorkers.add(workerId);
			health.recordFailure(workerId, entry.job.jobId, nowMs);
		}

		entry.failureCount += Number(end === 'failed');
	}

	#refusalOf(job: SchedulerJob, nowMs: number): Refusal | undefined {
		const {spec} = job;
		const state = this.#state;
		const {policy} = state.config;
		return checkAdmission(job, {
			emptyCluster: state.emptyCluster(),
			accountWaiting: state.ledger.usage(spec.account).waitingJobs,
			maxWaitingPerAccount: policy.maxWaitingPerAccount,
			totalWaiting: state.waiting.size,
			maxWaiting: this.#maxWaitingJobs,
			accelerators: totalAccelerators(spec),
			maxAccelerators: state.maxAccelerators(spec.account),
			estimate: state.estimates.estimate(spec),
			backlogMs: job.deadlineAtMs === undefined ? 0 : this.#backlogMs(job),
			isWithinGuarantee: job.deadlineAtMs !== undefined && state.isWithinGuarantee(spec),
		}, nowMs);
	}

	/** Accelerator time of the waiting work ahead of a job, divided by the number of accelerators. */
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
 * Creates a scheduler for one failure domain.
 *
 * @param config - The active configuration.
 * @param options - Further options.
 * @returns The scheduler, without workers and jobs.
 */
export function createScheduler(config: SchedulerConfig, options?: SchedulerOptions): Scheduler {
	return new ClusterScheduler(config, options);
}
