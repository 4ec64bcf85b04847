import type {Result} from '@amaranthsail/core';
import type {RuntimeError, RuntimeFacts, RuntimeTask} from '@amaranthsail/backing-services';
import type {AgentEffect} from './agent-effect.js';

/** How often the worker is asked for the state of running tasks. */
export const LIST_INTERVAL_MS = 250;

/** How often the worker is asked for its tasks while none should run. */
export const IDLE_LIST_INTERVAL_MS = 5000;

/** How often the worker is asked before the agent has announced itself. */
export const RECOVERY_INTERVAL_MS = 200;

/** A list of the worker's tasks and when it was asked for. */
export type ListedTasks = {readonly tasks: readonly RuntimeTask[]; readonly askedAtMs: number};

/** Reads the facts and tasks of the worker, and knows whether tasks of an earlier incarnation may still run. */
export class WorkerWatch {
	#facts: RuntimeFacts | undefined;
	/** Monotonic time of the next read of the facts; infinity while one is under way or when they are known. */
	#factsAtMs = Number.NEGATIVE_INFINITY;
	#isRecovered = false;
	/** Monotonic time of the list call under way. */
	#listAskedAtMs: number | undefined;
	#listAtMs = Number.NEGATIVE_INFINITY;

	/** What the worker can run; undefined before it answered. */
	get facts(): RuntimeFacts | undefined {
		return this.#facts;
	}

	/** Whether the facts are known and no task of an earlier incarnation runs. */
	get isReady(): boolean {
		return this.#isRecovered && this.#facts !== undefined;
	}

	/**
	 * Takes the facts.
	 *
	 * @param result - What the worker answered.
	 * @param nowMs - Monotonic time.
	 */
	takeFacts(result: Result<RuntimeFacts, RuntimeError>, nowMs: number): void {
		if (result.ok) {
			this.#facts = result.value;
			return;
		}

		this.#factsAtMs = nowMs + RECOVERY_INTERVAL_MS;
	}

	/**
	 * Takes a list. The first one without a running task shows that nothing of an earlier incarnation runs.
	 *
	 * @param result - What the worker answered.
	 * @returns The list, or undefined when the call failed.
	 */
	takeList(result: Result<readonly RuntimeTask[], RuntimeError>): ListedTasks | undefined {
		const askedAtMs = this.#listAskedAtMs;
		this.#listAskedAtMs = undefined;
		if (askedAtMs === undefined || !result.ok) {
			return undefined;
		}

		this.#isRecovered ||= result.value.every(({state}) => state !== 'running' && state !== 'checkpointing');
		return {tasks: result.value, askedAtMs};
	}

	/**
	 * Makes the calls that are due.
	 *
	 * @param nowMs - Monotonic time.
	 * @param isBusy - Whether a task may be running.
	 * @returns The calls to make.
	 */
	tick(nowMs: number, isBusy: boolean): readonly AgentEffect[] {
		const effects: AgentEffect[] = [];
		if (nowMs >= this.#factsAtMs) {
			this.#factsAtMs = Number.POSITIVE_INFINITY;
			effects.push({kind: 'readFacts'});
		}

		if (nowMs >= this.#listDueAtMs(isBusy)) {
			this.#listAskedAtMs = nowMs;
			this.#listAtMs = nowMs;
			effects.push({kind: 'list'});
		}

		return effects;
	}

	/**
	 * Names the time of the next call.
	 *
	 * @param isBusy - Whether a task may be running.
	 * @returns Monotonic time, or infinity while calls are under way.
	 */
	nextDueAtMs(isBusy: boolean): number {
		return Math.min(this.#factsAtMs, this.#listDueAtMs(isBusy));
	}

	#listDueAtMs(isBusy: boolean): number {
		if (this.#listAskedAtMs !== undefined) {
			return Number.POSITIVE_INFINITY;
		}

		if (!this.#isRecovered) {
			return this.#listAtMs + RECOVERY_INTERVAL_MS;
		}

		return this.#listAtMs + (isBusy ? LIST_INTERVAL_MS : IDLE_LIST_INTERVAL_MS);
	}
}
