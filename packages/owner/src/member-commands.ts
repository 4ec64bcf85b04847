import {
	checkpointObjectKey, FENCE_MARGIN_MS, TASK_LEASE_MS, type CommandKind, type TaskAssignment,
} from '@amaranthsail/core';
import {hasReportedEnd, type Attempt, type Member} from './attempt.js';
import {taskKeyOf, type CoreContext} from './core-context.js';
import type {JobRecord} from './job-record.js';

/** Delay before a command without a reported effect is sent again; a lost datagram then costs less than one heartbeat interval. */
export const COMMAND_RESEND_DELAY_MS = 200;

function dueCommand(job: JobRecord, attempt: Attempt, member: Member): CommandKind | undefined {
	if (member.end !== undefined) {
		return undefined;
	}

	if (attempt.stopCause !== undefined) {
		return 'stop';
	}

	if (attempt.decision === 'none') {
		return member.state === 'unreported' ? 'prepare' : undefined;
	}

	if (attempt.decision !== 'durable') {
		return undefined;
	}

	if (attempt.preemption !== undefined) {
		return job.row.spec.checkpointable && member.state === 'running' ? 'checkpoint' : undefined;
	}

	// After a takeover no member is released before every member has reported; a lost member stops the attempt instead.
	const canRelease = !attempt.isRecovered || attempt.members.every(({state}) => state !== 'unreported');
	return member.state === 'prepared' && canRelease ? 'release' : undefined;
}

function assignmentOf(job: JobRecord, member: Member): TaskAssignment {
	const {spec, jobId} = job.row;
	const {endpointId, accelerators, taskIndex} = member.place;
	return {
		account: spec.account,
		service: spec.service,
		operation: spec.operation,
		endpointId,
		shape: spec.shape,
		accelerators,
		taskCount: spec.taskCount,
		repeatable: spec.repeatable,
		checkpointable: spec.checkpointable,
		...(spec.inlineInput !== undefined && {inlineInput: spec.inlineInput}),
		...(spec.inputKey !== undefined && {inputKey: spec.inputKey}),
		...(job.checkpointAttempt !== undefined && {checkpointKey: checkpointObjectKey({jobId, attempt: job.checkpointAttempt, taskIndex})}),
	};
}

/**
 * Sends each member of a job's attempt the command that is due, and resends it until a report shows its effect.
 *
 * @param context - The core's state.
 * @param job - The job.
 * @param nowMs - Monotonic milliseconds.
 */
export function sendMemberCommands(context: CoreContext, job: JobRecord, nowMs: number): void {
	const {attempt} = job;
	for (const member of attempt?.members ?? []) {
		const kind = dueCommand(job, attempt!, member);
		const {workerId, incarnation, taskIndex} = member.place;
		const worker = context.workers.get(workerId);
		if (kind === undefined || worker?.incarnation !== incarnation || context.workers.isSuspected(worker, nowMs)) {
			continue;
		}

		if (member.lastCommand?.kind === kind && nowMs - member.lastCommand.atMs < COMMAND_RESEND_DELAY_MS) {
			continue;
		}

		// The resources of a prepared task stay reserved no longer than a lease granted by the last acknowledgement lasts.
		const holdMs = Math.min(TASK_LEASE_MS, context.workers.fenceAtMs(workerId, incarnation) - FENCE_MARGIN_MS - nowMs);
		const wasSent = context.sendCommand(worker, {
			kind,
			incarnation,
			task: taskKeyOf(job, attempt!, taskIndex),
			...(kind === 'prepare' && {assignment: assignmentOf(job, member), holdMs}),
			...(kind === 'checkpoint' && {graceMs: Math.max(0, attempt!.preemption!.graceEndsAtMs - nowMs)}),
		}, nowMs);
		if (wasSent) {
			member.lastCommand = {kind, atMs: nowMs};
		}
	}
}

/**
 * Sends `forget` commands for the ended members of an attempt. Called only after the result is durable.
 *
 * @param context - The core's state.
 * @param job - The job.
 * @param attempt - The attempt that has ended.
 * @param nowMs - Monotonic milliseconds.
 */
export function sendForgetCommands(context: CoreContext, job: JobRecord, attempt: Attempt, nowMs: number): void {
	for (const member of attempt.members) {
		const {workerId, taskIndex} = member.place;
		const worker = context.workers.get(workerId);
		if (hasReportedEnd(member) && worker !== undefined) {
			context.sendCommand(worker, {kind: 'forget', incarnation: worker.incarnation, task: taskKeyOf(job, attempt, taskIndex)}, nowMs);
		}
	}
}
