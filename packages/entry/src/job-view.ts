import {FINAL_JOB_STATES, type JobRow} from '@amaranthsail/core';

/** A job as callers see it. */
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
	/** Time by which an unfinished job is past its deadline, or a finished one was; absent when it is not late. */
	readonly lateByMs?: number;
	readonly cancelRequested: boolean;
	/** How to ask again. */
	readonly href: string;
};

/**
 * Shows a job to its account.
 *
 * @param row - The row of the job.
 * @param nowMs - Wall time.
 * @returns What the caller sees.
 */
export function viewOf(row: JobRow, nowMs: number): JobView {
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
