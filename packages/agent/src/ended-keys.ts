import {
	FENCE_MARGIN_MS, formatTaskKey, LEASE_EXTENSION_LIMIT_MS, TASK_LEASE_MS, type TaskKey,
} from '@amaranthsail/core';

/**
 * How long the key of a forgotten task is refused. No owner sends commands under an epoch for longer than the
 * lease extension limit without the store; after that, a higher epoch fences what is still under way.
 */
export const ENDED_KEY_RETENTION_MS = LEASE_EXTENSION_LIMIT_MS + TASK_LEASE_MS + FENCE_MARGIN_MS;

/** Remembers forgotten tasks, so that delayed commands cannot start them again. */
export class EndedKeys {
	readonly #keys = new Map<string, {readonly everStarted: boolean; readonly endedAtMs: number}>();

	/**
	 * Adds a key and drops those that are older than {@link ENDED_KEY_RETENTION_MS}.
	 *
	 * @param key - The task.
	 * @param everStarted - Whether it may have been started.
	 * @param nowMs - Monotonic time.
	 */
	add(key: TaskKey, everStarted: boolean, nowMs: number): void {
		const text = formatTaskKey(key);
		const known = this.#keys.get(text);
		this.#keys.delete(text);
		this.#keys.set(text, {everStarted: everStarted || known?.everStarted === true, endedAtMs: nowMs});
		for (const [oldest, {endedAtMs}] of this.#keys) {
			if (nowMs - endedAtMs < ENDED_KEY_RETENTION_MS) {
				break;
			}

			this.#keys.delete(oldest);
		}
	}

	/**
	 * Looks a key up.
	 *
	 * @param key - The task.
	 * @returns What is known of the ended task, or undefined.
	 */
	get(key: TaskKey): {readonly everStarted: boolean} | undefined {
		return this.#keys.get(formatTaskKey(key));
	}
}
