import type {JobRow} from '@amaranthsail/core';

/** The row `jobs/{jobId}` with the fields that only owners write. All are optional, so rows written without them stay readable. */
export type OwnedJobRow = JobRow & {
	/** Attempt whose checkpoints the next attempt continues from. */
	readonly checkpointAttempt?: number;
	/** Attempts that ended because a task failed or was refused. */
	readonly failedAttempts?: number;
	/** Whether a task of an earlier attempt has started, or may have. */
	readonly ranBefore?: boolean;
};

/** Names of the tables that an owner uses. */
export const OWNER_TABLES = {
	ownership: 'ownership',
	renewals: 'owner_renewals',
	jobs: 'jobs',
	openJobs: 'open_jobs',
} as const;

/**
 * Names the index row of an open job.
 *
 * @param failureDomain - Where the job is to run.
 * @param jobId - The job.
 * @returns The key in `open_jobs`.
 */
export function openJobKey(failureDomain: string, jobId: string): string {
	return `${failureDomain}/${jobId}`;
}

/**
 * Names the object that holds the checkpoint of a task.
 *
 * @param jobId - The job.
 * @param attempt - The attempt that wrote the checkpoint.
 * @param taskIndex - The task.
 * @returns The object key.
 */
export function checkpointObjectKey(jobId: string, attempt: number, taskIndex: number): string {
	return `checkpoints/${jobId}/${attempt}/${taskIndex}`;
}
