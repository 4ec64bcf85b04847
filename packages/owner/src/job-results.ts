import {FINAL_JOB_STATES, type JobRow} from '@amaranthsail/core';
import type {CoreContext} from './core-context.js';
import {
	driveJob, endKindOf, endPlacement,
} from './job-driver.js';
import type {JobRecord} from './job-record.js';
import {restoreAttempt} from './recovery.js';
import {sendForgets} from './member-commands.js';
import type {WriteResult} from './owner-events.js';
import {WRITE_RETRY_MS} from './write-queue.js';

/** Final jobs remembered, so that a scan that began before their end does not bring them back. */
const MAX_ENDED_JOBS = 2000;

/** Applies results of durable writes and of reads to jobs. */
export class JobResults {
	readonly #context: CoreContext;
	readonly #ended = new Map<string, number>();

	/**
	 * @param context - The core's state.
	 */
	constructor(context: CoreContext) {
		this.#context = context;
	}

	/**
	 * Tells whether a row is older than the final state of its job.
	 *
	 * @param jobId - The job.
	 * @param version - Version of the row as read.
	 * @returns True when the row is out of date.
	 */
	isOutdated(jobId: string, version: number): boolean {
		return version < (this.#ended.get(jobId) ?? 0);
	}

	/**
	 * Remembers that a job is final.
	 *
	 * @param jobId - The job.
	 * @param version - Version of the final row.
	 */
	noteEnded(jobId: string, version: number): void {
		this.#ended.delete(jobId);
		this.#ended.set(jobId, version);
		if (this.#ended.size > MAX_ENDED_JOBS) {
			this.#ended.delete(this.#ended.keys().next().value!);
		}
	}

	/**
	 * Tells whether a job is known to be final.
	 *
	 * @param jobId - The job.
	 * @returns True when its final row was written or read a short time ago.
	 */
	isEnded(jobId: string): boolean {
		return this.#ended.has(jobId);
	}

	/**
	 * Takes the result of a transaction.
	 *
	 * @param writeId - The transaction.
	 * @param result - Its result.
	 * @param nowMs - Monotonic milliseconds.
	 */
	writeResult(writeId: string, result: WriteResult, nowMs: number): void {
		const settled = this.#context.writes.settle(writeId, result, nowMs);
		switch (settled.kind) {
			case 'pending': {
				return;
			}

			case 'ownershipLost': {
				this.#context.gate.update({kind: 'lost'}, nowMs);
				this.#context.emit({kind: 'ownershipLost'});
				return;
			}

			case 'committed': {
				for (const {job, version} of settled.jobs) {
					this.#committed(job, version, nowMs);
				}

				return;
			}

			case 'dropped': {
				for (const job of settled.jobs) {
					this.#dropped(job, nowMs + WRITE_RETRY_MS);
					driveJob(this.#context, job, nowMs);
				}

				return;
			}

			case 'readBack': {
				for (const {job, isChanged} of settled.jobs) {
					job.readingSinceMs = nowMs;
					job.minimumVersion = job.version + (isChanged ? 1 : 0);
				}

				this.#context.emit({kind: 'read', jobIds: settled.jobs.map(({job}) => job.row.jobId)});
			}
		}
	}

	/**
	 * Takes the row of a job whose write failed its conditions.
	 *
	 * @param job - The job.
	 * @param row - The row as read.
	 * @param version - Its version.
	 * @param nowMs - Monotonic milliseconds.
	 */
	readBack(job: JobRecord, row: JobRow, version: number, nowMs: number): void {
		if (version < job.minimumVersion) {
			// An out-of-date read; the sweep asks again.
			return;
		}

		job.readingSinceMs = undefined;
		if (job.write?.writeId !== undefined && row.writeId === job.write.writeId) {
			this.#committed(job, version, nowMs);
			return;
		}

		this.#dropped(job, nowMs);
		job.row = row;
		job.version = version;
		// An entry that could not reach this owner leaves a cancellation in the row.
		job.cancelRequested ||= row.cancelRequested;
		if (FINAL_JOB_STATES.has(row.state) || row.failureDomain !== this.#context.options.failureDomain) {
			this.#end(job, nowMs);
			return;
		}

		if (row.state !== 'waiting' && job.attempt?.number !== row.attempt) {
			// The row was out of date when the job was taken over: an attempt is decided already. Its tasks may run.
			this.#giveUpUndecided(job, nowMs);
			restoreAttempt(this.#context, job, nowMs);
		}

		driveJob(this.#context, job, nowMs);
	}

	/**
	 * Drops a job whose row does not exist any more.
	 *
	 * @param job - The job.
	 * @param nowMs - Monotonic milliseconds.
	 */
	vanished(job: JobRecord, nowMs: number): void {
		this.#end(job, nowMs);
	}

	#giveUpUndecided(job: JobRecord, nowMs: number): void {
		endPlacement(this.#context, job, 'stopped', nowMs);
		this.#context.detach(job);
		this.#context.scheduler.withdraw(job.row.jobId);
		job.queued = false;
		job.requeueAtMs = undefined;
		job.resubmitAtMs = undefined;
	}

	#dropped(job: JobRecord, retryAtMs: number): void {
		if (job.write?.kind === 'decision' && job.attempt?.decision === 'sent') {
			job.attempt.decision = 'none';
		}

		job.write = undefined;
		job.retryAtMs = retryAtMs;
	}

	#committed(job: JobRecord, version: number, nowMs: number): void {
		const {kind, next, writeId} = job.write!;
		job.write = undefined;
		job.row = {...next, writeId: writeId!};
		job.version = version;
		switch (kind) {
			case 'moved':
			case 'final': {
				this.#end(job, nowMs);
				return;
			}

			case 'waiting': {
				this.#backToWaiting(job, nowMs);
				break;
			}

			case 'decision': {
				job.attempt!.decision = 'durable';
				job.attempt!.decidedAtMs = nowMs;
				job.undecidedAttempts = 0;
				this.#context.measure('owner.accepted_to_decided', {valueMs: this.#context.wallMs(nowMs) - job.row.acceptedAtMs}, {account: job.row.spec.account, workClass: job.row.spec.workClass});
				break;
			}

			case 'cancel_mark': {
				this.#context.answer(this.#context.waiters.answer(job.row.jobId, job.row, true));
				break;
			}

			case 'running': {
				break;
			}
		}

		driveJob(this.#context, job, nowMs);
	}

	#backToWaiting(job: JobRecord, nowMs: number): void {
		const attempt = job.attempt!;
		job.failedWorkers = job.row.failedWorkers;
		job.failedAttempts = job.row.failedAttempts ?? 0;
		job.ranBefore = job.row.ranBefore ?? false;
		job.checkpointAttempt = job.row.checkpointAttempt;
		endPlacement(this.#context, job, endKindOf(attempt), nowMs);
		this.#context.detach(job);
		sendForgets(this.#context, job, attempt, nowMs);
		if (attempt.stopSinceMs !== undefined) {
			this.#context.measure('owner.stop_to_waiting', {valueMs: nowMs - attempt.stopSinceMs}, {cause: attempt.stopCause?.kind ?? 'none'});
		}

		// A cancellation may have come while the write was under way; the scheduler must not place the job then.
		job.requeueAtMs = job.cancelRequested ? undefined : nowMs;
	}

	#end(job: JobRecord, nowMs: number): void {
		const {jobId, state, acceptedAtMs, spec} = job.row;
		const {attempt} = job;
		if (attempt !== undefined) {
			endPlacement(this.#context, job, state === 'completed' ? 'completed' : endKindOf(attempt), nowMs);
			this.#context.detach(job);
			sendForgets(this.#context, job, attempt, nowMs);
		}

		if (state !== 'completed') {
			this.#context.scheduler.withdraw(jobId);
		}

		this.#context.writes.forget(job);
		this.#context.jobs.delete(jobId);
		this.noteEnded(jobId, job.version);

		this.#context.measure('owner.job_ended', {count: 1, valueMs: this.#context.wallMs(nowMs) - acceptedAtMs}, {state, account: spec.account, workClass: spec.workClass});
		this.#context.answer(this.#context.waiters.answer(jobId, FINAL_JOB_STATES.has(state) ? job.row : undefined));
	}
}
