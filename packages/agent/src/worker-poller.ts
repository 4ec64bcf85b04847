import type {Result} from '@amaranthsail/core';
import type {RuntimeError, RuntimeFacts, RuntimeTask} from '@amaranthsail/backing-services';
import type {AgentEffect} from './agent-effect.js';

/** Interval of listing the worker's tasks while a task may run. */
export const LIST_INTERVAL_MS = 250;

/** Interval of listing the worker's tasks while none should run. */
export const IDLE_LIST_INTERVAL_MS = 5000;

/** Interval of calls to the worker until no task of an earlier incarnation runs and the facts are known. */
export const STARTUP_POLL_INTERVAL_MS = 200;

/** A list of the worker's tasks and the monotonic time at which it was requested. */
export type TaskList = {readonly tasks: readonly RuntimeTask[]; readonly requestedAtMs: number};

/** Polls the worker for its facts and tasks, and tracks whether tasks of an earlier incarnation may still run. */
export class WorkerPoller {
	#facts: RuntimeFacts | undefined;
	/** Monotonic time of the next facts call; infinity while one is in flight or after one has succeeded. */
	#nextFactsReadAtMs = Number.NEGATIVE_INFINITY;
	#areEarlierTasksStopped = false;
	/** Monotonic time at which the list call in flight was made. */
	#pendingListRequestedAtMs: number | undefined;
	#lastListRequestedAtMs = Number.NEGATIVE_INFINITY;

	/** Facts of the worker; undefined before its first answer. */
	get facts(): RuntimeFacts | undefined {
		return this.#facts;
	}

	/** Whether the facts are known and no task of an earlier incarnation runs. */
	get isReady(): boolean {
		return this.#areEarlierTasksStopped && this.#facts !== undefined;
	}

	/**
	 * Handles the result of a facts call.
	 *
	 * @param result - The worker's result.
	 * @param nowMs - Monotonic time.
	 */
	recordFacts(result: Result<RuntimeFacts, RuntimeError>, nowMs: number): void {
		if (result.ok) {
			this.#facts = result.value;
			return;
		}

		this.#nextFactsReadAtMs = nowMs + STARTUP_POLL_INTERVAL_MS;
	}

	/**
	 * Handles the result of a list call. The first list without a running task shows that no task of an earlier incarnation runs.
	 *
	 * @param result - The worker's result.
	 * @returns The list, or undefined when the call failed.
	 */
	recordList(result: Result<readonly RuntimeTask[], RuntimeError>): TaskList | undefined {
		const requestedAtMs = this.#pendingListRequestedAtMs;
		this.#pendingListRequestedAtMs = undefined;
		if (requestedAtMs === undefined || !result.ok) {
			return undefined;
		}

		this.#areEarlierTasksStopped ||= result.value.every(({state}) => state !== 'running' && state !== 'checkpointing');
		return {tasks: result.value, requestedAtMs};
	}

	/**
	 * Returns the calls that are due.
	 *
	 * @param nowMs - Monotonic time.
	 * @param mayTaskRun - Whether a task may be running.
	 * @returns The effects to perform.
	 */
	tick(nowMs: number, mayTaskRun: boolean): readonly AgentEffect[] {
		const effects: AgentEffect[] = [];
		if (nowMs >= this.#nextFactsReadAtMs) {
			this.#nextFactsReadAtMs = Number.POSITIVE_INFINITY;
			effects.push({kind: 'readFacts'});
		}

		if (nowMs >= this.#nextListAtMs(mayTaskRun)) {
			this.#pendingListRequestedAtMs = nowMs;
			this.#lastListRequestedAtMs = nowMs;
			effects.push({kind: 'list'});
		}

		return effects;
	}

	/**
	 * Returns the time of the next call.
	 *
	 * @param mayTaskRun - Whether a task may be running.
	 * @returns Monotonic time, or infinity while calls are in flight.
	 */
	nextCallAtMs(mayTaskRun: boolean): number {
		return Math.min(this.#nextFactsReadAtMs, this.#nextListAtMs(mayTaskRun));
	}

	#nextListAtMs(mayTaskRun: boolean): number {
		if (this.#pendingListRequestedAtMs !== undefined) {
			return Number.POSITIVE_INFINITY;
		}

		if (!this.#areEarlierTasksStopped) {
			return this.#lastListRequestedAtMs + STARTUP_POLL_INTERVAL_MS;
		}

		return this.#lastListRequestedAtMs + (mayTaskRun ? LIST_INTERVAL_MS : IDLE_LIST_INTERVAL_MS);
	}
}
