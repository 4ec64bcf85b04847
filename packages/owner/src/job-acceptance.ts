import {FINAL_JOB_STATES, type JobRow} from '@amaranthsail/core';
import type {Refusal} from '@amaranthsail/scheduler';
import type {CoreContext} from './core-context.js';
import {advanceJob} from './advance-job.js';
import {createJobRecord, toSchedulerJob, type JobRecord} from './job-record.js';
import type {JobResults} from './job-results.js';
import {restoreAttempt} from './owner-recovery.js';

/** Delay before a job with a temporary refusal is submitted to the scheduler again. */
export const RESUBMIT_DELAY_MS = 1000;

/** Time after a claim during which refusals for lack of workers are temporary, because most agents have not reported yet. */
export const POST_CLAIM_GRACE_MS = 15_000;

function isTemporaryRefusal(context: CoreContext, job: JobRecord, refusal: Refusal, nowMs: number): boolean {
	const isWithinClaimGrace = nowMs < context.options.claimedAtMs + POST_CLAIM_GRACE_MS;
	const isWorkerDependent = refusal.code === 'never_fits' || refusal.code === 'unknown_service';
	// A takeover submits many jobs at once; they were admitted before and must not be refused because of load.
	return (isWithinClaimGrace && isWorkerDependent) || (job.isRecovered && refusal.retryable);
}

function submitToScheduler(context: CoreContext, job: JobRecord, nowMs: number): void {
	const admission = context.scheduler.submit(toSchedulerJob(job, context.options.wallOffsetMs), nowMs);
	if (admission.admitted) {
		job.isQueued = true;
		context.needsDecision = true;
		return;
	}

	if (isTemporaryRefusal(context, job, admission.refusal, nowMs)) {
		job.resubmitAtMs = nowMs + RESUBMIT_DELAY_MS;
		return;
	}

	job.refusal = admission.refusal;
}

/**
 * Resubmits a temporarily refused job to the scheduler once its delay has passed.
 *
 * @param context - The core's state.
 * @param job - The job.
 * @param nowMs - Monotonic milliseconds.
 */
export function resubmitIfDue(context: CoreContext, job: JobRecord, nowMs: number): void {
	if (job.resubmitAtMs !== undefined && nowMs >= job.resubmitAtMs) {
		job.resubmitAtMs = undefined;
		submitToScheduler(context, job, nowMs);
	}
}

/**
 * Handles a job row that was read after an acceptance, a scan or a failed condition.
 *
 * @param context - The core's state.
 * @param results - Applies rows to jobs whose write has an unknown outcome.
 * @param input - The row and its version.
 * @param nowMs - Monotonic milliseconds.
 */
export function handleJobRow(context: CoreContext, results: JobResults, input: {readonly row: JobRow; readonly version: number}, nowMs: number): void {
	const {row, version} = input;
	const knownJob = context.jobs.get(row.jobId);
	if (knownJob !== undefined) {
		if (knownJob.readRequestedAtMs !== undefined) {
			results.applyReadBack(knownJob, row, version, nowMs);
		}

		return;
	}

	if (FINAL_JOB_STATES.has(row.state)) {
		results.recordEnded(row.jobId, version);
		context.answerWaiters(context.waiters.takeSatisfied(row.jobId, row));
		return;
	}

	if (row.failureDomain !== context.options.failureDomain || results.isOutdated(row.jobId, version)) {
		return;
	}

	const job = createJobRecord(row, version, !context.gate.isRecovered);
	context.jobs.set(row.jobId, job);
	if (row.state === 'waiting') {
		if (!job.cancelRequested) {
			submitToScheduler(context, job, nowMs);
		}
	} else {
		restoreAttempt(context, job, nowMs);
	}

	advanceJob(context, job, nowMs);
}

/**
 * Moves waiting jobs to another failure domain. Jobs that are placed, refused or being cancelled are not moved.
 *
 * @param context - The core's state.
 * @param jobIds - The jobs.
 * @param failureDomain - The target failure domain.
 * @param nowMs - Monotonic milliseconds.
 */
export function moveJobs(context: CoreContext, jobIds: readonly string[], failureDomain: string, nowMs: number): void {
	for (const jobId of jobIds) {
		const job = context.jobs.get(jobId);
		if (job?.attempt !== undefined || job?.row.state !== 'waiting' || job.cancelRequested || job.refusal !== undefined) {
			continue;
		}

		job.moveTarget = failureDomain;
		job.requeueAtMs = undefined;
		job.resubmitAtMs = undefined;
		job.isQueued = false;
		context.scheduler.withdraw(jobId);
		advanceJob(context, job, nowMs);
	}
}

/**
 * Requests the cancellation of jobs. Waiting jobs end with the next batch of writes; placed jobs are stopped first.
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
			job.isQueued = false;
		}

		advanceJob(context, job, nowMs);
	}
}
