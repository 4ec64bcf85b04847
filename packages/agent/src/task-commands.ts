import {
	CHECKPOINT_GRACE_MS, type Command, type Resources, TASK_LEASE_MS, type TaskAssignment,
} from '@amaranthsail/core';
import type {AgentEffect} from './agent-effect.js';
import type {HeldTask} from './agent-task.js';
import {refusalByResources} from './task-admission.js';
import type {TaskTable} from './task-table.js';

/** What commands are decided on beside the tasks. */
export type CommandContext = {
	readonly nowMs: number;
	/** Capacity of the worker. */
	readonly capacity: Resources;
	/** Whether the agent is shutting down. */
	readonly isLeaving: boolean;
	/** Monotonic end of a lease from the latest acknowledged heartbeat; undefined before the first. */
	readonly leaseUntilMs: number | undefined;
	/** Tells why an endpoint takes no new work. */
	readonly endpointRefusal: (endpointId: string, service: string) => string | undefined;
};

/**
 * Applies an owner's command. Each command may arrive any number of times, late and in any order.
 *
 * @param table - The tasks.
 * @param command - A command that is meant for this incarnation and not fenced.
 * @param context - What it is decided on.
 * @returns The calls to make.
 */
export function applyCommand(table: TaskTable, command: Command, context: CommandContext): readonly AgentEffect[] {
	// The owner repeats a command until a report shows its effect, so a report that was lost is sent again at once.
	table.touch();
	const task = table.lookUp(command.task);
	switch (command.kind) {
		case 'prepare': {
			prepare(table, command, task, context);
			return [];
		}

		case 'release': {
			return release(table, command, task, context);
		}

		case 'checkpoint': {
			return task === undefined ? holdStopped(table, command, context) : beginCheckpoint(table, task, context.nowMs, command.graceMs);
		}

		case 'stop': {
			return task === undefined ? holdStopped(table, command, context) : table.beginStop(task, 'stop_requested');
		}

		case 'throttle': {
			return task === undefined ? [] : throttle(task);
		}

		case 'forget': {
			table.drop(command.task, context.nowMs);
			return [];
		}
	}
}

/**
 * Begins a checkpoint after which the task is stopped. A task that cannot write one is stopped at once.
 *
 * @param table - The tasks.
 * @param task - The task.
 * @param nowMs - Monotonic time.
 * @param graceMs - Time for the checkpoint in milliseconds.
 * @returns The calls to make.
 */
export function beginCheckpoint(table: TaskTable, task: HeldTask, nowMs: number, graceMs = CHECKPOINT_GRACE_MS): readonly AgentEffect[] {
	if (task.phase === 'checkpointing') {
		// A repeated command never moves the deadline back, or the repeats of an owner would put off the stop.
		task.graceUntilMs = Math.min(task.graceUntilMs ?? Number.POSITIVE_INFINITY, nowMs + graceMs);
		return [];
	}

	if (task.phase !== 'running' || !task.assignment?.checkpointable) {
		return table.beginStop(task, 'stop_requested');
	}

	table.move(task, 'checkpointing', 'checkpoint_requested');
	task.graceUntilMs = nowMs + graceMs;
	return [{kind: 'checkpoint', key: task.key}];
}

function prepare(table: TaskTable, command: Command, task: HeldTask | undefined, context: CommandContext): void {
	if (task !== undefined) {
		return;
	}

	const {nowMs} = context;
	const {assignment, task: {jobId, attempt, taskIndex}} = command;
	const reason = table.isEndedKey(command.task) ? 'already_ended' : refusalOf(table, assignment, context);
	if (reason !== undefined || assignment === undefined) {
		table.holdEnded(command.task, 'refused', reason ?? 'no_assignment', nowMs);
		return;
	}

	table.hold({
		key: {jobId, attempt, taskIndex}, assignment, phase: 'prepared', everStarted: false, holdUntilMs: nowMs + (command.holdMs ?? TASK_LEASE_MS), putAttempts: 0,
	});
}

function refusalOf(table: TaskTable, assignment: TaskAssignment | undefined, context: CommandContext): string | undefined {
	if (assignment === undefined) {
		return 'no_assignment';
	}

	if (context.isLeaving) {
		return 'agent_leaving';
	}

	return context.endpointRefusal(assignment.endpointId, assignment.service) ?? refusalByResources(assignment, table.tasks, context.capacity);
}

function release(table: TaskTable, command: Command, task: HeldTask | undefined, context: CommandContext): readonly AgentEffect[] {
	if (task === undefined) {
		return holdStopped(table, command, context);
	}

	if (task.phase === 'refused') {
		table.move(task, 'stopped');
	}

	const {assignment} = task;
	if (task.phase !== 'prepared' || assignment === undefined) {
		return [];
	}

	// An agent that leaves needs no check here: it has given up its prepared tasks and prepares no others.
	const refusal = context.endpointRefusal(assignment.endpointId, assignment.service);
	if (refusal !== undefined) {
		table.move(task, 'stopped', refusal);
		return [];
	}

	const leaseUntilMs = Math.max(task.leaseUntilMs ?? Number.NEGATIVE_INFINITY, context.leaseUntilMs ?? Number.NEGATIVE_INFINITY);
	if (leaseUntilMs <= context.nowMs) {
		// Without a lease the task must not start. The owner repeats the command, and the next acknowledgement brings a lease.
		return [];
	}

	task.everStarted = true;
	task.leaseUntilMs = leaseUntilMs;
	task.startLeaseUntilMs = leaseUntilMs;
	table.move(task, 'starting');
	return [{
		kind: 'start', key: task.key, assignment, leaseUntilMs,
	}];
}

function holdStopped(table: TaskTable, command: Command, context: CommandContext): readonly AgentEffect[] {
	table.holdEnded(command.task, 'stopped', table.isEndedKey(command.task) ? 'already_ended' : 'never_prepared', context.nowMs);
	return [];
}

function throttle(task: HeldTask): readonly AgentEffect[] {
	const isThrottled = task.throttled ?? false;
	if (isThrottled || (task.phase !== 'running' && task.phase !== 'checkpointing')) {
		return [];
	}

	task.throttled = true;
	return [{kind: 'throttle', key: task.key}];
}
