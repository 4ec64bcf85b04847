import type {JobRow, CallerOutcome, JobState} from '@amaranthsail/core';
import type {Refusal, SchedulerJob} from '@amaranthsail/scheduler';
import type {Attempt} from './attempt.js';

/** Kind of a durable write of a job. */
export type JobWriteKind = 'decision' | 'running' | 'cancel_mark' | 'waiting' | 'moved' | 'final';

/** A durable write of one job, queued or sent. */
export type JobWrite = {
	readonly kind: JobWriteKind;
	readonly next: JobRow;
	/** Id of the transaction that contains it; undefined while it is queued and may still be dropped. */
	writeId: string | undefined;
};

/** A job of the failure domain, with its state that is not yet in its row. */
export type JobRecord = {
	/** The row as last confirmed. */
	row: JobRow;
	version: number;
	attempt: Attempt | undefined;
	write: JobWrite | undefined;
	/** When a read of the row was last requested; no new write is made before its result. Undefined when none is pending. */
	readRequestedAtMs: number | undefined;
	/** A row read back with a lower version is outdated. */
	minimumVersion: number;
	/** No write is made before this time; set after a write that did not take effect. */
	nextWriteAtMs: number;
	cancelRequested: boolean;
	/** Whether the job is in the scheduler's queue. */
	isQueued: boolean;
	/** When the job returns to the scheduler's queue. */
	requeueAtMs: number | undefined;
	/** Whether the job was read during recovery, so an earlier owner has admitted it. */
	readonly isRecovered: boolean;
	/** When the job is submitted to the scheduler again. */
	resubmitAtMs: number | undefined;
	/** The failure domain to which the job is being moved. */
	moveTarget: string | undefined;
	/** Whether the scheduler has assigned resources to the job. */
	isPlaced: boolean;
	/** Set when the job ends without a further attempt. */
	refusal: Refusal | undefined;
	failedWorkers: readonly string[];
	failedAttempts: number;
	ranBefore: boolean;
	checkpointAttempt: number | undefined;
	/** Attempts abandoned before their decision, since the last decided attempt. */
	undecidedAttemptCount: number;
	/** Highest attempt number used or seen in a report. */
	lastAttemptNumber: number;
};

/**
 * Creates the record of a job from its row.
 *
 * @param row - The row as read.
 * @param version - Its version.
 * @param isRecovered - Whether the row was read during recovery.
 * @returns A record without an attempt.
 */
export function createJobRecord(row: JobRow, version: number, isRecovered: boolean): JobRecord {
	return {
		row,
		version,
		attempt: undefined,
		write: undefined,
		readRequestedAtMs: undefined,
		minimumVersion: version,
		nextWriteAtMs: Number.NEGATIVE_INFINITY,
		cancelRequested: row.cancelRequested,
		isQueued: false,
		requeueAtMs: undefined,
		isRecovered,
		resubmitAtMs: undefined,
		undecidedAttemptCount: 0,
		moveTarget: undefined,
		isPlaced: false,
		refusal: undefined,
		failedWorkers: row.failedWorkers,
		failedAttempts: row.failedAttempts ?? 0,
		ranBefore: row.ranBefore ?? false,
		checkpointAttempt: row.checkpointAttempt,
		lastAttemptNumber: row.attempt,
	};
}

/**
 * Converts a job for the scheduler.
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
 * Builds the next row of a job from its record.
 *
 * @param job - The job.
 * @param changes - Fields that the write changes.
 * @returns The row to write, without a write id.
 */
export function rowWithChanges(job: JobRecord, changes: Partial<JobRow>): JobRow {
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
