import {FINAL_JOB_STATES, type JobRow} from '@amaranthsail/core';

/** Representation of a job in the API. */
export type JobView = {
	readonly jobId: string;
	readonly state: JobRow['state'];
	readonly final: boolean;
	readonly outcome?: JobRow['outcome'];
	readonly reason?: JobRow['reason'];
	readonly service: string;
	readonly operation: string;
	readonly failureDomain: string;
	readonly attempt: number;
	readonly workers: readonly string[];
	readonly acceptedAtMs: number;
	readonly startedAtMs?: number;
	readonly finishedAtMs?: number;
	readonly deadlineAtMs?: number;
	/** How far an unfinished job is past its deadline, or how late a finished job was; absent when it is not late. */
	readonly lateByMs?: number;
	readonly cancelRequested: boolean;
	/** Path to read the job again. */
	readonly href: string;
};

/**
 * Converts the row of a job to its representation in the API.
 *
 * @param row - The row of the job.
 * @param nowMs - The wall time, in milliseconds.
 * @returns The representation for the account of the job.
 */
export function jobViewOf(row: JobRow, nowMs: number): JobView {
	const {deadlineAtMs} = row.spec;
	const lateByMs = deadlineAtMs === undefined ? 0 : (row.finishedAtMs ?? nowMs) - deadlineAtMs;
	return {
		jobId: row.jobId,
		state: row.state,
		final: FINAL_JOB_STATES.has(row.state),
		outcome: row.outcome,
		reason: row.reason,
		service: row.spec.service,
		operation: row.spec.operation,
		failureDomain: row.failureDomain,
		attempt: row.attempt,
		workers: row.members.map(member => member.workerId),
		acceptedAtMs: row.acceptedAtMs,
		startedAtMs: row.startedAtMs,
		finishedAtMs: row.finishedAtMs,
		deadlineAtMs,
		lateByMs: lateByMs > 0 ? lateByMs : undefined,
		cancelRequested: row.cancelRequested,
		href: `/v1/jobs/${row.jobId}`,
	};
}
