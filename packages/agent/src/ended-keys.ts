import {
	FENCE_MARGIN_MS, formatTaskKey, MAX_DEGRADED_LEASE_RENEWAL_MS, TASK_LEASE_MS, type TaskKey,
} from '@amaranthsail/core';

/**
 * How long the key of a removed task is kept and refused. An owner that cannot reach the store sends commands under its epoch
 * only for the longest time for which it renews leases; after that, a higher epoch fences delayed commands.
 */
export const ENDED_KEY_RETENTION_MS = MAX_DEGRADED_LEASE_RENEWAL_MS + TASK_LEASE_MS + FENCE_MARGIN_MS;

/** Keys of removed tasks, kept so that delayed commands cannot start the tasks again. */
export class EndedKeys {
	readonly #keys = new Map<string, {readonly everStarted: boolean; readonly endedAtMs: number}>();

	/**
	 * Adds a key and removes those that are older than {@link ENDED_KEY_RETENTION_MS}.
	 *
	 * @param key - The task.
	 * @param everStarted - Whether the task may have been started.
	 * @param nowMs - Monotonic time.
	 */
	add(key: TaskKey, everStarted: boolean, nowMs: number): void {
		const keyText = formatTaskKey(key);
		const knownEntry = this.#keys.get(keyText);
		this.#keys.delete(keyText);
		this.#keys.set(keyText, {everStarted: everStarted || knownEntry?.everStarted === true, endedAtMs: nowMs});
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
	 * @returns Whether the task may have been started, or undefined when the key is not kept.
	 */
	get(key: TaskKey): {readonly everStarted: boolean} | undefined {
		return this.#keys.get(formatTaskKey(key));
	}
}
