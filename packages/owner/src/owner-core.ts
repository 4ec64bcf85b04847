import type {JobRow} from '@amaranthsail/core';
import type {Explanation, SchedulerConfig} from '@amaranthsail/scheduler';
import {CoreContext, type OwnerCoreOptions} from './core-context.js';
import {decide} from './decisions.js';
import {handleHeartbeat} from './heartbeats.js';
import {advanceJob} from './advance-job.js';
import {cancelJobs, moveJobs, resubmitIfDue, handleJobRow} from './job-acceptance.js';
import {JobResults} from './job-results.js';
import type {OwnerEffect, OwnerEvent} from './owner-events.js';

/** Interval between sweeps over all jobs and workers; a sweep detects expired fences and commands to resend. */
export const SWEEP_INTERVAL_MS = 200;

/** Time after which an unanswered read is requested again. */
export const READ_RETRY_INTERVAL_MS = 1000;

/** Status of an owner core. */
export type OwnerCoreStatus = {
	readonly epoch: number;
	readonly isRecovered: boolean;
	readonly isValid: boolean;
	readonly isLost: boolean;
	readonly jobs: number;
	readonly attempts: number;
	readonly workers: number;
	readonly pendingWrites: number;
	readonly revision: number;
	/** Configuration revision that each agent last reported as in force. */
	readonly workerRevisions: ReadonlyArray<{readonly workerId: string; readonly revisionInForce: number}>;
};

/**
 * Disables duplicate attempts for stragglers in a scheduler configuration. The owner does not implement them yet,
 * so the scheduler must not reserve resources for them.
 *
 * @param config - The configuration in force.
 * @returns The same configuration without duplicate attempts.
 */
export function withoutDuplicateAttempts(config: SchedulerConfig): SchedulerConfig {
	return {...config, policy: {...config.policy, stragglerFactor: 0}};
}

/**
 * State machine of the owner of one failure domain under one epoch. Performs no I/O: each event returns the effects to
 * apply. All times are milliseconds of one monotonic clock and must not decrease between calls.
 */
export class OwnerCore {
	readonly #context: CoreContext;
	readonly #results: JobResults;
	#lastSweepAtMs: number;

	/**
	 * @param options - Identity, collaborators and the time of the claim.
	 */
	constructor(options: OwnerCoreOptions) {
		this.#context = new CoreContext(options);
		this.#results = new JobResults(this.#context);
		this.#lastSweepAtMs = options.claimedAtMs;
	}

	/**
	 * Handles an event.
	 *
	 * @param event - The event.
	 * @param nowMs - Monotonic milliseconds at which it is handled.
	 * @returns The effects to apply, in order.
	 */
	handle(event: OwnerEvent, nowMs: number): readonly OwnerEffect[] {
		this.#applyEvent(event, nowMs);
		return this.#finishStep(nowMs);
	}

	/**
	 * Performs the work that is due, including the periodic sweep.
	 *
	 * @param nowMs - Monotonic milliseconds.
	 * @returns The effects to apply, in order.
	 */
	tick(nowMs: number): readonly OwnerEffect[] {
		if (nowMs - this.#lastSweepAtMs >= SWEEP_INTERVAL_MS) {
			this.#lastSweepAtMs = nowMs;
			this.#sweep(nowMs);
		}

		return this.#finishStep(nowMs);
	}

	/**
	 * Returns when {@link tick} is next due.
	 *
	 * @param nowMs - Monotonic milliseconds.
	 * @returns Monotonic milliseconds.
	 */
	nextTickAtMs(nowMs: number): number {
		const sweepAtMs = this.#lastSweepAtMs + SWEEP_INTERVAL_MS;
		// Writes that become due while the ownership is not valid stay queued.
		return this.#context.gate.canWrite(nowMs) ? Math.min(sweepAtMs, this.#context.writes.nextFlushAtMs() ?? sweepAtMs) : sweepAtMs;
	}

	/**
	 * Explains why a job waits.
	 *
	 * @param jobId - The job.
	 * @param nowMs - Monotonic milliseconds.
	 * @returns The scheduler's explanation, or the state of the job's attempt.
	 */
	explain(jobId: string, nowMs: number): Explanation {
		const job = this.#context.jobs.get(jobId);
		if (job?.attempt === undefined) {
			return this.#context.scheduler.explain(jobId, nowMs);
		}

		const {number, members, stopCause} = job.attempt;
		const states = members.map(({place, state}) => `${place.taskIndex} on ${place.workerId}: ${state}`).join(', ');
		return {
			jobId, state: 'placed', refusals: [], summary: `Attempt ${number}; ${states}.${stopCause === undefined ? '' : ` Stopping: ${stopCause.message}`}`,
		};
	}

	/**
	 * Finds the last confirmed row of an open job.
	 *
	 * @param jobId - The job.
	 * @returns The row, or undefined when the job is unknown.
	 */
	rowOf(jobId: string): JobRow | undefined {
		return this.#context.jobs.get(jobId)?.row;
	}

	/**
	 * Lists the jobs that have waited without an attempt since before a given time.
	 *
	 * @param acceptedBeforeMs - Wall-clock time; only jobs accepted earlier are listed.
	 * @returns Their rows.
	 */
	jobsWaitingSince(acceptedBeforeMs: number): readonly JobRow[] {
		return [...this.#context.jobs.values()]
			.filter(({attempt, row, moveTarget}) => attempt === undefined && moveTarget === undefined && row.state === 'waiting' && row.acceptedAtMs < acceptedBeforeMs)
			.map(({row}) => row);
	}

	/**
	 * Summarizes the state of the core.
	 *
	 * @param nowMs - Monotonic milliseconds.
	 * @returns Counts, the state of the ownership and configuration revisions.
	 */
	status(nowMs: number): OwnerCoreStatus {
		const {gate, jobs, workers, writes, options, revision} = this.#context;
		return {
			epoch: options.epoch,
			isRecovered: gate.isRecovered,
			isValid: gate.canWrite(nowMs),
			isLost: gate.isLost,
			jobs: jobs.size,
			attempts: [...jobs.values()].filter(({attempt}) => attempt !== undefined).length,
			workers: [...workers.all()].length,
			pendingWrites: writes.pendingCount,
			revision,
			workerRevisions: [...workers.all()].map(({workerId, revisionInForce}) => ({workerId, revisionInForce})),
		};
	}

	#applyEvent(event: OwnerEvent, nowMs: number): void {
		switch (event.kind) {
			case 'heartbeat': {
				handleHeartbeat(this.#context, this.#results, event, nowMs);
				return;
			}

			case 'jobRow': {
				handleJobRow(this.#context, this.#results, event, nowMs);
				return;
			}

			case 'jobAbsent': {
				this.#handleAbsentJob(event.jobId, nowMs);
				return;
			}

			case 'move': {
				moveJobs(this.#context, event.jobIds, event.failureDomain, nowMs);
				return;
			}

			case 'cancel': {
				cancelJobs(this.#context, event.jobIds, nowMs);
				return;
			}

			case 'wait': {
				this.#addWaiter(event);
				return;
			}

			case 'configure': {
				this.#context.revision = Math.max(this.#context.revision, event.revision);
				this.#context.scheduler.configure(withoutDuplicateAttempts(event.config), nowMs);
				this.#context.needsDecision = true;
				return;
			}

			case 'writeResult': {
				this.#results.applyWriteResult(event.writeId, event.result, nowMs);
				return;
			}

			case 'recoveryComplete': {
				this.#context.gate.markRecovered();
				this.#context.needsDecision = true;
				return;
			}

			case 'previousOwnerGone': {
				this.#context.workers.markPreviousOwnerGone(nowMs);
				return;
			}

			case 'ownership': {
				this.#context.gate.updateValidity(event.validity, nowMs);
				this.#context.needsDecision = true;
				return;
			}

			case 'drain': {
				this.#context.gate.startDraining();
			}
		}
	}

	#handleAbsentJob(jobId: string, nowMs: number): void {
		const job = this.#context.jobs.get(jobId);
		if (job?.readRequestedAtMs !== undefined) {
			this.#results.handleMissingRow(job, nowMs);
			return;
		}

		if (job === undefined) {
			this.#results.recordEnded(jobId, 0);
			this.#context.answerWaiters(this.#context.waiters.takeSatisfied(jobId, undefined));
		}
	}

	#addWaiter(event: Extract<OwnerEvent, {readonly kind: 'wait'}>): void {
		const {jobId, waiterId, expiresAtMs, isForCancellation} = event;
		this.#context.waiters.add(jobId, {waiterId, expiresAtMs, isForCancellation});
		const job = this.#context.jobs.get(jobId);
		if (job === undefined) {
			this.#context.emit({kind: 'read', jobIds: [jobId]});
			return;
		}

		if (job.row.cancelRequested) {
			this.#context.answerWaiters(this.#context.waiters.takeSatisfied(jobId, job.row, true));
		}
	}

	#sweep(nowMs: number): void {
		const {workers, scheduler, jobs} = this.#context;
		for (const worker of workers.all()) {
			if (worker.isUsable && workers.isSuspected(worker, nowMs)) {
				worker.isUsable = false;
				scheduler.setWorkerUsable(worker.workerId, false, nowMs);
			}

			const isFenced = nowMs >= Math.max(workers.fenceAtMs(worker.workerId, worker.incarnation), worker.lastHeartbeatAtMs + READ_RETRY_INTERVAL_MS);
			if (isFenced && workers.isSuspected(worker, nowMs) && this.#context.jobsOnWorker(worker.workerId).length === 0) {
				workers.delete(worker.workerId);
				scheduler.removeWorker(worker.workerId, nowMs);
			}
		}

		const overdueReadJobIds: string[] = [];
		for (const job of jobs.values()) {
			resubmitIfDue(this.#context, job, nowMs);
			advanceJob(this.#context, job, nowMs);
			if (job.readRequestedAtMs !== undefined && nowMs - job.readRequestedAtMs >= READ_RETRY_INTERVAL_MS) {
				job.readRequestedAtMs = nowMs;
				overdueReadJobIds.push(job.row.jobId);
			}
		}

		if (overdueReadJobIds.length > 0) {
			this.#context.emit({kind: 'read', jobIds: overdueReadJobIds});
		}

		this.#context.needsDecision = true;
	}

	/** Performs the work that may follow any event: decisions, due writes and expiry of waiters. */
	#finishStep(nowMs: number): readonly OwnerEffect[] {
		if (this.#context.gate.isLost) {
			this.#context.answerWaiters(this.#context.waiters.takeExpired(Number.POSITIVE_INFINITY));
			return this.#context.takeEffects();
		}

		if (this.#context.needsDecision) {
			decide(this.#context, nowMs);
		}

		if (this.#context.gate.canWrite(nowMs)) {
			this.#sendDueWrites(nowMs);
		}

		this.#context.answerWaiters(this.#context.waiters.takeExpired(nowMs));
		return this.#context.takeEffects();
	}

	#sendDueWrites(nowMs: number): void {
		const transactions = this.#context.writes.flush(nowMs);
		for (const transaction of transactions) {
			this.#context.emit({kind: 'write', transaction});
		}

		if (transactions.length === 0) {
			return;
		}

		for (const {attempt, write} of this.#context.jobs.values()) {
			if (attempt?.decision === 'none' && write?.kind === 'decision' && write.writeId !== undefined) {
				attempt.decision = 'sent';
			}
		}
	}
}
