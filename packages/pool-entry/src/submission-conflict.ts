import {
	decodeCancelledBy, type JobRow, type StoredRow, TABLES,
} from '@amaranthsail/pool';
import type {JobRequestOutcome} from './job-request-outcome.js';

/** How a submission goes on after a condition of its write did not hold. */
export type SubmissionConflict
	= | {readonly kind: 'settled'; readonly outcome: JobRequestOutcome}
		/** The id is unused for this account; the write is sent again, to replace the row of this version, or none if it is 0. */
		| {readonly kind: 'replace'; readonly version: number}
		/** The job's row was as expected, so the configuration was not. */
		| {readonly kind: 'configuration_changed'};

/**
 * Judges the rows that the store had instead of those that a submission requires.
 *
 * @param rows - Present rows of the job and of the configuration.
 * @param request - The job, the account of the caller, and the version of the job's row that the write required.
 * @returns How the submission goes on.
 */
export function judgeSubmissionConflict(rows: readonly StoredRow[], {jobId, account, requiredVersion}: {readonly jobId: string; readonly account: string; readonly requiredVersion: number}): SubmissionConflict {
	const present = rows.find(({table, key, version, isRemoved}) => table === TABLES.jobs && key === jobId && version > 0 && !isRemoved);
	const cancelledBy = decodeCancelledBy(present?.value);
	if (cancelledBy?.includes(account)) {
		return {kind: 'settled', outcome: {kind: 'cancelled'}};
	}

	if (present && !cancelledBy) {
		return {kind: 'settled', outcome: submitOutcome((present.value as JobRow | undefined)?.account === account)};
	}

	const version = present?.version ?? 0;
	return version === requiredVersion ? {kind: 'configuration_changed'} : {kind: 'replace', version};
}

/**
 * @param isSameAccount - Whether the job that has the id belongs to the caller's account.
 * @returns The outcome of a submission under an id that is in use.
 */
export function submitOutcome(isSameAccount: boolean): JobRequestOutcome {
	return isSameAccount ? {kind: 'accepted'} : {kind: 'conflict'};
}
