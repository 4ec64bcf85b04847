import {formatTaskKey, TASK_LEASE_MS, type TaskKey} from '@amaranthsail/core';
import type {RuntimeTask} from '@amaranthsail/backing-services';
import type {AgentEffect} from './agent-effect.js';

/** Stops and removes tasks on the worker that the agent does not run, such as those of an earlier incarnation. */
export class OrphanedTasks {
	readonly #stopping = new Set<string>();
	#endedSinceMs = new Map<string, number>();

	/**
	 * Handles the listed tasks that the agent does not run.
	 *
	 * @param listed - Tasks that the agent does not know or that have ended for the agent.
	 * @param nowMs - Monotonic time.
	 * @returns The effects to perform.
	 */
	cleanUp(listed: readonly RuntimeTask[], nowMs: number): readonly AgentEffect[] {
		const effects: AgentEffect[] = [];
		const endedSinceMs = new Map<string, number>();
		for (const {key, state} of listed) {
			const keyText = formatTaskKey(key);
			if (state === 'running' || state === 'checkpointing') {
				if (!this.#stopping.has(keyText)) {
					this.#stopping.add(keyText);
					effects.push({kind: 'stop', key});
				}

				continue;
			}

			const sinceMs = this.#endedSinceMs.get(keyText) ?? nowMs;
			endedSinceMs.set(keyText, sinceMs);
			// The worker refuses a second start only of a task that it still lists. After the lease time, a delayed start call has expired.
			if (nowMs - sinceMs >= TASK_LEASE_MS) {
				effects.push({kind: 'forget', key});
			}
		}

		this.#endedSinceMs = endedSinceMs;
		return effects;
	}

	/**
	 * Records that a stop call has ended. A failed call is retried after the next list.
	 *
	 * @param key - The task.
	 */
	recordStopResult(key: TaskKey): void {
		this.#stopping.delete(formatTaskKey(key));
	}
}
