import {formatTaskKey, TASK_LEASE_MS, type TaskKey} from '@amaranthsail/core';
import type {RuntimeTask} from '@amaranthsail/backing-services';
import type {AgentEffect} from './agent-effect.js';

/** Stops and clears tasks on the worker that the agent does not run, such as those of an earlier incarnation. */
export class WorkerLeftovers {
	readonly #stopping = new Set<string>();
	#endedSinceMs = new Map<string, number>();

	/**
	 * Handles the listed tasks that the agent does not run.
	 *
	 * @param listed - Tasks that are not held, or whose held task has ended.
	 * @param nowMs - Monotonic time.
	 * @returns The calls to make.
	 */
	clear(listed: readonly RuntimeTask[], nowMs: number): readonly AgentEffect[] {
		const effects: AgentEffect[] = [];
		const endedSinceMs = new Map<string, number>();
		for (const {key, state} of listed) {
			const text = formatTaskKey(key);
			if (state === 'running' || state === 'checkpointing') {
				if (!this.#stopping.has(text)) {
					this.#stopping.add(text);
					effects.push({kind: 'stop', key});
				}

				continue;
			}

			const sinceMs = this.#endedSinceMs.get(text) ?? nowMs;
			endedSinceMs.set(text, sinceMs);
			// The worker refuses a second start only of a task it remembers. After a lease, a delayed start call has expired.
			if (nowMs - sinceMs >= TASK_LEASE_MS) {
				effects.push({kind: 'forget', key});
			}
		}

		this.#endedSinceMs = endedSinceMs;
		return effects;
	}

	/**
	 * Takes the answer of a stop call; a failed one is made again after the next list.
	 *
	 * @param key - The task.
	 */
	stopAnswered(key: TaskKey): void {
		this.#stopping.delete(formatTaskKey(key));
	}
}
