import {
	cancellationKey, createJobTombstone, decodeCancelledBy, type JobRow, type RowCondition, type RowWrite, type StoredRow, TABLES,
} from '@amaranthsail/pool';
import type {JobRequestOutcome} from './job-request-outcome.js';

/** What a cancellation has to write, if anything, before its outcome is true. */
export type CancellationPlan = {
	readonly outcome: JobRequestOutcome;
	readonly write?: {readonly conditions: readonly RowCondition[]; readonly row: RowWrite; readonly isTombstone: boolean};
};

/** No earlier write of the job for this account can take effect any more. */
const NO_SUCH_JOB: JobRequestOutcome = {kind: 'no_such_job', isFinal: true};

/**
 * Plans the cancellation of a job. The absence of a job is final only once a row under its key makes the condition of its
 * writes false; reading that there is none does not show that none will be executed.
 *
 * @param rows - Present rows of the job and of its cancellation.
 * @param request - The job, the account of the caller, and the Unix time in milliseconds.
 * @returns The plan.
 */
export function planCancellation(rows: readonly StoredRow[], {jobId, account, wallMs}: {readonly jobId: string; readonly account: string; readonly wallMs: number}): CancellationPlan {
	const row = rows.find(({key, isRemoved}) => key === jobId && !isRemoved);
	const cancelledBy = decodeCancelledBy(row?.value);
	if (!row || cancelledBy) {
		return cancelledBy?.includes(account) ? {outcome: NO_SUCH_JOB} : planTombstone(jobId, row?.version ?? 0, createJobTombstone([...cancelledBy ?? [], account] as [string, ...string[]], wallMs));
	}

	const job = row.value as JobRow | undefined;
	if (job?.account !== account) {
		return {outcome: NO_SUCH_JOB};
	}

	const key = cancellationKey(jobId);
	if (job.finalState !== undefined || rows.some(candidate => candidate.key === key)) {
		return {outcome: {kind: 'accepted'}};
	}

	// The job's row changes only when the job ends. A write that is executed after that would leave a row that nobody removes.
	const conditions = [{table: TABLES.jobs, key, version: 0}, {table: TABLES.jobs, key: jobId, version: row.version}];
	return {outcome: {kind: 'accepted'}, write: {conditions, row: {table: TABLES.jobs, key, value: {}}, isTombstone: false}};
}

function planTombstone(jobId: string, version: number, value: JobRow): CancellationPlan {
	return {
		outcome: NO_SUCH_JOB,
		write: {conditions: [{table: TABLES.jobs, key: jobId, version}], row: {table: TABLES.jobs, key: jobId, value}, isTombstone: true},
	};
}
