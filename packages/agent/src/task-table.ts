import {formatTaskKey, type TaskKey, type TaskReport, type UsageReport} from '@amaranthsail/core';
import type {AgentEffect} from './agent-effect.js';
import {EndedKeys} from './ended-keys.js';
import {
	expiresAtMs, hasEnded, type HeldTask, isOnWorker, reportOf, type TaskPhase,
} from './agent-task.js';

/** The tasks of one agent and the transitions that commands, time and the worker have in common. */
export class TaskTable {
	readonly #held = new Map<string, HeldTask>();
	readonly #ended = new EndedKeys();
	#isChanged = false;

	/** Tasks that the agent holds, in the order in which it heard of them. */
	get tasks(): IterableIterator<HeldTask> {
		return this.#held.values();
	}

	/** Number of tasks that the agent holds. */
	get size(): number {
		return this.#held.size;
	}

	/**
	 * Looks a held task up.
	 *
	 * @param key - The task.
	 * @returns The task, or undefined.
	 */
	lookUp(key: TaskKey): HeldTask | undefined {
		return this.#held.get(formatTaskKey(key));
	}

	/**
	 * Tells whether a key has been held and forgotten, or belongs to an earlier incarnation.
	 *
	 * @param key - The task.
	 * @returns True when the key can never start.
	 */
	isEndedKey(key: TaskKey): boolean {
		return this.#ended.get(key) !== undefined;
	}

	/**
	 * Marks the key of a task that an earlier incarnation started, so that no report says that it never started.
	 *
	 * @param key - The task.
	 * @param nowMs - Monotonic time.
	 */
	markForeign(key: TaskKey, nowMs: number): void {
		this.#ended.add(key, true, nowMs);
	}

	/**
	 * Holds a new task.
	 *
	 * @param task - The task; its key must not be held.
	 */
	hold(task: HeldTask): void {
		this.#held.set(formatTaskKey(task.key), task);
		this.#isChanged = true;
	}

	/**
	 * Holds an ended task for a key that the agent does not hold, so that it is reported and can never start.
	 *
	 * @param key - The task.
	 * @param phase - `refused` or `stopped`.
	 * @param reason - Stable reason code.
	 * @param nowMs - Monotonic time.
	 */
	holdEnded(key: TaskKey, phase: 'refused' | 'stopped', reason: string, nowMs: number): void {
		const {jobId, attempt, taskIndex} = key;
		this.hold({
			key: {jobId, attempt, taskIndex}, phase, reason, everStarted: this.#ended.get(key)?.everStarted ?? false, holdUntilMs: nowMs, putAttempts: 0,
		});
	}

	/**
	 * Moves a task to another phase.
	 *
	 * @param task - The task.
	 * @param phase - The phase.
	 * @param reason - Stable reason code; the earlier one stays when it is absent.
	 */
	move(task: HeldTask, phase: TaskPhase, reason?: string): void {
		task.phase = phase;
		task.reason = reason ?? task.reason;
		this.#isChanged = true;
	}

	/**
	 * Begins to stop a task: at once when it was never started, otherwise through the worker.
	 *
	 * @param task - The task; one that has ended or whose answer is being stored is left alone.
	 * @param reason - Stable reason code.
	 * @returns The calls to make.
	 */
	beginStop(task: HeldTask, reason: string): readonly AgentEffect[] {
		if (task.phase === 'prepared') {
			this.move(task, 'stopped', reason);
			return [];
		}

		if (!isOnWorker(task) || task.phase === 'stopping') {
			return [];
		}

		this.move(task, 'stopping', reason);
		task.stopInFlight = true;
		return [{kind: 'stop', key: task.key}];
	}

	/**
	 * Gives up every task whose hold or lease has lapsed. Runs before anything else is acted on,
	 * because the agent may have been paused while messages queued up.
	 *
	 * @param nowMs - Monotonic time.
	 * @returns The calls to make.
	 */
	lapse(nowMs: number): readonly AgentEffect[] {
		const effects: AgentEffect[] = [];
		for (const task of this.#held.values()) {
			if (nowMs >= expiresAtMs(task)) {
				effects.push(...this.beginStop(task, task.leaseUntilMs === undefined ? 'hold_lapsed' : 'lease_lapsed'));
			}
		}

		return effects;
	}

	/**
	 * Names the time of the next lapse.
	 *
	 * @returns Monotonic time, or infinity while nothing can lapse.
	 */
	nextLapseAtMs(): number {
		let nextMs = Number.POSITIVE_INFINITY;
		for (const task of this.#held.values()) {
			if (task.phase === 'prepared' || (isOnWorker(task) && task.phase !== 'stopping')) {
				nextMs = Math.min(nextMs, expiresAtMs(task));
			}
		}

		return nextMs;
	}

	/**
	 * Moves leases forward.
	 *
	 * @param keys - Tasks whose lease the owner renewed.
	 * @param leaseUntilMs - Monotonic end of the lease; counts from the sending of the acknowledged heartbeat.
	 * @returns The leases that the worker has to be told.
	 */
	renew(keys: readonly TaskKey[], leaseUntilMs: number): ReadonlyArray<{readonly key: TaskKey; readonly leaseUntilMs: number}> {
		const leases: Array<{readonly key: TaskKey; readonly leaseUntilMs: number}> = [];
		for (const key of keys) {
			const task = this.lookUp(key);
			if (task === undefined || task.phase === 'stopping' || leaseUntilMs <= (task.leaseUntilMs ?? Number.NEGATIVE_INFINITY)) {
				continue;
			}

			task.leaseUntilMs = leaseUntilMs;
			// A task whose start is not confirmed is renewed once it is, because the worker ignores leases of unknown tasks.
			if (task.phase === 'running' || task.phase === 'checkpointing') {
				leases.push({key: task.key, leaseUntilMs});
			}
		}

		return leases;
	}

	/**
	 * Drops an ended task and remembers its key.
	 *
	 * @param key - The task; one that has not ended is left alone.
	 * @param nowMs - Monotonic time.
	 */
	drop(key: TaskKey, nowMs: number): void {
		const task = this.lookUp(key);
		this.#isChanged = true;
		if (task !== undefined && hasEnded(task)) {
			this.#held.delete(formatTaskKey(key));
			this.#ended.add(task.key, task.everStarted, nowMs);
		}
	}

	/** Asks for a heartbeat at once. */
	touch(): void {
		this.#isChanged = true;
	}

	/**
	 * Tells whether anything changed since the last call.
	 *
	 * @returns True when the owner has to be told at once.
	 */
	takeChange(): boolean {
		const isChanged = this.#isChanged;
		this.#isChanged = false;
		return isChanged;
	}

	/**
	 * Reports all held tasks.
	 *
	 * @returns One report per task.
	 */
	reports(): readonly TaskReport[] {
		return [...this.#held.values()].map(task => reportOf(task));
	}

	/**
	 * Reports the measured use of the tasks on the worker.
	 *
	 * @returns One report per task that has been measured.
	 */
	usage(): readonly UsageReport[] {
		return [...this.#held.values()].filter(task => isOnWorker(task)).flatMap(task => task.usage ?? []);
	}
}
