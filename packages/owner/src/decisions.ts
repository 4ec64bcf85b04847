import {HEARTBEAT_INTERVAL_MS} from '@amaranthsail/core';
import type {Decision, PlacedTask} from '@amaranthsail/scheduler';
import {createAttempt, isStoppable} from './attempt.js';
import type {CoreContext} from './core-context.js';
import {REQUEUE_DELAY_MS, driveJob} from './job-driver.js';
import type {JobRecord} from './job-record.js';

/**
 * Numbers of attempts that one epoch may use. An attempt that was prepared but never decided is in no row, so each
 * epoch numbers its attempts in a range of its own and never meets such a leftover under the same number.
 */
export const ATTEMPTS_PER_EPOCH = 1000;

function placeMembers(context: CoreContext, tasks: readonly PlacedTask[], nowMs: number): ReadonlyArray<PlacedTask & {readonly incarnation: string}> | undefined {
	const places = tasks.flatMap(task => {
		const worker = context.workers.get(task.workerId);
		const isUsable = worker?.facts !== undefined && !worker.leaving && !context.workers.isSuspect(worker, nowMs);
		return isUsable ? [{...task, incarnation: worker.incarnation}] : [];
	});
	return places.length === tasks.length && tasks.length > 0 ? places : undefined;
}

function place(context: CoreContext, job: JobRecord, tasks: readonly PlacedTask[], nowMs: number): void {
	job.queued = false;
	job.placed = true;
	const places = placeMembers(context, tasks, nowMs);
	if (places === undefined) {
		context.scheduler.ended(job.row.jobId, 'stopped', [], nowMs);
		job.placed = false;
		job.requeueAtMs = nowMs + REQUEUE_DELAY_MS;
		return;
	}

	job.lastAttempt = Math.max(job.lastAttempt, (context.options.epoch - 1) * ATTEMPTS_PER_EPOCH) + 1;
	context.attach(job, createAttempt(job.lastAttempt, places, {recovered: false, nowMs}));
	driveJob(context, job, nowMs);
}

function preempt(context: CoreContext, job: JobRecord, graceMs: number, nowMs: number): void {
	const {attempt} = job;
	if (attempt === undefined || attempt.preempt !== undefined || attempt.stopCause !== undefined || !isStoppable(job.row.spec)) {
		return;
	}

	attempt.preempt = {untilMs: nowMs + graceMs, hadCheckpoint: attempt.members.map(member => member.hasCheckpoint)};
	context.measure('owner.preempt', {count: 1}, {account: job.row.spec.account});
	driveJob(context, job, nowMs);
}

function carryOut(context: CoreContext, decision: Decision, nowMs: number): void {
	const job = context.jobs.get(decision.jobId);
	if (job === undefined) {
		return;
	}

	switch (decision.kind) {
		case 'place': {
			if (job.attempt === undefined && !job.cancelRequested && job.refusal === undefined) {
				place(context, job, decision.tasks, nowMs);
			}

			return;
		}

		case 'preempt': {
			preempt(context, job, decision.graceMs, nowMs);
			return;
		}

		case 'refuse': {
			if (job.attempt === undefined) {
				job.refusal = decision.refusal;
				job.queued = false;
				driveJob(context, job, nowMs);
			}

			return;
		}

		case 'duplicate': {
			// Second attempts are switched off in the configuration that the scheduler gets.
			context.measure('owner.duplicate_ignored', {count: 1});
		}
	}
}

/**
 * Tells whether the agents have had time to report to a new owner. While only some have, the rest of the failure domain
 * looks lost, and a reclaim would stop running work although another worker is idle.
 */
function hasHeardAgents(context: CoreContext, nowMs: number): boolean {
	const {firstHeardAtMs} = context.workers;
	return context.options.epoch === 1 || (firstHeardAtMs !== undefined && nowMs - firstHeardAtMs >= HEARTBEAT_INTERVAL_MS);
}

/**
 * Lets the scheduler decide and carries its decisions out.
 *
 * @param context - The core's state.
 * @param nowMs - Monotonic milliseconds.
 */
export function decide(context: CoreContext, nowMs: number): void {
	if (!context.gate.canDecide(nowMs) || !hasHeardAgents(context, nowMs)) {
		return;
	}

	context.needsDecide = false;
	for (const decision of context.scheduler.decide(nowMs)) {
		carryOut(context, decision, nowMs);
	}
}
