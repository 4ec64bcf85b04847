import {createAttempt, placedTasksOf} from './attempt.js';
import type {CoreContext} from './core-context.js';
import {toSchedulerJob, type JobRecord} from './job-record.js';

/**
 * Restores a decided or running attempt from the job's row. Its members count as unreported until their agents
 * report; no member is released before all have reported, and members on silent agents are fenced.
 *
 * @param context - The core's state.
 * @param job - The job, without an attempt.
 * @param nowMs - Monotonic milliseconds.
 */
export function restoreAttempt(context: CoreContext, job: JobRecord, nowMs: number): void {
	const {row} = job;
	const {wallOffsetMs} = context.options;
	const attempt = createAttempt(row.attempt, row.members, {isRecovered: true, nowMs});
	job.lastAttemptNumber = Math.max(job.lastAttemptNumber, row.attempt);
	context.attachAttempt(job, attempt);
	job.isPlaced = true;
	const startedAtMs = row.startedAtMs === undefined ? nowMs : row.startedAtMs - wallOffsetMs;
	context.scheduler.restore(toSchedulerJob(job, wallOffsetMs), placedTasksOf(attempt), startedAtMs, nowMs);
}
