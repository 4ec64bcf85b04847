import type {JobRow, CallerOutcome, JobState} from '@amaranthsail/core';
import type {Refusal, SchedulerJob} from '@amaranthsail/scheduler';
import type {Attempt} from './attempt.js';

/** What a durable write does to a job. */
export type JobWriteKind = 'decision' | 'running' | 'cancel_mark' | 'waiting' | 'moved' | 'final';

/** A durable write of one job, queued or sent. */
export type JobWrite = {
	readonly kind: JobWriteKind;
	readonly next: JobRow;
	/** Id of the transaction that carries it; undefined while it is queued and may still be dropped. */
	writeId: string | undefined;
};

/** A job of the failure domain and everything that is not yet in its row. */
export type JobRecord = {
	/** The row as last confirmed. */
	row: JobRow;
	version: number;
	attempt: Attempt | undefined;
	write: JobWrite | undefined;
	/** A read of the row is under way since then; no new write is made before its result. */
	readingSinceMs: number | undefined;
	/** A row read back with a lower version is out of date. */
	minimumVersion: number;
	/** No write before this time, after the store refused one. */
	retryAtMs: number;
	cancelRequested: boolean;
	/** The scheduler holds the job in its queue. */
	queued: boolean;
	/** The job goes back to the scheduler's queue at this time. */
	requeueAtMs: number | undefined;
	/** Read in a recovery: it was admitted before, under an earlier owner. */
	readonly isRecovered: boolean;
	/** The job is submitted to the scheduler again at this time. */
	resubmitAtMs: number | undefined;
	/** The failure domain that takes the job over. */
	moveTo: string | undefined;
	/** The scheduler has given resources to the job. */
	placed: boolean;
	/** The job ends without a further attempt. */
	refusal: Refusal | undefined;
	failedWorkers: readonly string[];
	failedAttempts: number;
	ranBefore: boolean;
	checkpointAttempt: number | undefined;
	/** Attempts given up before their decision since the last one that was decided. */
	undecidedAttempts: number;
	/** Highest attempt number used or seen in a report. */
	lastAttempt: number;
};

/**
 * Makes the record of a job from its row.
 *
 * @param row - The row as read.
 * @param version - Its version.
 * @param isRecovered - Whether it is read in a recovery.
 * @returns A record without an attempt.
 */
export function createJobRecord(row: JobRow, version: number, isRecovered: boolean): JobRecord {
	return {
		row,
		version,
		attempt: undefined,
		write: undefined,
		readingSinceMs: undefined,
		minimumVersion: version,
		retryAtMs: Number.NEGATIVE_INFINITY,
		cancelRequested: row.cancelRequested,
		queued: false,
		requeueAtMs: undefined,
		isRecovered,
		resubmitAtMs: undefined,
		undecidedAttempts: 0,
		moveTo: undefined,
		placed: false,
		refusal: undefined,
		failedWorkers: row.failedWorkers,
		failedAttempts: row.failedAttempts ?? 0,
		ranBefore: row.ranBefore ?? false,
		checkpointAttempt: row.checkpointAttempt,
		lastAttempt: row.attempt,
	};
}

/**
 * Describes a job for the scheduler.
 *
 * @param job - The job.
 * @param wallOffsetMs - Wall-clock time minus monotonic time.
 * @returns The job with its times on the monotonic clock.
 */
export function toSchedulerJob(job: JobRecord, wallOffsetMs: number): SchedulerJob {
	const {jobId, spec, acceptedAtMs} = job.row;
	return {
		jobId,
		spec,
		submittedAtMs: acceptedAtMs - wallOffsetMs,
		...(spec.deadlineAtMs !== undefined && {deadlineAtMs: spec.deadlineAtMs - wallOffsetMs}),
		attempts: job.failedAttempts,
		failedWorkers: job.failedWorkers,
		isAccepted: true,
	};
}

/**
 * Gives the row of a job with what is known beside its current attempt.
 *
 * @param job - The job.
 * @param changes - Fields that the write changes.
 * @returns The row to write, without a write id.
 */
export function nextRow(job: JobRecord, changes: Partial<JobRow>): JobRow {
	return {
		...job.row,
		cancelRequested: job.cancelRequested,
		failedWorkers: job.failedWorkers,
		failedAttempts: job.failedAttempts,
		ranBefore: job.ranBefore,
		...(job.checkpointAttempt !== undefined && {checkpointAttempt: job.checkpointAttempt}),
		...changes,
	};
}

/** How a job ends. */
export type JobEnd = {
	readonly state: JobState;
	readonly outcome: CallerOutcome;
	readonly reason?: {readonly code: string; readonly message: string};
};
