import {HEARTBEAT_INTERVAL_MS, WORKER_SUSPECT_TIMEOUT_MS} from '@amaranthsail/core';
import type {Decision, PlacedTask} from '@amaranthsail/scheduler';
import {createAttempt, isPreemptible} from './attempt.js';
import type {CoreContext} from './core-context.js';
import {MIN_REQUEUE_DELAY_MS, advanceJob} from './advance-job.js';
import type {JobRecord} from './job-record.js';

/**
 * Number of attempts in the number range of one epoch. An attempt that was prepared but never decided is not in any row.
 * A range per epoch keeps a new attempt from having the same number as an undecided one whose tasks an agent may still have prepared.
 */
export const ATTEMPTS_PER_EPOCH = 1000;

function resolvePlaces(context: CoreContext, tasks: readonly PlacedTask[], nowMs: number): ReadonlyArray<PlacedTask & {readonly incarnation: string}> | undefined {
	const places = tasks.flatMap(task => {
		const worker = context.workers.get(task.workerId);
		const isUsable = worker?.facts !== undefined && !worker.isLeaving && !context.workers.isSuspected(worker, nowMs);
		return isUsable ? [{...task, incarnation: worker.incarnation}] : [];
	});
	return places.length === tasks.length && tasks.length > 0 ? places : undefined;
}

function placeJob(context: CoreContext, job: JobRecord, tasks: readonly PlacedTask[], nowMs: number): void {
	job.isQueued = false;
	job.isPlaced = true;
	const places = resolvePlaces(context, tasks, nowMs);
	if (places === undefined) {
		context.scheduler.ended(job.row.jobId, 'stopped', [], nowMs);
		job.isPlaced = false;
		job.requeueAtMs = nowMs + MIN_REQUEUE_DELAY_MS;
		return;
	}

	job.lastAttemptNumber = Math.max(job.lastAttemptNumber, (context.options.epoch - 1) * ATTEMPTS_PER_EPOCH) + 1;
	context.attachAttempt(job, createAttempt(job.lastAttemptNumber, places, {isRecovered: false, nowMs}));
	advanceJob(context, job, nowMs);
}

function preemptJob(context: CoreContext, job: JobRecord, graceMs: number, nowMs: number): void {
	const {attempt} = job;
	if (attempt === undefined || attempt.preemption !== undefined || attempt.stopCause !== undefined || !isPreemptible(job.row.spec)) {
		return;
	}

	attempt.preemption = {graceEndsAtMs: nowMs + graceMs, hadCheckpoint: attempt.members.map(member => member.hasCheckpoint)};
	context.recordMetric('owner.preempt', {count: 1}, {account: job.row.spec.account});
	advanceJob(context, job, nowMs);
}

function applyDecision(context: CoreContext, decision: Decision, nowMs: number): void {
	const job = context.jobs.get(decision.jobId);
	if (job === undefined) {
		return;
	}

	switch (decision.kind) {
		case 'place': {
			if (job.attempt === undefined && !job.cancelRequested && job.refusal === undefined) {
				placeJob(context, job, decision.tasks, nowMs);
			}

			return;
		}

		case 'preempt': {
			preemptJob(context, job, decision.graceMs, nowMs);
			return;
		}

		case 'refuse': {
			if (job.attempt === undefined) {
				job.refusal = decision.refusal;
				job.isQueued = false;
				advanceJob(context, job, nowMs);
			}

			return;
		}

		case 'duplicate': {
			// Duplicate attempts are disabled in the configuration passed to the scheduler.
			context.recordMetric('owner.duplicate_ignored', {count: 1});
		}
	}
}

/**
 * Returns whether the agents have had some time to report to a new owner. Before that, workers that have not reported
 * look lost, and jobs would be placed on the few that have.
 */
function hasReportWindowElapsed(context: CoreContext, nowMs: number, windowMs: number): boolean {
	const {firstHeartbeatAtMs} = context.workers;
	return context.options.epoch === 1 || (firstHeartbeatAtMs !== undefined && nowMs - firstHeartbeatAtMs >= windowMs);
}

/**
 * Runs the scheduler and applies its decisions.
 *
 * @param context - The core's state.
 * @param nowMs - Monotonic milliseconds.
 */
export function decide(context: CoreContext, nowMs: number): void {
	if (!context.gate.canDecide(nowMs) || !hasReportWindowElapsed(context, nowMs, HEARTBEAT_INTERVAL_MS)) {
		return;
	}

	context.needsDecision = false;
	// Agents find a new owner within a few heartbeats of one another. Until a silent worker would count as suspected, a
	// reclaim could stop running work although another worker is idle.
	const mayPreempt = hasReportWindowElapsed(context, nowMs, WORKER_SUSPECT_TIMEOUT_MS);
	for (const decision of context.scheduler.decide(nowMs, {mayPreempt})) {
		applyDecision(context, decision, nowMs);
	}
}
