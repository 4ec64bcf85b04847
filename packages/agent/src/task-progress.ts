import {Buffer} from 'node:buffer';
import {
	answerObjectKey, type Result, sha256Of, type TaskKey,
} from '@amaranthsail/core';
import type {ObjectError, RuntimeError, RuntimeTask} from '@amaranthsail/backing-services';
import type {AgentEffect} from './agent-effect.js';
import {hasEnded, type HeldTask, isOnWorker} from './agent-task.js';
import type {TaskTable} from './task-table.js';
import {WorkerLeftovers} from './orphaned-tasks.js';

/** Time between two tries to stop a task or to begin its checkpoint. */
export const CALL_RETRY_MS = 500;

/** First delay before an answer is put again; it doubles up to the maximum. */
export const PUT_RETRY_MS = 200;

/** Longest delay before an answer is put again, before jitter. */
export const PUT_RETRY_MAX_MS = 10_000;

/** Follows tasks on the worker and stores their answers. */
export class TaskProgress {
	readonly #table: TaskTable;
	readonly #random: () => number;
	readonly #leftovers = new WorkerLeftovers();

	/**
	 * @param table - The tasks.
	 * @param random - Numbers from 0 up to 1 for jitter.
	 */
	constructor(table: TaskTable, random: () => number) {
		this.#table = table;
		this.#random = random;
	}

	/**
	 * Takes the answer of a start call.
	 *
	 * @param key - The task.
	 * @param result - What the worker answered.
	 * @param nowMs - Monotonic time.
	 * @returns The calls to make.
	 */
	started(key: TaskKey, result: Result<RuntimeTask, RuntimeError>, nowMs: number): readonly AgentEffect[] {
		const task = this.#table.lookUp(key);
		if (task === undefined || (task.phase !== 'starting' && task.phase !== 'stopping')) {
			return [];
		}

		if (result.ok) {
			task.isStartAnswered = true;
			task.listedFromMs = nowMs;
			return this.#absorb(task, result.value);
		}

		if (result.error.kind === 'outcome_unknown') {
			// Never started again; a list asked from now on tells whether it runs.
			task.listedFromMs = nowMs;
			return [];
		}

		task.everStarted = false;
		this.#table.move(task, 'stopped', result.error.kind === 'unavailable' ? 'worker_unavailable' : 'start_refused');
		return [];
	}

	/**
	 * Compares a list of the worker with the held tasks.
	 *
	 * @param listed - All tasks that the worker remembers.
	 * @param askedAtMs - Monotonic time at which the list was asked for.
	 * @param nowMs - Monotonic time.
	 * @returns The calls to make.
	 */
	listed(listed: readonly RuntimeTask[], askedAtMs: number, nowMs: number): readonly AgentEffect[] {
		const effects: AgentEffect[] = [];
		const seen = new Set<HeldTask>();
		const leftovers: RuntimeTask[] = [];
		for (const runtimeTask of listed) {
			const task = this.#table.lookUp(runtimeTask.key);
			if (task === undefined || hasEnded(task)) {
				leftovers.push(runtimeTask);
				this.#markForeign(task, runtimeTask, nowMs);
				continue;
			}

			seen.add(task);
			if (isOnWorker(task)) {
				effects.push(...this.#absorb(task, runtimeTask));
			}
		}

		effects.push(...this.#leftovers.clear(leftovers, nowMs));

		for (const task of this.#table.tasks) {
			if (!seen.has(task) && isOnWorker(task) && askedAtMs >= (task.listedFromMs ?? Number.POSITIVE_INFINITY)) {
				effects.push(...this.#table.beginStop(task, 'lost_by_worker'));
			}
		}

		return effects;
	}

	/**
	 * Takes the answer of a checkpoint call. It only says that the worker has begun; a list names the checkpoint once it is written.
	 *
	 * @param key - The task.
	 * @param result - What the worker answered.
	 * @param nowMs - Monotonic time.
	 * @returns The calls to make.
	 */
	checkpointAnswered(key: TaskKey, result: Result<undefined, RuntimeError>, nowMs: number): readonly AgentEffect[] {
		const task = this.#table.lookUp(key);
		if (task?.phase !== 'checkpointing' || result.ok) {
			return [];
		}

		if (result.error.kind === 'refused' || result.error.kind === 'not_found') {
			return this.#table.beginStop(task, 'checkpoint_refused');
		}

		task.checkpointRetryAtMs = nowMs + CALL_RETRY_MS;
		return [];
	}

	/**
	 * Takes the answer of a throttle call; a failed one is made again when the owner repeats the command.
	 *
	 * @param key - The task.
	 * @param result - What the worker answered.
	 */
	throttleAnswered(key: TaskKey, result: Result<undefined, RuntimeError>): void {
		const task = this.#table.lookUp(key);
		if (task !== undefined) {
			task.throttled = result.ok;
		}
	}

	/**
	 * Takes the answer of a stop call.
	 *
	 * @param key - The task.
	 * @param result - What the worker answered.
	 * @param nowMs - Monotonic time.
	 * @returns The calls to make.
	 */
	stopAnswered(key: TaskKey, result: Result<RuntimeTask, RuntimeError>, nowMs: number): readonly AgentEffect[] {
		this.#leftovers.stopAnswered(key);
		const task = this.#table.lookUp(key);
		if (task?.phase !== 'stopping') {
			return [];
		}

		task.stopInFlight = false;
		if (!result.ok && result.error.kind !== 'not_found') {
			task.stopRetryAtMs = nowMs + CALL_RETRY_MS;
			return [];
		}

		if (result.ok && (result.value.state === 'finished' || result.value.state === 'failed')) {
			return this.#absorb(task, result.value);
		}

		if (result.ok) {
			task.checkpointKey = result.value.checkpointKey ?? task.checkpointKey;
		}

		this.#table.move(task, 'stopped');
		return forgetEnded(task);
	}

	/**
	 * Takes the answer of the object store.
	 *
	 * @param key - The task.
	 * @param result - Whether the answer is stored.
	 * @param nowMs - Monotonic time.
	 */
	putAnswered(key: TaskKey, result: Result<undefined, ObjectError>, nowMs: number): void {
		const task = this.#table.lookUp(key);
		if (task?.phase !== 'storing') {
			return;
		}

		task.putInFlight = false;
		if (result.ok) {
			task.content = undefined;
			this.#table.move(task, 'finished');
			return;
		}

		const delayMs = Math.min(PUT_RETRY_MS * (2 ** Math.min(task.putAttempts, 10)), PUT_RETRY_MAX_MS);
		task.putAttempts += 1;
		task.putRetryAtMs = nowMs + (delayMs * (0.5 + this.#random()));
	}

	/**
	 * Repeats calls that failed and stops tasks whose checkpoint grace has ended.
	 *
	 * @param nowMs - Monotonic time.
	 * @returns The calls to make.
	 */
	tick(nowMs: number): readonly AgentEffect[] {
		const effects: AgentEffect[] = [];
		for (const task of this.#table.tasks) {
			if (nowMs < dueAtMs(task)) {
				continue;
			}

			if (task.phase === 'checkpointing' && nowMs < (task.graceUntilMs ?? 0)) {
				task.checkpointRetryAtMs = undefined;
				effects.push({kind: 'checkpoint', key: task.key});
			} else if (task.phase === 'checkpointing') {
				effects.push(...this.#table.beginStop(task, 'checkpoint_grace_over'));
			} else if (task.phase === 'stopping') {
				task.stopInFlight = true;
				effects.push({kind: 'stop', key: task.key});
			} else {
				effects.push(...put(task));
			}
		}

		return effects;
	}

	/**
	 * Names the time of the next retry or end of a grace.
	 *
	 * @returns Monotonic time, or infinity.
	 */
	nextDueAtMs(): number {
		let nextMs = Number.POSITIVE_INFINITY;
		for (const task of this.#table.tasks) {
			nextMs = Math.min(nextMs, dueAtMs(task));
		}

		return nextMs;
	}

	#absorb(task: HeldTask, runtimeTask: RuntimeTask): readonly AgentEffect[] {
		const isNewCheckpoint = runtimeTask.checkpointKey !== undefined && runtimeTask.checkpointKey !== task.checkpointKey;
		task.checkpointKey = runtimeTask.checkpointKey ?? task.checkpointKey;
		task.usage = runtimeTask.usage === undefined ? task.usage : {...task.key, ...runtimeTask.usage};
		switch (runtimeTask.state) {
			case 'finished': {
				const content = Buffer.from(runtimeTask.answerBase64 ?? '', 'base64');
				task.content = content;
				task.answer = {lengthBytes: content.length, sha256: sha256Of(content)};
				this.#table.move(task, 'storing');
				return [...put(task), ...forgetEnded(task)];
			}

			case 'failed': {
				this.#table.move(task, 'failed', runtimeTask.reason ?? 'task_failed');
				return forgetEnded(task);
			}

			case 'stopped': {
				this.#table.move(task, 'stopped', task.phase === 'running' || task.phase === 'starting' ? runtimeTask.reason ?? 'stopped_by_worker' : undefined);
				return forgetEnded(task);
			}

			case 'running':
			case 'checkpointing': {
				if (task.phase === 'starting') {
					this.#table.move(task, 'running');
					return renewStarted(task);
				}

				return task.phase === 'checkpointing' && runtimeTask.state === 'running' && isNewCheckpoint
					? this.#table.beginStop(task, 'checkpoint_written')
					: [];
			}
		}
	}

	/** A task that the worker knows and the agent did not start belongs to an earlier incarnation. */
	#markForeign(task: HeldTask | undefined, runtimeTask: RuntimeTask, nowMs: number): void {
		if (task === undefined && !this.#table.isEndedKey(runtimeTask.key)) {
			this.#table.markForeign(runtimeTask.key, nowMs);
		}
	}
}

function renewStarted(task: HeldTask): readonly AgentEffect[] {
	const {leaseUntilMs, startLeaseUntilMs} = task;
	return leaseUntilMs !== undefined && startLeaseUntilMs !== undefined && leaseUntilMs > startLeaseUntilMs
		? [{kind: 'renew', leases: [{key: task.key, leaseUntilMs}]}]
		: [];
}

/**
 * Clears an ended task on the worker, so that its answer does not travel with every list. While the answer of the start call
 * is missing, the call may still reach the worker, which must then remember the task.
 */
function forgetEnded(task: HeldTask): readonly AgentEffect[] {
	return task.isStartAnswered ? [{kind: 'forget', key: task.key}] : [];
}

function put(task: HeldTask): readonly AgentEffect[] {
	if (task.content === undefined) {
		return [];
	}

	task.putInFlight = true;
	return [{
		kind: 'putAnswer', key: task.key, objectKey: answerObjectKey(task.key), content: task.content,
	}];
}

function dueAtMs(task: HeldTask): number {
	if (task.phase === 'checkpointing') {
		return Math.min(task.graceUntilMs ?? 0, task.checkpointRetryAtMs ?? Number.POSITIVE_INFINITY);
	}

	if (task.phase === 'stopping') {
		return task.stopInFlight ? Number.POSITIVE_INFINITY : task.stopRetryAtMs ?? 0;
	}

	return task.phase === 'storing' && !task.putInFlight ? task.putRetryAtMs ?? 0 : Number.POSITIVE_INFINITY;
}
