import {
	cancellationKey, decodeCancelledBy, decodeRunRow, type JobRow, JOB_STATES, type KeyRange, type PoolStore, prefixRange, TABLES,
} from '@amaranthsail/pool';
import type {JobRequestOutcome} from './job-request-outcome.js';

/** @returns Key range of a job's row and the row of its cancellation. */
export function jobRowRange(jobId: string): KeyRange {
	return {from: jobId, to: `${cancellationKey(jobId)}\0`};
}

/**
 * Reads the state of a job from the store.
 *
 * @param store - The store.
 * @param jobId - The job.
 * @param account - Account of the caller.
 * @param timeoutMs - Timeout of each read.
 * @returns The state, that there is no such job, or that the store could not be read.
 */
export async function readStoredJobState(store: PoolStore, jobId: string, account: string, timeoutMs: number): Promise<JobRequestOutcome | 'unavailable'> {
	const page = await store.read(TABLES.jobs, jobRowRange(jobId), timeoutMs);
	if (!page.ok) {
		return 'unavailable';
	}

	const value = page.value.rows.find(row => row.key === jobId)?.value;
	const job = value as JobRow | undefined;
	if (job?.account !== account || decodeCancelledBy(value)) {
		return {kind: 'no_such_job'};
	}

	if (job.finalState !== undefined) {
		return {kind: 'state', state: job.finalState};
	}

	if (page.value.rows.some(row => row.key === cancellationKey(jobId))) {
		return {kind: 'state', state: JOB_STATES.cancelled};
	}

	const runs = await store.read(TABLES.runs, prefixRange(`${jobId}.`), timeoutMs);
	if (!runs.ok) {
		return 'unavailable';
	}

	const hasBegun = runs.value.rows.some(({value}) => decodeRunRow(value)?.isUnbegun !== true);
	return {kind: 'state', state: hasBegun ? JOB_STATES.running : JOB_STATES.queued};
}
