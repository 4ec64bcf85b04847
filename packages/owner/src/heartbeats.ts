import type {Heartbeat, HeartbeatAck, TaskKey} from '@amaranthsail/core';
import {applyReport, isFinalTaskState} from './attempt.js';
import type {CoreContext} from './core-context.js';
import {driveJob} from './job-driver.js';
import type {JobRecord} from './job-record.js';
import type {JobResults} from './job-results.js';
import type {WorkerRecord} from './worker-table.js';

/** Renewed tasks in one acknowledgement; more are split, so that each fits one datagram. */
export const MAX_RENEWED_PER_ACK = 10;

function syncWorker(context: CoreContext, worker: WorkerRecord, heartbeat: Heartbeat, nowMs: number): void {
	if (heartbeat.facts !== undefined) {
		context.scheduler.upsertWorker(heartbeat.facts, nowMs);
		context.needsDecide = true;
	}

	const isUsable = worker.facts !== undefined && !worker.leaving;
	if (worker.facts !== undefined && isUsable !== worker.usable) {
		worker.usable = isUsable;
		context.scheduler.setWorkerUsable(worker.workerId, isUsable, nowMs);
		context.needsDecide = true;
	}
}

function applyReports(context: CoreContext, results: JobResults, worker: WorkerRecord, input: {readonly heartbeat: Heartbeat; readonly nowMs: number}): ReadonlySet<JobRecord> {
	const {heartbeat, nowMs} = input;
	const affected = new Set<JobRecord>();
	const unknown = new Set<string>();
	for (const report of heartbeat.reports) {
		const job = context.jobs.get(report.jobId);
		if (job !== undefined) {
			job.lastAttempt = Math.max(job.lastAttempt, report.attempt);
		}

		const member = job?.attempt?.number === report.attempt
			? job.attempt.members.find(({place}) => place.taskIndex === report.taskIndex && place.workerId === worker.workerId)
			: undefined;
		if (member !== undefined) {
			applyReport(member, report, heartbeat);
			affected.add(job!);
			continue;
		}

		// A row that was not read yet, or missing from an out-of-date scan, may name the task; only a known job makes it superfluous.
		if (job === undefined && !results.isEnded(report.jobId)) {
			unknown.add(report.jobId);
		} else if (context.gate.isRecovered) {
			const {jobId, attempt, taskIndex} = report;
			context.sendCommand(worker, {
				kind: isFinalTaskState(report.state) ? 'forget' : 'stop', incarnation: heartbeat.incarnation, task: {jobId, attempt, taskIndex},
			}, nowMs);
		}
	}

	if (unknown.size > 0 && context.gate.isRecovered) {
		context.emit({kind: 'read', jobIds: [...unknown]});
	}

	return affected;
}

/** Ends members that a complete heartbeat does not name any more. */
function applyAbsence(context: CoreContext, worker: WorkerRecord, heartbeat: Heartbeat): ReadonlySet<JobRecord> {
	const affected = new Set<JobRecord>();
	// Only an agent that has echoed this epoch is certainly the one that lives now.
	if (!heartbeat.complete || heartbeat.epoch !== context.options.epoch) {
		return affected;
	}

	const held = new Set(heartbeat.reports.map(({jobId, attempt, taskIndex}) => `${jobId}/${attempt}/${taskIndex}`));
	for (const job of context.jobsOn(worker.workerId)) {
		const attempt = job.attempt!;
		for (const member of attempt.members) {
			const {place, end, reportedSequence} = member;
			if (place.workerId !== worker.workerId || end !== undefined || held.has(`${job.row.jobId}/${attempt.number}/${place.taskIndex}`)) {
				continue;
			}

			const isFromOwnIncarnation = place.incarnation === heartbeat.incarnation;
			// A heartbeat sent before the prepare arrived does not name the task either, so it counts only after a report.
			const wasHeld = attempt.recovered || (reportedSequence !== undefined && heartbeat.sequence > reportedSequence);
			if (!isFromOwnIncarnation || wasHeld) {
				member.end = 'absent';
				affected.add(job);
			}
		}
	}

	return affected;
}

function renewedTasks(context: CoreContext, results: JobResults, worker: WorkerRecord, heartbeat: Heartbeat): readonly TaskKey[] {
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

function acknowledge(context: CoreContext, worker: WorkerRecord, heartbeat: Heartbeat, target: {readonly host: string; readonly renewed: readonly TaskKey[]; readonly nowMs: number}): void {
	const {host, renewed, nowMs} = target;
	if (!context.gate.canAcknowledge(nowMs)) {
		return;
	}

	context.workers.acknowledged(worker, heartbeat.incarnation, nowMs);
	const {ownerId, epoch} = context.options;
	for (let start = 0; start === 0 || start < renewed.length; start += MAX_RENEWED_PER_ACK) {
		const message: HeartbeatAck = {
			type: 'ack', ownerId, epoch, sequence: heartbeat.sequence, sentAtMs: heartbeat.sentAtMs,
			degraded: !context.gate.canWrite(nowMs), revision: context.revision, wantFacts: worker.facts === undefined,
			renewed: renewed.slice(start, start + MAX_RENEWED_PER_ACK),
		};
		context.emit({
			kind: 'send', message, host, port: heartbeat.replyPort,
		});
	}
}

/**
 * Takes a heartbeat: updates the worker and the members it reports, drives their jobs, and acknowledges it.
 *
 * @param context - The core's state.
 * @param results - Knows the jobs that have ended.
 * @param input - The heartbeat and the sender's address.
 * @param nowMs - Time of receipt in monotonic milliseconds.
 */
export function handleHeartbeat(context: CoreContext, results: JobResults, input: {readonly message: Heartbeat; readonly host: string}, nowMs: number): void {
	const {message: heartbeat, host} = input;
	if (heartbeat.epoch > context.options.epoch) {
		// The agent already follows a newer owner.
		context.measure('owner.newer_epoch_seen', {count: 1});
		return;
	}

	const {worker, standing} = context.workers.receive(heartbeat, host, nowMs);
	if (standing === 'superseded') {
		context.measure('owner.superseded_incarnation', {count: 1}, {workerId: worker.workerId});
		return;
	}

	if (standing === 'candidate') {
		acknowledge(context, worker, heartbeat, {host, renewed: [], nowMs});
		return;
	}

	const affected = new Set(applyReports(context, results, worker, {heartbeat, nowMs}));
	if (standing === 'current') {
		syncWorker(context, worker, heartbeat, nowMs);
		for (const job of [...applyAbsence(context, worker, heartbeat), ...context.jobsOn(worker.workerId)]) {
			affected.add(job);
		}
	}

	for (const usage of heartbeat.usage ?? []) {
		context.scheduler.reportUsage(usage, nowMs);
	}

	for (const job of affected) {
		driveJob(context, job, nowMs);
	}

	// A reordered heartbeat may be older than the last one by more than the fence margin, so it renews nothing.
	if (standing === 'current') {
		acknowledge(context, worker, heartbeat, {host, renewed: renewedTasks(context, results, worker, heartbeat), nowMs});
	}
}
