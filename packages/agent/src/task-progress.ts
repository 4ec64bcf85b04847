import {Buffer} from 'node:buffer';
import {
	answerObjectKey, type Result, sha256Of, type TaskKey,
} from '@amaranthsail/core';
import type {ObjectError, RuntimeError, RuntimeTask} from '@amaranthsail/backing-services';
import type {AgentEffect} from './agent-effect.js';
import {hasEnded, type AgentTask, isOnWorker} from './agent-task.js';
import type {TaskTable} from './task-table.js';
import {OrphanedTasks} from './orphaned-tasks.js';

/** Delay before a failed stop or checkpoint call is retried. */
export const CALL_RETRY_DELAY_MS = 500;

/** Delay before the first retry of a failed put, before jitter; it doubles up to {@link MAX_PUT_RETRY_DELAY_MS}. */
export const INITIAL_PUT_RETRY_DELAY_MS = 200;

/** Maximum delay before a failed put is retried, before jitter. */
export const MAX_PUT_RETRY_DELAY_MS = 10_000;

/** Tracks the tasks on the worker and stores their answers. */
export class TaskProgress {
	readonly #table: TaskTable;
	readonly #random: () => number;
	readonly #orphans = new OrphanedTasks();

	/**
	 * @param table - The tasks.
	 * @param random - Returns random numbers from 0 (inclusive) to 1 (exclusive), used for jitter.
	 */
	constructor(table: TaskTable, random: () => number) {
		this.#table = table;
		this.#random = random;
	}

	/**
	 * Handles the result of a start call.
	 *
	 * @param key - The task.
	 * @param result - The worker's result.
	 * @param nowMs - Monotonic time.
	 * @returns The effects to perform.
	 */
	handleStartResult(key: TaskKey, result: Result<RuntimeTask, RuntimeError>, nowMs: number): readonly AgentEffect[] {
		const task = this.#table.get(key);
		if (task === undefined || (task.phase !== 'starting' && task.phase !== 'stopping')) {
			return [];
		}

		if (result.ok) {
			task.isStartConfirmed = true;
			task.mustBeListedFromMs = nowMs;
			return this.#applyRuntimeState(task, result.value);
		}

		if (result.error.kind === 'outcome_unknown') {
			// The start is not retried; a list requested from now on shows whether the task runs.
			task.mustBeListedFromMs = nowMs;
			return [];
		}

		task.everStarted = false;
		this.#table.setPhase(task, 'stopped', result.error.kind === 'unavailable' ? 'worker_unavailable' : 'start_refused');
		return [];
	}

	/**
	 * Compares the worker's list of tasks with the agent's tasks.
	 *
	 * @param runtimeTasks - All tasks that the worker lists, including ended ones.
	 * @param requestedAtMs - Monotonic time at which the list was requested.
	 * @param nowMs - Monotonic time.
	 * @returns The effects to perform.
	 */
	handleList(runtimeTasks: readonly RuntimeTask[], requestedAtMs: number, nowMs: number): readonly AgentEffect[] {
		const effects: AgentEffect[] = [];
		const listedTasks = new Set<AgentTask>();
		const orphans: RuntimeTask[] = [];
		for (const runtimeTask of runtimeTasks) {
			const task = this.#table.get(runtimeTask.key);
			if (task === undefined || hasEnded(task)) {
				orphans.push(runtimeTask);
				this.#markEarlierIncarnation(task, runtimeTask, nowMs);
				continue;
			}

			listedTasks.add(task);
			if (isOnWorker(task)) {
				effects.push(...this.#applyRuntimeState(task, runtimeTask));
			}
		}

		effects.push(...this.#orphans.cleanUp(orphans, nowMs));

		for (const task of this.#table.tasks) {
			if (!listedTasks.has(task) && isOnWorker(task) && requestedAtMs >= (task.mustBeListedFromMs ?? Number.POSITIVE_INFINITY)) {
				effects.push(...this.#table.beginStop(task, 'lost_by_worker'));
			}
		}

		return effects;
	}

	/**
	 * Handles the result of a checkpoint call. Success means only that the checkpoint has begun; a list contains its key once
	 * it is written.
	 *
	 * @param key - The task.
	 * @param result - The worker's result.
	 * @param nowMs - Monotonic time.
	 * @returns The effects to perform.
	 */
	handleCheckpointResult(key: TaskKey, result: Result<undefined, RuntimeError>, nowMs: number): readonly AgentEffect[] {
		const task = this.#table.get(key);
		if (task?.phase !== 'checkpointing' || result.ok) {
			return [];
		}

		if (result.error.kind === 'refused' || result.error.kind === 'not_found') {
			return this.#table.beginStop(task, 'checkpoint_refused');
		}

		task.checkpointRetryAtMs = nowMs + CALL_RETRY_DELAY_MS;
		return [];
	}

	/**
	 * Handles the result of a throttle call. A failed call is retried when the owner repeats the command.
	 *
	 * @param key - The task.
	 * @param result - The worker's result.
	 */
	handleThrottleResult(key: TaskKey, result: Result<undefined, RuntimeError>): void {
		const task = this.#table.get(key);
		if (task !== undefined) {
			task.isThrottled = result.ok;
		}
	}

	/**
	 * Handles the result of a stop call.
	 *
	 * @param key - The task.
	 * @param result - The worker's result.
	 * @param nowMs - Monotonic time.
	 * @returns The effects to perform.
	 */
	handleStopResult(key: TaskKey, result: Result<RuntimeTask, RuntimeError>, nowMs: number): readonly AgentEffect[] {
		this.#orphans.recordStopResult(key);
		const task = this.#table.get(key);
		if (task?.phase !== 'stopping') {
			return [];
		}

		task.isStopInFlight = false;
		if (!result.ok && result.error.kind !== 'not_found') {
			task.stopRetryAtMs = nowMs + CALL_RETRY_DELAY_MS;
			return [];
		}

		if (result.ok && (result.value.state === 'finished' || result.value.state === 'failed')) {
			return this.#applyRuntimeState(task, result.value);
		}

		if (result.ok) {
			task.checkpointKey = result.value.checkpointKey ?? task.checkpointKey;
		}

		this.#table.setPhase(task, 'stopped');
		return forgetOnWorker(task);
	}

	/**
	 * Handles the result of a put to the object store.
	 *
	 * @param key - The task.
	 * @param result - The result from the object store.
	 * @param nowMs - Monotonic time.
	 */
	handlePutResult(key: TaskKey, result: Result<undefined, ObjectError>, nowMs: number): void {
		const task = this.#table.get(key);
		if (task?.phase !== 'storing') {
			return;
		}

		task.isPutInFlight = false;
		if (result.ok) {
			task.answerContent = undefined;
			this.#table.setPhase(task, 'finished');
			return;
		}

		const delayMs = Math.min(INITIAL_PUT_RETRY_DELAY_MS * (2 ** Math.min(task.putAttempts, 10)), MAX_PUT_RETRY_DELAY_MS);
		task.putAttempts += 1;
		task.putRetryAtMs = nowMs + (delayMs * (0.5 + this.#random()));
	}

	/**
	 * Retries failed calls and stops tasks whose checkpoint deadline has passed.
	 *
	 * @param nowMs - Monotonic time.
	 * @returns The effects to perform.
	 */
	tick(nowMs: number): readonly AgentEffect[] {
		const effects: AgentEffect[] = [];
		for (const task of this.#table.tasks) {
			if (nowMs < nextActionAtMs(task)) {
				continue;
			}

			if (task.phase === 'checkpointing' && nowMs < (task.checkpointDeadlineMs ?? 0)) {
				task.checkpointRetryAtMs = undefined;
				effects.push({kind: 'checkpoint', key: task.key});
			} else if (task.phase === 'checkpointing') {
				effects.push(...this.#table.beginStop(task, 'checkpoint_grace_over'));
			} else if (task.phase === 'stopping') {
				task.isStopInFlight = true;
				effects.push({kind: 'stop', key: task.key});
			} else {
				effects.push(...putAnswer(task));
			}
		}

		return effects;
	}

	/**
	 * Returns the time of the next retry or checkpoint deadline.
	 *
	 * @returns Monotonic time, or infinity when nothing is due.
	 */
	nextDueAtMs(): number {
		let nextMs = Number.POSITIVE_INFINITY;
		for (const task of this.#table.tasks) {
			nextMs = Math.min(nextMs, nextActionAtMs(task));
		}

		return nextMs;
	}

	#applyRuntimeState(task: AgentTask, runtimeTask: RuntimeTask): readonly AgentEffect[] {
		const isNewCheckpoint = runtimeTask.checkpointKey !== undefined && runtimeTask.checkpointKey !== task.checkpointKey;
		task.checkpointKey = runtimeTask.checkpointKey ?? task.checkpointKey;
		task.usage = runtimeTask.usage === undefined ? task.usage : {...task.key, ...runtimeTask.usage};
		switch (runtimeTask.state) {
			case 'finished': {
				const content = Buffer.from(runtimeTask.answerBase64 ?? '', 'base64');
				task.answerContent = content;
				task.answer = {lengthBytes: content.length, sha256: sha256Of(content)};
				this.#table.setPhase(task, 'storing');
				return [...putAnswer(task), ...forgetOnWorker(task)];
			}

			case 'failed': {
				this.#table.setPhase(task, 'failed', runtimeTask.reason ?? 'task_failed');
				return forgetOnWorker(task);
			}

			case 'stopped': {
				this.#table.setPhase(task, 'stopped', task.phase === 'running' || task.phase === 'starting' ? runtimeTask.reason ?? 'stopped_by_worker' : undefined);
				return forgetOnWorker(task);
			}

			case 'running':
			case 'checkpointing': {
				if (task.phase === 'starting') {
					this.#table.setPhase(task, 'running');
					return renewAfterStart(task);
				}

				return task.phase === 'checkpointing' && runtimeTask.state === 'running' && isNewCheckpoint
					? this.#table.beginStop(task, 'checkpoint_written')
					: [];
			}
		}
	}

	/** A task that the worker lists and this agent did not start was started by an earlier incarnation. */
	#markEarlierIncarnation(task: AgentTask | undefined, runtimeTask: RuntimeTask, nowMs: number): void {
		if (task === undefined && !this.#table.isEndedKey(runtimeTask.key)) {
			this.#table.markEarlierIncarnation(runtimeTask.key, nowMs);
		}
	}
}

function renewAfterStart(task: AgentTask): readonly AgentEffect[] {
	const {leaseUntilMs, startLeaseUntilMs} = task;
	return leaseUntilMs !== undefined && startLeaseUntilMs !== undefined && leaseUntilMs > startLeaseUntilMs
		? [{kind: 'renew', leases: [{key: task.key, leaseUntilMs}]}]
		: [];
}

/**
 * Removes an ended task from the worker, so that its answer is not sent with every list. While the start call is unconfirmed,
 * it may still reach the worker, which must then know the task to refuse a second start.
 */
function forgetOnWorker(task: AgentTask): readonly AgentEffect[] {
	return task.isStartConfirmed ? [{kind: 'forget', key: task.key}] : [];
}

function putAnswer(task: AgentTask): readonly AgentEffect[] {
	if (task.answerContent === undefined) {
		return [];
	}

	task.isPutInFlight = true;
	return [{
		kind: 'putAnswer', key: task.key, objectKey: answerObjectKey(task.key), content: task.answerContent,
	}];
}

function nextActionAtMs(task: AgentTask): number {
	if (task.phase === 'checkpointing') {
		return Math.min(task.checkpointDeadlineMs ?? 0, task.checkpointRetryAtMs ?? Number.POSITIVE_INFINITY);
	}

	if (task.phase === 'stopping') {
		return task.isStopInFlight ? Number.POSITIVE_INFINITY : task.stopRetryAtMs ?? 0;
	}

	return task.phase === 'storing' && !task.isPutInFlight ? task.putRetryAtMs ?? 0 : Number.POSITIVE_INFINITY;
}
