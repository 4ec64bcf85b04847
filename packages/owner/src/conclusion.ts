import {MAX_ATTEMPTS, answerObjectKey} from '@amaranthsail/core';
import {
	failedWorkersOf, isProvenNeverStarted, type Attempt,
} from './attempt.js';
import {
	nextRow, type JobEnd, type JobRecord, type JobWrite,
} from './job-record.js';

function finalWrite(job: JobRecord, end: JobEnd, finishedAtMs: number): JobWrite {
	return {kind: 'final', next: nextRow(job, {...end, finishedAtMs}), writeId: undefined};
}

/**
 * Ends a job that has no attempt, when there is a reason to.
 *
 * @param job - A waiting job without an attempt.
 * @param wallMs - Wall-clock time.
 * @returns The final write, or undefined while the job waits on.
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
 * Ends a job whose tasks have all finished. Answers come from the given attempt only.
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
		kind: 'final', writeId: undefined, next: nextRow(job, {
			state: 'completed', outcome: 'completed', answers, finishedAtMs: wallMs,
		}),
	};
}

/** Counts a settled attempt's failures against its job. */
function withFailures(job: JobRecord, attempt: Attempt): JobRecord {
	const failed = failedWorkersOf(attempt);
	const checkpointed = attempt.members.every(member => member.hasCheckpoint);
	return {
		...job,
		failedWorkers: [...new Set([...job.failedWorkers, ...failed])],
		failedAttempts: job.failedAttempts + (failed.length > 0 ? 1 : 0),
		ranBefore: job.ranBefore || (attempt.decision !== 'none' && !isProvenNeverStarted(attempt)),
		checkpointAttempt: checkpointed ? attempt.number : job.checkpointAttempt,
	};
}

function neverRuns(job: JobRecord, message: string): JobEnd | undefined {
	if (job.failedAttempts < MAX_ATTEMPTS) {
		return undefined;
	}

	return {
		state: 'failed', outcome: job.ranBefore ? 'failed' : 'not_run',
		reason: {code: 'never_runs', message: `Each of ${job.failedAttempts} attempts failed. ${message}`},
	};
}

/** All members are known to be stopped, so the job has certainly run and ended. */
function endOfTimedOut(attempt: Attempt): JobEnd {
	return {state: 'failed', outcome: 'failed', reason: {code: 'run_time_exceeded', message: attempt.stopCause!.message}};
}

function endOfNonRepeatable(attempt: Attempt): JobEnd {
	const message = attempt.stopCause?.message ?? 'The attempt ended early.';
	const isAllReported = attempt.members.every(member => member.end === 'reported' && member.everStarted !== undefined);
	const hasFailed = attempt.members.some(member => member.state === 'failed' && member.everStarted);
	if (isAllReported && hasFailed) {
		return {state: 'failed', outcome: 'failed', reason: {code: 'task_failed', message}};
	}

	if (isAllReported && attempt.stopCause?.kind === 'timed_out') {
		return endOfTimedOut(attempt);
	}

	if (isAllReported && attempt.stopCause?.kind === 'cancelled') {
		return {state: 'cancelled', outcome: 'failed', reason: {code: 'cancelled', message: 'The job was stopped while it ran.'}};
	}

	return {state: 'unknown', outcome: 'unknown', reason: {code: 'start_consumed', message: `${message} The job may have run and cannot run again.`}};
}

function endOfCancelled(attempt: Attempt): JobEnd {
	const isAllReported = attempt.members.every(member => member.end === 'reported');
	return {
		state: 'cancelled', outcome: isAllReported ? 'failed' : 'unknown',
		reason: {code: 'cancelled', message: 'The job was stopped while it ran.'},
	};
}

/**
 * Gives an undecided attempt's failures to its job. Nothing was released, so nothing is written.
 *
 * @param job - The job; updated.
 * @param attempt - The settled attempt.
 */
export function absorbUndecided(job: JobRecord, attempt: Attempt): void {
	const {failedWorkers, failedAttempts} = withFailures(job, attempt);
	job.failedWorkers = failedWorkers;
	job.failedAttempts = failedAttempts;
	const end = neverRuns(job, attempt.stopCause?.message ?? '');
	if (end !== undefined) {
		job.refusal = {code: 'never_runs', message: end.reason!.message, retryable: false};
	}
}

/**
 * Decides what follows a decided attempt that was stopped and whose members are all settled.
 *
 * @param job - The job.
 * @param attempt - The settled attempt.
 * @param wallMs - Wall-clock time.
 * @returns The write that ends the job or puts it back to waiting.
 */
export function concludeStopped(job: JobRecord, attempt: Attempt, wallMs: number): JobWrite {
	const counted = withFailures(job, attempt);
	const hasNotStarted = isProvenNeverStarted(attempt);
	if (job.cancelRequested && hasNotStarted) {
		const outcome = counted.ranBefore ? 'failed' : 'not_run';
		return finalWrite(counted, {state: 'cancelled', outcome, reason: {code: 'cancelled', message: 'The job was cancelled before it started.'}}, wallMs);
	}

	if (!job.row.spec.repeatable && !hasNotStarted) {
		return finalWrite(counted, endOfNonRepeatable(attempt), wallMs);
	}

	if (job.cancelRequested) {
		return finalWrite(counted, endOfCancelled(attempt), wallMs);
	}

	if (attempt.stopCause?.kind === 'timed_out') {
		return finalWrite(counted, endOfTimedOut(attempt), wallMs);
	}

	const end = neverRuns(counted, attempt.stopCause?.message ?? '');
	if (end !== undefined) {
		return finalWrite(counted, end, wallMs);
	}

	return {
		kind: 'waiting', writeId: undefined, next: nextRow(counted, {state: 'waiting', members: [], startConsumed: false}),
	};
}
