import {asFields, isText} from '@amaranthsail/core';
import {JOB_STATES} from './model.js';
import type {JobRow} from './rows.js';

/**
 * Row under the key of a job that was cancelled while the store did not have it. A write of the job that is executed
 * later requires that this key is absent, and has no effect. An earlier release reads it as a cancelled job.
 */
export type JobTombstone = JobRow & {
	/** Client accounts whose cancellations the row records; for others, the id is unused. */
	readonly cancelledBy: readonly string[];
};

/**
 * Creates the row that records cancellations of an unknown job.
 *
 * @param cancelledBy - The client accounts; at least one.
 * @param wallMs - Unix time of the newest cancellation in milliseconds.
 * @returns The row.
 */
export function createJobTombstone(cancelledBy: readonly [string, ...string[]], wallMs: number): JobTombstone {
	return {
		queue: '', account: cancelledBy[0], acceptedAtMs: wallMs, finalState: JOB_STATES.cancelled, endedAtMs: wallMs, cancelledBy,
	};
}

/**
 * Decodes a row of the jobs table that records cancellations of an unknown job.
 *
 * @param value - Decoded JSON of the row.
 * @returns The client accounts that have cancelled it, or undefined for any other row.
 */
export function decodeCancelledBy(value: unknown): readonly [string, ...string[]] | undefined {
	const {cancelledBy} = asFields(value);
	return Array.isArray(cancelledBy) && cancelledBy.length > 0 && cancelledBy.every(account => isText(account))
		? cancelledBy as [string, ...string[]]
		: undefined;
}
