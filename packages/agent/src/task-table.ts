import {formatTaskKey, type TaskKey, type TaskReport, type UsageReport} from '@amaranthsail/core';
import type {AgentEffect} from './agent-effect.js';
import {EndedKeys} from './ended-keys.js';
import {
	expiresAtMs, hasEnded, type AgentTask, isOnWorker, toReport, type TaskPhase,
} from './agent-task.js';

/** The tasks of an agent and the phase transitions shared by commands, expiry and the worker's results. */
export class TaskTable {
	readonly #tasks = new Map<string, AgentTask>();
	readonly #ended = new EndedKeys();
	#hasChanged = false;

	/** The tasks in the order in which they were added. */
	get tasks(): IterableIterator<AgentTask> {
		return this.#tasks.values();
	}

	/** Number of tasks. */
	get size(): number {
		return this.#tasks.size;
	}

	/**
	 * Looks up a task.
	 *
	 * @param key - The task.
	 * @returns The task, or undefined.
	 */
	get(key: TaskKey): AgentTask | undefined {
		return this.#tasks.get(formatTaskKey(key));
	}

	/**
	 * Returns whether a key belongs to a removed task or to a task of an earlier incarnation.
	 *
	 * @param key - The task.
	 * @returns True when the task must never start.
	 */
	isEndedKey(key: TaskKey): boolean {
		return this.#ended.get(key) !== undefined;
	}

	/**
	 * Records the key of a task that an earlier incarnation started, so that no report says that it never started.
	 *
	 * @param key - The task.
	 * @param nowMs - Monotonic time.
	 */
	markEarlierIncarnation(key: TaskKey, nowMs: number): void {
		this.#ended.add(key, true, nowMs);
	}

	/**
	 * Adds a task.
	 *
	 * @param task - The task; its key must not be in the table.
	 */
	add(task: AgentTask): void {
		this.#tasks.set(formatTaskKey(task.key), task);
		this.#hasChanged = true;
	}

	/**
	 * Adds an ended task for a key that is not in the table, so that the task is reported and can never start.
	 *
	 * @param key - The task.
	 * @param phase - `refused` or `stopped`.
	 * @param reason - Stable reason code.
	 * @param nowMs - Monotonic time.
	 */
	addEnded(key: TaskKey, phase: 'refused' | 'stopped', reason: string, nowMs: number): void {
		const {jobId, attempt, taskIndex} = key;
		this.add({
			key: {jobId, attempt, taskIndex}, phase, reason, everStarted: this.#ended.get(key)?.everStarted ?? false, holdUntilMs: nowMs, putAttempts: 0,
		});
	}

	/**
	 * Changes the phase of a task.
	 *
	 * @param task - The task.
	 * @param phase - The new phase.
	 * @param reason - Stable reason code; when undefined, the previous one is kept.
	 */
	setPhase(task: AgentTask, phase: TaskPhase, reason?: string): void {
		task.phase = phase;
		task.reason = reason ?? task.reason;
		this.#hasChanged = true;
	}

	/**
	 * Begins to stop a task: immediately when it was not started, otherwise by a call to the worker.
	 *
	 * @param task - The task; ignored when it has ended or its answer is being stored.
	 * @param reason - Stable reason code.
	 * @returns The effects to perform.
	 */
	beginStop(task: AgentTask, reason: string): readonly AgentEffect[] {
		if (task.phase === 'prepared') {
			this.setPhase(task, 'stopped', reason);
			return [];
		}

		if (!isOnWorker(task) || task.phase === 'stopping') {
			return [];
		}

		this.setPhase(task, 'stopping', reason);
		task.isStopInFlight = true;
		return [{kind: 'stop', key: task.key}];
	}

	/**
	 * Begins to stop every task whose hold or lease has expired. Must run before an event is handled, because the agent
	 * process may have been paused while messages were queued.
	 *
	 * @param nowMs - Monotonic time.
	 * @returns The effects to perform.
	 */
	expire(nowMs: number): readonly AgentEffect[] {
		const effects: AgentEffect[] = [];
		for (const task of this.#tasks.values()) {
			if (nowMs >= expiresAtMs(task)) {
				effects.push(...this.beginStop(task, task.leaseUntilMs === undefined ? 'hold_lapsed' : 'lease_lapsed'));
			}
		}

		return effects;
	}

	/**
	 * Returns the time at which the next hold or lease expires.
	 *
	 * @returns Monotonic time, or infinity when none can expire.
	 */
	nextExpiryAtMs(): number {
		let nextMs = Number.POSITIVE_INFINITY;
		for (const task of this.#tasks.values()) {
			if (task.phase === 'prepared' || (isOnWorker(task) && task.phase !== 'stopping')) {
				nextMs = Math.min(nextMs, expiresAtMs(task));
			}
		}

		return nextMs;
	}

	/**
	 * Renews leases.
	 *
	 * @param keys - Tasks whose lease the owner renewed.
	 * @param leaseUntilMs - Monotonic end of the lease, which starts when the acknowledged heartbeat was sent.
	 * @returns The leases that must be renewed on the worker.
	 */
	renew(keys: readonly TaskKey[], leaseUntilMs: number): ReadonlyArray<{readonly key: TaskKey; readonly leaseUntilMs: number}> {
		const leases: Array<{readonly key: TaskKey; readonly leaseUntilMs: number}> = [];
		for (const key of keys) {
			const task = this.get(key);
			if (task === undefined || task.phase === 'stopping' || leaseUntilMs <= (task.leaseUntilMs ?? Number.NEGATIVE_INFINITY)) {
				continue;
			}

			task.leaseUntilMs = leaseUntilMs;
			// Passed to the worker only once the start is confirmed, because the worker ignores leases of unknown tasks.
			if (task.phase === 'running' || task.phase === 'checkpointing') {
				leases.push({key: task.key, leaseUntilMs});
			}
		}

		return leases;
	}

	/**
	 * Removes an ended task and keeps its key.
	 *
	 * @param key - The task; ignored when it has not ended.
	 * @param nowMs - Monotonic time.
	 */
	remove(key: TaskKey, nowMs: number): void {
		const task = this.get(key);
		this.#hasChanged = true;
		if (task !== undefined && hasEnded(task)) {
			this.#tasks.delete(formatTaskKey(key));
			this.#ended.add(task.key, task.everStarted, nowMs);
		}
	}

	/** Requests a heartbeat before the next interval. */
	requestHeartbeat(): void {
		this.#hasChanged = true;
	}

	/**
	 * Returns whether anything has changed since the last call of this method.
	 *
	 * @returns True when the owner must be notified immediately.
	 */
	consumeChange(): boolean {
		const hasChanged = this.#hasChanged;
		this.#hasChanged = false;
		return hasChanged;
	}

	/**
	 * Reports all tasks.
	 *
	 * @returns One report per task.
	 */
	reports(): readonly TaskReport[] {
		return [...this.#tasks.values()].map(task => toReport(task));
	}

	/**
	 * Reports the measured resource usage of the tasks on the worker.
	 *
	 * @returns One report per measured task.
	 */
	usage(): readonly UsageReport[] {
		return [...this.#tasks.values()].filter(task => isOnWorker(task)).flatMap(task => task.usage ?? []);
	}
}
