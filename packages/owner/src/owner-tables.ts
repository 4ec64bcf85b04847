/** Names of the tables that an owner uses. */
export const OWNER_TABLES = {
	ownership: 'ownership',
	renewals: 'owner_renewals',
	jobs: 'jobs',
	openJobs: 'open_jobs',
} as const;

/**
 * Returns the key of the index row of an open job.
 *
 * @param failureDomain - The failure domain of the job.
 * @param jobId - The job.
 * @returns The key in `open_jobs`.
 */
export function openJobKey(failureDomain: string, jobId: string): string {
	return `${failureDomain}/${jobId}`;
}
