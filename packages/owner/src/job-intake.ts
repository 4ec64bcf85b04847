import {FINAL_JOB_STATES, type JobRow} from '@amaranthsail/core';
import type {Refusal} from '@amaranthsail/scheduler';
import type {CoreContext} from './core-context.js';
import {driveJob} from './job-driver.js';
import {createJobRecord, toSchedulerJob, type JobRecord} from './job-record.js';
import type {JobResults} from './job-results.js';
import {restoreAttempt} from './recovery.js';

/** Delay before a job that the scheduler refused for the moment is submitted again. */
export const RESUBMIT_DELAY_MS = 1000;

/** Time after a claim in which most agents have not reported, so that a job that does not fit is not refused for good. */
export const SETTLE_AFTER_CLAIM_MS = 15_000;

function isTemporary(context: CoreContext, job: JobRecord, refusal: Refusal, nowMs: number): boolean {
	const isUnsettled = nowMs < context.options.claimedAtMs + SETTLE_AFTER_CLAIM_MS;
	const isAboutWorkers = refusal.code === 'never_fits' || refusal.code === 'unknown_service';
	// A takeover submits many jobs at once; they were admitted before and are not refused for load.
	return (isUnsettled && isAboutWorkers) || (job.isRecovered && refusal.retryable);
}

function submit(context: CoreContext, job: JobRecord, nowMs: number): void {
	const answer = context.scheduler.submit(toSchedulerJob(job, context.options.wallOffsetMs), nowMs);
	if (answer.admitted) {
		job.queued = true;
		context.needsDecide = true;
		return;
	}

	if (isTemporary(context, job, answer.refusal, nowMs)) {
		job.resubmitAtMs = nowMs + RESUBMIT_DELAY_MS;
		return;
	}

	job.refusal = answer.refusal;
}

/**
 * Submits a job again that the scheduler refused for the moment, once its time has come.
 *
 * @param context - The core's state.
 * @param job - The job.
 * @param nowMs - Monotonic milliseconds.
 */
export function resubmitDue(context: CoreContext, job: JobRecord, nowMs: number): void {
	if (job.resubmitAtMs !== undefined && nowMs >= job.resubmitAtMs) {
		job.resubmitAtMs = undefined;
		submit(context, job, nowMs);
	}
}

/**
 * Takes a row as read after an acceptance, a scan or a failed condition.
 *
 * @param context - The core's state.
 * @param results - Applies rows to jobs whose write is in doubt.
 * @param input - The row and its version.
 * @param nowMs - Monotonic milliseconds.
 */
export function takeJobRow(context: CoreContext, results: JobResults, input: {readonly row: JobRow; readonly version: number}, nowMs: number): void {
	const {row, version} = input;
	const known = context.jobs.get(row.jobId);
	if (known !== undefined) {
		if (known.readingSinceMs !== undefined) {
			results.readBack(known, row, version, nowMs);
		}

		return;
	}

	if (FINAL_JOB_STATES.has(row.state)) {
		results.noteEnded(row.jobId, version);
		context.answer(context.waiters.answer(row.jobId, row));
		return;
	}

	if (row.failureDomain !== context.options.failureDomain || results.isOutdated(row.jobId, version)) {
		return;
	}

	const job = createJobRecord(row, version, !context.gate.isRecovered);
	context.jobs.set(row.jobId, job);
	if (row.state === 'waiting') {
		if (!job.cancelRequested) {
			submit(context, job, nowMs);
		}
	} else {
		restoreAttempt(context, job, nowMs);
	}

	driveJob(context, job, nowMs);
}

/**
 * Hands waiting jobs over to another failure domain. A job that is placed, ends or is cancelled stays.
 *
 * @param context - The core's state.
 * @param jobIds - The jobs.
 * @param failureDomain - The failure domain that takes them.
 * @param nowMs - Monotonic milliseconds.
 */
export function moveJobs(context: CoreContext, jobIds: readonly string[], failureDomain: string, nowMs: number): void {
	for (const jobId of jobIds) {
		const job = context.jobs.get(jobId);
		if (job?.attempt !== undefined || job?.row.state !== 'waiting' || job.cancelRequested || job.refusal !== undefined) {
			continue;
		}

		job.moveTo = failureDomain;
		job.requeueAtMs = undefined;
		job.resubmitAtMs = undefined;
		job.queued = false;
		context.scheduler.withdraw(jobId);
		driveJob(context, job, nowMs);
	}
}

/**
 * Requests the cancellation of jobs. Waiting jobs end with the next batch of writes; placed ones are stopped first.
 *
 * @param context - The core's state.
 * @param jobIds - The jobs; unknown ones are ignored.
 * @param nowMs - Monotonic milliseconds.
 */
export function cancelJobs(context: CoreContext, jobIds: readonly string[], nowMs: number): void {
	for (const jobId of jobIds) {
		const job = context.jobs.get(jobId);
		if (job === undefined || job.cancelRequested) {
			continue;
		}

		job.cancelRequested = true;
		job.requeueAtMs = undefined;
		job.resubmitAtMs = undefined;
		if (job.attempt === undefined) {
			context.scheduler.withdraw(jobId);
			job.queued = false;
		}

		driveJob(context, job, nowMs);
	}
}
