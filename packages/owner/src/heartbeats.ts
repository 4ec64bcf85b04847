import type {Heartbeat, HeartbeatAck, TaskKey} from '@amaranthsail/core';
import {applyReport, isFinalTaskState} from './attempt.js';
import type {CoreContext} from './core-context.js';
import {advanceJob} from './advance-job.js';
import type {JobRecord} from './job-record.js';
import type {JobResults} from './job-results.js';
import type {WorkerRecord} from './worker-table.js';

/** Renewed tasks per acknowledgement; more are split over several, so that each fits into one datagram. */
export const MAX_RENEWED_TASKS_PER_ACK = 10;

function updateWorkerInScheduler(context: CoreContext, worker: WorkerRecord, heartbeat: Heartbeat, nowMs: number): void {
	if (heartbeat.facts !== undefined) {
		context.scheduler.upsertWorker(heartbeat.facts, nowMs);
		context.needsDecision = true;
	}

	const isUsable = worker.facts !== undefined && !worker.isLeaving;
	if (worker.facts !== undefined && isUsable !== worker.isUsable) {
		worker.isUsable = isUsable;
		context.scheduler.setWorkerUsable(worker.workerId, isUsable, nowMs);
		context.needsDecision = true;
	}
}

function applyReports(context: CoreContext, results: JobResults, worker: WorkerRecord, input: {readonly heartbeat: Heartbeat; readonly nowMs: number}): ReadonlySet<JobRecord> {
	const {heartbeat, nowMs} = input;
	const affectedJobs = new Set<JobRecord>();
	const unknownJobIds = new Set<string>();
	for (const report of heartbeat.reports) {
		const job = context.jobs.get(report.jobId);
		if (job !== undefined) {
			job.lastAttemptNumber = Math.max(job.lastAttemptNumber, report.attempt);
		}

		const member = job?.attempt?.number === report.attempt
			? job.attempt.members.find(({place}) => place.taskIndex === report.taskIndex && place.workerId === worker.workerId)
			: undefined;
		if (member !== undefined) {
			applyReport(member, report, heartbeat);
			affectedJobs.add(job!);
			continue;
		}

		// The job's row may not have been read yet, or an outdated scan may have missed it, so the task of an unknown job is not stopped.
		if (job === undefined && !results.isEnded(report.jobId)) {
			unknownJobIds.add(report.jobId);
		} else if (context.gate.isRecovered) {
			const {jobId, attempt, taskIndex} = report;
			context.sendCommand(worker, {
				kind: isFinalTaskState(report.state) ? 'forget' : 'stop', incarnation: heartbeat.incarnation, task: {jobId, attempt, taskIndex},
			}, nowMs);
		}
	}

	if (unknownJobIds.size > 0 && context.gate.isRecovered) {
		context.emit({kind: 'read', jobIds: [...unknownJobIds]});
	}

	return affectedJobs;
}

/** Ends members that a complete heartbeat no longer reports. */
function endAbsentMembers(context: CoreContext, worker: WorkerRecord, heartbeat: Heartbeat): ReadonlySet<JobRecord> {
	const affectedJobs = new Set<JobRecord>();
	// Only an agent that has echoed this epoch is known to be the current one.
	if (!heartbeat.complete || heartbeat.epoch !== context.options.epoch) {
		return affectedJobs;
	}

	const reportedTasks = new Set(heartbeat.reports.map(({jobId, attempt, taskIndex}) => `${jobId}/${attempt}/${taskIndex}`));
	for (const job of context.jobsOnWorker(worker.workerId)) {
		const attempt = job.attempt!;
		for (const member of attempt.members) {
			const {place, end, reportedSequence} = member;
			if (place.workerId !== worker.workerId || end !== undefined || reportedTasks.has(`${job.row.jobId}/${attempt.number}/${place.taskIndex}`)) {
				continue;
			}

			const isSameIncarnation = place.incarnation === heartbeat.incarnation;
			// A heartbeat sent before the prepare command arrived does not report the task either, so absence counts only after a first report.
			const wasReportedBefore = attempt.isRecovered || (reportedSequence !== undefined && heartbeat.sequence > reportedSequence);
			if (!isSameIncarnation || wasReportedBefore) {
				member.end = 'absent';
				affectedJobs.add(job);
			}
		}
	}

	return affectedJobs;
}

function tasksToRenew(context: CoreContext, results: JobResults, worker: WorkerRecord, heartbeat: Heartbeat): readonly TaskKey[] {
	return heartbeat.reports
		.filter(report => !isFinalTaskState(report.state))
		.filter(report => {
			const job = context.jobs.get(report.jobId);
			if (!context.gate.isRecovered || (job === undefined && !results.isEnded(report.jobId))) {
				return true;
			}

			const attempt = job?.attempt;
			return attempt?.number === report.attempt && attempt.stopCause === undefined && attempt.members.some(({place, end}) =>
				end === undefined && place.taskIndex === report.taskIndex && place.workerId === worker.workerId && place.incarnation === heartbeat.incarnation);
		})
		.map(({jobId, attempt, taskIndex}) => ({jobId, attempt, taskIndex}));
}

function acknowledgeHeartbeat(context: CoreContext, worker: WorkerRecord, heartbeat: Heartbeat, target: {readonly host: string; readonly renewed: readonly TaskKey[]; readonly nowMs: number}): void {
	const {host, renewed, nowMs} = target;
	if (!context.gate.canAcknowledge(nowMs)) {
		return;
	}

	context.workers.recordAcknowledgement(worker, heartbeat.incarnation, nowMs);
	const {ownerId, epoch} = context.options;
	for (let start = 0; start === 0 || start < renewed.length; start += MAX_RENEWED_TASKS_PER_ACK) {
		const message: HeartbeatAck = {
			type: 'ack', ownerId, epoch, sequence: heartbeat.sequence, sentAtMs: heartbeat.sentAtMs,
			degraded: !context.gate.canWrite(nowMs), revision: context.revision, wantFacts: worker.facts === undefined,
			renewed: renewed.slice(start, start + MAX_RENEWED_TASKS_PER_ACK),
		};
		context.emit({
			kind: 'send', message, host, port: heartbeat.replyPort,
		});
	}
}

/**
 * Handles a heartbeat: updates the worker and the members it reports, advances their jobs, and acknowledges the heartbeat.
 *
 * @param context - The core's state.
 * @param results - Looks up jobs that have ended.
 * @param input - The heartbeat and the sender's address.
 * @param nowMs - Time of receipt in monotonic milliseconds.
 */
export function handleHeartbeat(context: CoreContext, results: JobResults, input: {readonly message: Heartbeat; readonly host: string}, nowMs: number): void {
	const {message: heartbeat, host} = input;
	if (heartbeat.epoch > context.options.epoch) {
		// The agent has already accepted a newer owner.
		context.recordMetric('owner.newer_epoch_seen', {count: 1});
		return;
	}

	const {worker, status} = context.workers.recordHeartbeat(heartbeat, host, nowMs);
	if (status === 'superseded') {
		context.recordMetric('owner.superseded_incarnation', {count: 1}, {workerId: worker.workerId});
		return;
	}

	if (status === 'candidate') {
		acknowledgeHeartbeat(context, worker, heartbeat, {host, renewed: [], nowMs});
		return;
	}

	const affectedJobs = new Set(applyReports(context, results, worker, {heartbeat, nowMs}));
	if (status === 'current') {
		updateWorkerInScheduler(context, worker, heartbeat, nowMs);
		for (const job of [...endAbsentMembers(context, worker, heartbeat), ...context.jobsOnWorker(worker.workerId)]) {
			affectedJobs.add(job);
		}
	}

	for (const usage of heartbeat.usage ?? []) {
		context.scheduler.reportUsage(usage, nowMs);
	}

	for (const job of affectedJobs) {
		advanceJob(context, job, nowMs);
	}

	// A reordered heartbeat may be older than the latest one by more than the fence margin, so it renews no leases.
	if (status === 'current') {
		acknowledgeHeartbeat(context, worker, heartbeat, {host, renewed: tasksToRenew(context, results, worker, heartbeat), nowMs});
	}
}
