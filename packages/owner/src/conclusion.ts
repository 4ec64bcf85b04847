import {MAX_ATTEMPTS, answerObjectKey} from '@amaranthsail/core';
import {
	failedWorkersOf, isProvenNeverStarted, type Attempt,
} from './attempt.js';
import {
	rowWithChanges, type JobEnd, type JobRecord, type JobWrite,
} from './job-record.js';

function finalWrite(job: JobRecord, end: JobEnd, finishedAtMs: number): JobWrite {
	return {kind: 'final', next: rowWithChanges(job, {...end, finishedAtMs}), writeId: undefined};
}

/**
 * Ends a job without an attempt if it was cancelled or refused.
 *
 * @param job - A waiting job without an attempt.
 * @param wallMs - Wall-clock time.
 * @returns The final write, or undefined while the job continues to wait.
 */
export function concludeWaiting(job: JobRecord, wallMs: number): JobWrite | undefined {
	const outcome = job.ranBefore ? 'failed' : 'not_run';
	if (job.cancelRequested) {
		return finalWrite(job, {state: 'cancelled', outcome, reason: {code: 'cancelled', message: 'The job was cancelled before it ran to its end.'}}, wallMs);
	}

	if (job.refusal !== undefined) {
		const {code, message} = job.refusal;
		return finalWrite(job, {state: 'failed', outcome, reason: {code, message}}, wallMs);
	}

	return undefined;
}

/**
 * Ends a job whose tasks have all finished. Only answers of the given attempt are used.
 *
 * @param job - The job.
 * @param attempt - Its current attempt, with every member finished.
 * @param wallMs - Wall-clock time.
 * @returns The final write.
 */
export function concludeCompleted(job: JobRecord, attempt: Attempt, wallMs: number): JobWrite {
	const answers = attempt.members.map(({place: {taskIndex}, answer}) => ({
		taskIndex,
		objectKey: answerObjectKey({jobId: job.row.jobId, attempt: attempt.number, taskIndex}),
		lengthBytes: answer!.lengthBytes,
		sha256: answer!.sha256,
	}));
	return {
		kind: 'final', writeId: undefined, next: rowWithChanges(job, {
			state: 'completed', outcome: 'completed', answers, finishedAtMs: wallMs,
		}),
	};
}

/** Returns a copy of the job with the failures of an ended attempt counted. */
function withAttemptFailures(job: JobRecord, attempt: Attempt): JobRecord {
	const failed = failedWorkersOf(attempt);
	const isCheckpointed = attempt.members.every(member => member.hasCheckpoint);
	return {
		...job,
		failedWorkers: [...new Set([...job.failedWorkers, ...failed])],
		failedAttempts: job.failedAttempts + (failed.length > 0 ? 1 : 0),
		ranBefore: job.ranBefore || (attempt.decision !== 'none' && !isProvenNeverStarted(attempt)),
		checkpointAttempt: isCheckpointed ? attempt.number : job.checkpointAttempt,
	};
}

function endAfterMaxAttempts(job: JobRecord, message: string): JobEnd | undefined {
	if (job.failedAttempts < MAX_ATTEMPTS) {
		return undefined;
	}

	return {
		state: 'failed', outcome: job.ranBefore ? 'failed' : 'not_run',
		reason: {code: 'never_runs', message: `Each of ${job.failedAttempts} attempts failed. ${message}`},
	};
}

/** Every member has provably ended, so the job has certainly run and ended. */
function endOfTimedOut(attempt: Attempt): JobEnd {
	return {state: 'failed', outcome: 'failed', reason: {code: 'run_time_exceeded', message: attempt.stopCause!.message}};
}

function endOfNonRepeatable(attempt: Attempt): JobEnd {
	const message = attempt.stopCause?.message ?? 'The attempt ended early.';
	const isFullyReported = attempt.members.every(member => member.end === 'reported' && member.everStarted !== undefined);
	const hasFailed = attempt.members.some(member => member.state === 'failed' && member.everStarted);
	if (isFullyReported && hasFailed) {
		return {state: 'failed', outcome: 'failed', reason: {code: 'task_failed', message}};
	}

	if (isFullyReported && attempt.stopCause?.kind === 'timed_out') {
		return endOfTimedOut(attempt);
	}

	if (isFullyReported && attempt.stopCause?.kind === 'cancelled') {
		return {state: 'cancelled', outcome: 'failed', reason: {code: 'cancelled', message: 'The job was stopped while it ran.'}};
	}

	return {state: 'unknown', outcome: 'unknown', reason: {code: 'start_consumed', message: `${message} The job may have run and cannot run again.`}};
}

function endOfCancelled(attempt: Attempt): JobEnd {
	const isFullyReported = attempt.members.every(member => member.end === 'reported');
	return {
		state: 'cancelled', outcome: isFullyReported ? 'failed' : 'unknown',
		reason: {code: 'cancelled', message: 'The job was stopped while it ran.'},
	};
}

/**
 * Counts the failures of an undecided attempt against its job. No member was released, so nothing is written.
 *
 * @param job - The job; updated.
 * @param attempt - The attempt; all its members have ended.
 */
export function recordUndecidedFailures(job: JobRecord, attempt: Attempt): void {
	const {failedWorkers, failedAttempts} = withAttemptFailures(job, attempt);
	job.failedWorkers = failedWorkers;
	job.failedAttempts = failedAttempts;
	const end = endAfterMaxAttempts(job, attempt.stopCause?.message ?? '');
	if (end !== undefined) {
		job.refusal = {code: 'never_runs', message: end.reason!.message, retryable: false};
	}
}

/**
 * Decides what follows a decided attempt that was stopped and whose members have all ended.
 *
 * @param job - The job.
 * @param attempt - The attempt; all its members have ended.
 * @param wallMs - Wall-clock time.
 * @returns The write that ends the job or returns it to waiting.
 */
export function concludeStopped(job: JobRecord, attempt: Attempt, wallMs: number): JobWrite {
	const updatedJob = withAttemptFailures(job, attempt);
	const hasNotStarted = isProvenNeverStarted(attempt);
	if (job.cancelRequested && hasNotStarted) {
		const outcome = updatedJob.ranBefore ? 'failed' : 'not_run';
		return finalWrite(updatedJob, {state: 'cancelled', outcome, reason: {code: 'cancelled', message: 'The job was cancelled before it started.'}}, wallMs);
	}

	if (!job.row.spec.repeatable && !hasNotStarted) {
		return finalWrite(updatedJob, endOfNonRepeatable(attempt), wallMs);
	}

	if (job.cancelRequested) {
		return finalWrite(updatedJob, endOfCancelled(attempt), wallMs);
	}

	if (attempt.stopCause?.kind === 'timed_out') {
		return finalWrite(updatedJob, endOfTimedOut(attempt), wallMs);
	}

	const end = endAfterMaxAttempts(updatedJob, attempt.stopCause?.message ?? '');
	if (end !== undefined) {
		return finalWrite(updatedJob, end, wallMs);
	}

	return {
		kind: 'waiting', writeId: undefined, next: rowWithChanges(updatedJob, {state: 'waiting', members: [], startConsumed: false}),
	};
}
