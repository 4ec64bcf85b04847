import type {TaskKey} from './messages.js';

/**
 * Formats a task key for use in maps and object keys.
 *
 * @param key - The task of an attempt.
 * @returns `jobId/attempt/taskIndex`.
 */
export function formatTaskKey(key: TaskKey): string {
	return `${key.jobId}/${key.attempt}/${key.taskIndex}`;
}

/**
 * Names the object that holds the answer of a task.
 *
 * @param key - The task of an attempt.
 * @returns The object key.
 */
export function answerObjectKey(key: TaskKey): string {
	return `answers/${formatTaskKey(key)}`;
}

/**
 * Names the object that holds the checkpoint of a task.
 *
 * @param key - The task of the attempt that wrote the checkpoint.
 * @returns The object key.
 */
export function checkpointObjectKey(key: TaskKey): string {
	return `checkpoints/${formatTaskKey(key)}`;
}
