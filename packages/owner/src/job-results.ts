import {FINAL_JOB_STATES, type JobRow} from '@amaranthsail/core';
import type {CoreContext} from './core-context.js';
import {
	advanceJob, attemptEndOf, endPlacement,
} from './advance-job.js';
import type {JobRecord} from './job-record.js';
import {restoreAttempt} from './owner-recovery.js';
import {sendForgetCommands} from './member-commands.js';
import type {WriteResult} from './owner-events.js';
import {WRITE_RETRY_DELAY_MS} from './write-queue.js';

/** Ended jobs to remember, so that a scan that began before their end does not add them again. */
const MAX_ENDED_JOBS = 2000;

/** Applies the results of durable writes and of reads to jobs. */
export class JobResults {
	readonly #context: CoreContext;
	readonly #endedVersions = new Map<string, number>();

	/**
	 * @param context - The core's state.
	 */
	constructor(context: CoreContext) {
		this.#context = context;
	}

	/**
	 * Returns whether a row is older than the final state of its job.
	 *
	 * @param jobId - The job.
	 * @param version - Version of the row as read.
	 * @returns True when the row is outdated.
	 */
	isOutdated(jobId: string, version: number): boolean {
		return version < (this.#endedVersions.get(jobId) ?? 0);
	}

	/**
	 * Records that a job is final.
	 *
	 * @param jobId - The job.
	 * @param version - Version of the final row.
	 */
	recordEnded(jobId: string, version: number): void {
		this.#endedVersions.delete(jobId);
		this.#endedVersions.set(jobId, version);
		if (this.#endedVersions.size > MAX_ENDED_JOBS) {
			this.#endedVersions.delete(this.#endedVersions.keys().next().value!);
		}
	}

	/**
	 * Returns whether a job is known to be final.
	 *
	 * @param jobId - The job.
	 * @returns True when its final row was written or read recently; the oldest ended jobs are forgotten.
	 */
	isEnded(jobId: string): boolean {
		return this.#endedVersions.has(jobId);
	}

	/**
	 * Applies the result of a transaction.
	 *
	 * @param writeId - The transaction.
	 * @param result - Its result.
	 * @param nowMs - Monotonic milliseconds.
	 */
	applyWriteResult(writeId: string, result: WriteResult, nowMs: number): void {
		const outcome = this.#context.writes.applyResult(writeId, result, nowMs);
		switch (outcome.kind) {
			case 'pending': {
				return;
			}

			case 'ownershipLost': {
				this.#context.gate.updateValidity({kind: 'lost'}, nowMs);
				this.#context.emit({kind: 'ownershipLost'});
				return;
			}

			case 'committed': {
				for (const {job, version} of outcome.jobs) {
					this.#applyCommit(job, version, nowMs);
				}

				return;
			}

			case 'dropped': {
				for (const job of outcome.jobs) {
					this.#discardWrite(job, nowMs + WRITE_RETRY_DELAY_MS);
					advanceJob(this.#context, job, nowMs);
				}

				return;
			}

			case 'readBack': {
				for (const {job, isChanged} of outcome.jobs) {
					job.readRequestedAtMs = nowMs;
					job.minimumVersion = job.version + (isChanged ? 1 : 0);
				}

				this.#context.emit({kind: 'read', jobIds: outcome.jobs.map(({job}) => job.row.jobId)});
			}
		}
	}

	/**
	 * Applies the row of a job whose write failed its conditions.
	 *
	 * @param job - The job.
	 * @param row - The row as read.
	 * @param version - Its version.
	 * @param nowMs - Monotonic milliseconds.
	 */
	applyReadBack(job: JobRecord, row: JobRow, version: number, nowMs: number): void {
		if (version < job.minimumVersion) {
			// The read is outdated; the next sweep requests it again.
			return;
		}

		job.readRequestedAtMs = undefined;
		if (job.write?.writeId !== undefined && row.writeId === job.write.writeId) {
			this.#applyCommit(job, version, nowMs);
			return;
		}

		this.#discardWrite(job, nowMs);
		job.row = row;
		job.version = version;
		// An entry that could not reach this owner records a cancellation in the row.
		job.cancelRequested ||= row.cancelRequested;
		if (FINAL_JOB_STATES.has(row.state) || row.failureDomain !== this.#context.options.failureDomain) {
			this.#removeJob(job, nowMs);
			return;
		}

		if (row.state !== 'waiting' && job.attempt?.number !== row.attempt) {
			// The row was outdated when the job was taken over: an attempt is already decided, and its tasks may be running.
			this.#abandonUndecidedAttempt(job, nowMs);
			restoreAttempt(this.#context, job, nowMs);
		}

		advanceJob(this.#context, job, nowMs);
	}

	/**
	 * Removes a job whose row no longer exists.
	 *
	 * @param job - The job.
	 * @param nowMs - Monotonic milliseconds.
	 */
	handleMissingRow(job: JobRecord, nowMs: number): void {
		this.#removeJob(job, nowMs);
	}

	#abandonUndecidedAttempt(job: JobRecord, nowMs: number): void {
		endPlacement(this.#context, job, 'stopped', nowMs);
		this.#context.detachAttempt(job);
		this.#context.scheduler.withdraw(job.row.jobId);
		job.isQueued = false;
		job.requeueAtMs = undefined;
		job.resubmitAtMs = undefined;
	}

	#discardWrite(job: JobRecord, retryAtMs: number): void {
		if (job.write?.kind === 'decision' && job.attempt?.decision === 'sent') {
			job.attempt.decision = 'none';
		}

		job.write = undefined;
		job.nextWriteAtMs = retryAtMs;
	}

	#applyCommit(job: JobRecord, version: number, nowMs: number): void {
		const {kind, next, writeId} = job.write!;
		job.write = undefined;
		job.row = {...next, writeId: writeId!};
		job.version = version;
		switch (kind) {
			case 'moved':
			case 'final': {
				this.#removeJob(job, nowMs);
				return;
			}

			case 'waiting': {
				this.#returnToWaiting(job, nowMs);
				break;
			}

			case 'decision': {
				job.attempt!.decision = 'durable';
				job.attempt!.decidedAtMs = nowMs;
				job.undecidedAttemptCount = 0;
				this.#context.recordMetric(
					'owner.accepted_to_decided',
					{valueMs: this.#context.wallMs(nowMs) - job.row.acceptedAtMs},
					{account: job.row.spec.account, workClass: job.row.spec.workClass},
				);
				break;
			}

			case 'cancel_mark': {
				this.#context.answerWaiters(this.#context.waiters.takeSatisfied(job.row.jobId, job.row, true));
				break;
			}

			case 'running': {
				break;
			}
		}

		advanceJob(this.#context, job, nowMs);
	}

	#returnToWaiting(job: JobRecord, nowMs: number): void {
		const attempt = job.attempt!;
		job.failedWorkers = job.row.failedWorkers;
		job.failedAttempts = job.row.failedAttempts ?? 0;
		job.ranBefore = job.row.ranBefore ?? false;
		job.checkpointAttempt = job.row.checkpointAttempt;
		endPlacement(this.#context, job, attemptEndOf(attempt), nowMs);
		this.#context.detachAttempt(job);
		sendForgetCommands(this.#context, job, attempt, nowMs);
		if (attempt.stopRequestedAtMs !== undefined) {
			this.#context.recordMetric('owner.stop_to_waiting', {valueMs: nowMs - attempt.stopRequestedAtMs}, {cause: attempt.stopCause?.kind ?? 'none'});
		}

		// If a cancellation was requested while the write was pending, the scheduler must not place the job again.
		job.requeueAtMs = job.cancelRequested ? undefined : nowMs;
	}

	#removeJob(job: JobRecord, nowMs: number): void {
		const {jobId, state, acceptedAtMs, spec} = job.row;
		const {attempt} = job;
		if (attempt !== undefined) {
			endPlacement(this.#context, job, state === 'completed' ? 'completed' : attemptEndOf(attempt), nowMs);
			this.#context.detachAttempt(job);
			sendForgetCommands(this.#context, job, attempt, nowMs);
		}

		if (state !== 'completed') {
			this.#context.scheduler.withdraw(jobId);
		}

		this.#context.writes.remove(job);
		this.#context.jobs.delete(jobId);
		this.recordEnded(jobId, job.version);

		this.#context.recordMetric(
			'owner.job_ended',
			{count: 1, valueMs: this.#context.wallMs(nowMs) - acceptedAtMs},
			{state, account: spec.account, workClass: spec.workClass},
		);
		this.#context.answerWaiters(this.#context.waiters.takeSatisfied(jobId, FINAL_JOB_STATES.has(state) ? job.row : undefined));
	}
}
