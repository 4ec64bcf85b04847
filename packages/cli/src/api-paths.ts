import type {RecordId} from '@amaranthsail/records';

/**
 * Builds the API path of a record.
 *
 * @param id - The record.
 * @returns The path.
 */
export function recordPath(id: RecordId): string {
	return `/v1/records/${id.kind}/${encodeURIComponent(id.name)}`;
}

/**
 * Builds the API path of a job.
 *
 * @param jobId - The job.
 * @param suffix - Path and query after the id.
 * @returns The path.
 */
export function jobPath(jobId: string, suffix = ''): string {
	return `/v1/jobs/${encodeURIComponent(jobId)}${suffix}`;
}
