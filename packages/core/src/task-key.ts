import type {TaskKey} from './messages.js';

/**
 * Formats a task key for use as a map key and in object keys.
 *
 * @param key - The key of the task.
 * @returns `jobId/attempt/taskIndex`.
 */
export function formatTaskKey(key: TaskKey): string {
	return `${key.jobId}/${key.attempt}/${key.taskIndex}`;
}

/**
 * Derives the key of the object that holds the answer of a task.
 *
 * @param key - The key of the task.
 * @returns The object key.
 */
export function answerObjectKey(key: TaskKey): string {
	return `answers/${formatTaskKey(key)}`;
}

/**
 * Derives the key of the object that holds the checkpoint of a task.
 *
 * @param key - The key of the task, with the attempt that wrote the checkpoint.
 * @returns The object key.
 */
export function checkpointObjectKey(key: TaskKey): string {
	return `checkpoints/${formatTaskKey(key)}`;
}
