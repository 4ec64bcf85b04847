import {
	type Command, COMMAND_KINDS, type ControlMessage, type HeartbeatAck, RESOURCE_NAMES, type TaskAssignment, type TaskKey,
} from '@amaranthsail/core';

function isTaskKey(value: unknown): value is TaskKey {
	const key = value as Partial<TaskKey> | undefined;
	return typeof key?.jobId === 'string' && Number.isInteger(key.attempt) && Number.isInteger(key.taskIndex);
}

function hasOwner(message: HeartbeatAck | Command): boolean {
	return typeof message.ownerId === 'string' && Number.isInteger(message.epoch);
}

function isAssignment(value: unknown): value is TaskAssignment {
	const assignment = value as Partial<TaskAssignment> | undefined;
	const {shape, accelerators} = assignment ?? {};
	return typeof assignment?.endpointId === 'string' && typeof assignment.service === 'string' && Array.isArray(accelerators)
		// With a negative amount, other tasks could be given more than the worker's capacity.
		&& shape !== undefined && RESOURCE_NAMES.every(name => Number.isFinite(shape[name]) && shape[name] >= 0);
}

function isDuration(value: unknown): boolean {
	return value === undefined || (Number.isFinite(value) && Number(value) >= 0);
}

function isCommand(message: Command): boolean {
	return COMMAND_KINDS.includes(message.kind) && isTaskKey(message.task) && isDuration(message.holdMs) && isDuration(message.graceMs)
		&& (message.kind !== 'prepare' || message.assignment === undefined || isAssignment(message.assignment));
}

/**
 * Returns whether an authenticated message can be handled. Authentication proves the sender's identity, but the sender
 * may run another version that does not write the fields that this version reads.
 *
 * @param message - The decoded message.
 * @returns True for an acknowledgement or a command with all required fields.
 */
export function isValidMessage(message: ControlMessage): message is HeartbeatAck | Command {
	if (message.type === 'ack') {
		return hasOwner(message) && [message.sequence, message.sentAtMs, message.revision].every(value => Number.isFinite(value))
			&& Array.isArray(message.renewed) && message.renewed.every(key => isTaskKey(key));
	}

	return message.type === 'command' && hasOwner(message) && isCommand(message);
}
