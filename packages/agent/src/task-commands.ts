import {
	CHECKPOINT_GRACE_MS, type Command, type Resources, TASK_LEASE_MS, type TaskAssignment,
} from '@amaranthsail/core';
import type {AgentEffect} from './agent-effect.js';
import type {AgentTask} from './agent-task.js';
import {resourceRefusalReason} from './task-admission.js';
import type {TaskTable} from './task-table.js';

/** State of the agent, besides its tasks, that commands depend on. */
export type CommandContext = {
	readonly nowMs: number;
	readonly capacity: Resources;
	readonly isShuttingDown: boolean;
	/** Monotonic end of a lease that starts when the latest acknowledged heartbeat was sent; undefined before the first acknowledgement. */
	readonly leaseUntilMs: number | undefined;
	/** Returns the reason why an endpoint accepts no new task; undefined when it accepts one. */
	readonly endpointRefusalReason: (endpointId: string, service: string) => string | undefined;
};

/**
 * Applies a command of the owner. Commands may be repeated, delayed and reordered.
 *
 * @param table - The tasks.
 * @param command - A command for this incarnation whose epoch has been checked.
 * @param context - State of the agent.
 * @returns The effects to perform.
 */
export function applyCommand(table: TaskTable, command: Command, context: CommandContext): readonly AgentEffect[] {
	// The owner repeats a command until a report shows its effect, so a lost report is sent again immediately.
	table.requestHeartbeat();
	const task = table.get(command.task);
	switch (command.kind) {
		case 'prepare': {
			prepare(table, command, task, context);
			return [];
		}

		case 'release': {
			return release(table, command, task, context);
		}

		case 'checkpoint': {
			return task === undefined ? addStopped(table, command, context) : beginCheckpoint(table, task, context.nowMs, command.graceMs);
		}

		case 'stop': {
			return task === undefined ? addStopped(table, command, context) : table.beginStop(task, 'stop_requested');
		}

		case 'throttle': {
			return task === undefined ? [] : throttle(task);
		}

		case 'forget': {
			table.remove(command.task, context.nowMs);
			return [];
		}
	}
}

/**
 * Begins a checkpoint, after which the task is stopped. A task that cannot write a checkpoint is stopped immediately.
 *
 * @param table - The tasks.
 * @param task - The task.
 * @param nowMs - Monotonic time.
 * @param graceMs - Maximum time for the checkpoint in milliseconds.
 * @returns The effects to perform.
 */
export function beginCheckpoint(table: TaskTable, task: AgentTask, nowMs: number, graceMs = CHECKPOINT_GRACE_MS): readonly AgentEffect[] {
	if (task.phase === 'checkpointing') {
		// A repeated command never postpones the deadline; otherwise the owner's repeats would delay the stop indefinitely.
		task.checkpointDeadlineMs = Math.min(task.checkpointDeadlineMs ?? Number.POSITIVE_INFINITY, nowMs + graceMs);
		return [];
	}

	if (task.phase !== 'running' || !task.assignment?.checkpointable) {
		return table.beginStop(task, 'stop_requested');
	}

	table.setPhase(task, 'checkpointing', 'checkpoint_requested');
	task.checkpointDeadlineMs = nowMs + graceMs;
	return [{kind: 'checkpoint', key: task.key}];
}

function prepare(table: TaskTable, command: Command, task: AgentTask | undefined, context: CommandContext): void {
	if (task !== undefined) {
		return;
	}

	const {nowMs} = context;
	const {assignment, task: {jobId, attempt, taskIndex}} = command;
	const reason = table.isEndedKey(command.task) ? 'already_ended' : refusalReasonOf(table, assignment, context);
	if (reason !== undefined || assignment === undefined) {
		table.addEnded(command.task, 'refused', reason ?? 'no_assignment', nowMs);
		return;
	}

	table.add({
		key: {jobId, attempt, taskIndex}, assignment, phase: 'prepared', everStarted: false, holdUntilMs: nowMs + (command.holdMs ?? TASK_LEASE_MS), putAttempts: 0,
	});
}

function refusalReasonOf(table: TaskTable, assignment: TaskAssignment | undefined, context: CommandContext): string | undefined {
	if (assignment === undefined) {
		return 'no_assignment';
	}

	if (context.isShuttingDown) {
		return 'agent_leaving';
	}

	return context.endpointRefusalReason(assignment.endpointId, assignment.service) ?? resourceRefusalReason(assignment, table.tasks, context.capacity);
}

function release(table: TaskTable, command: Command, task: AgentTask | undefined, context: CommandContext): readonly AgentEffect[] {
	if (task === undefined) {
		return addStopped(table, command, context);
	}

	if (task.phase === 'refused') {
		table.setPhase(task, 'stopped');
	}

	const {assignment} = task;
	if (task.phase !== 'prepared' || assignment === undefined) {
		return [];
	}

	// Whether the agent is shutting down need not be checked: it has stopped its prepared tasks and prepares no new ones.
	const refusalReason = context.endpointRefusalReason(assignment.endpointId, assignment.service);
	if (refusalReason !== undefined) {
		table.setPhase(task, 'stopped', refusalReason);
		return [];
	}

	const leaseUntilMs = Math.max(task.leaseUntilMs ?? Number.NEGATIVE_INFINITY, context.leaseUntilMs ?? Number.NEGATIVE_INFINITY);
	if (leaseUntilMs <= context.nowMs) {
		// The task must not start without a lease. The owner repeats the command, and the next acknowledgement grants a lease.
		return [];
	}

	task.everStarted = true;
	task.leaseUntilMs = leaseUntilMs;
	task.startLeaseUntilMs = leaseUntilMs;
	table.setPhase(task, 'starting');
	return [{
		kind: 'start', key: task.key, assignment, leaseUntilMs,
	}];
}

function addStopped(table: TaskTable, command: Command, context: CommandContext): readonly AgentEffect[] {
	table.addEnded(command.task, 'stopped', table.isEndedKey(command.task) ? 'already_ended' : 'never_prepared', context.nowMs);
	return [];
}

function throttle(task: AgentTask): readonly AgentEffect[] {
	const isThrottled = task.isThrottled ?? false;
	if (isThrottled || (task.phase !== 'running' && task.phase !== 'checkpointing')) {
		return [];
	}

	task.isThrottled = true;
	return [{kind: 'throttle', key: task.key}];
}
