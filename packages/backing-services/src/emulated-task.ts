import {Buffer} from 'node:buffer';
import {checkpointObjectKey, type TaskAssignment, type TaskKey} from '@amaranthsail/core';
import {createAnswer, NEVER_RUNS_OPERATION, readTaskBehaviour, type TaskBehaviour} from './task-emulation.js';
import type {RuntimeTask, RuntimeTaskState} from './worker-runtime.js';

/** Speed of a throttled task, as a factor of full speed. */
export const THROTTLED_SPEED_FACTOR = 0.5;

/** Settings of an {@link EmulatedTask}. */
export type EmulatedTaskOptions = {
	readonly key: TaskKey;
	readonly assignment: TaskAssignment;
	readonly workerId: string;
	readonly startMs: number;
	readonly leaseUntilMs: number;
	/** Duration of a checkpoint; the task makes no progress meanwhile. */
	readonly checkpointMs: number;
	/** Time between the measurement of the resource usage and its report. */
	readonly usageLagMs: number;
	/** Reason with which the task fails as soon as it starts; it runs normally when absent. */
	readonly failReason?: string;
	/** Progress by checkpoint key, in milliseconds of run time at full speed. */
	readonly checkpoints: Map<string, number>;
};

/** A started task of an in-memory worker, whose progress is computed from the time. */
export class EmulatedTask {
	readonly key: TaskKey;
	readonly assignment: TaskAssignment;
	readonly startMs: number;
	readonly behaviour: TaskBehaviour;
	readonly #options: EmulatedTaskOptions;
	#state: RuntimeTaskState = 'running';
	#reason: string | undefined;
	#endMs: number | undefined;
	#leaseUntilMs: number;
	#checkpointKey: string | undefined;
	#checkpointEndMs = 0;
	#speedFactor = 1;
	/** Run time at full speed that was completed before `#progressUpdatedAtMs`. */
	#completedRunMs: number;
	#progressUpdatedAtMs: number;

	/**
	 * Starts the task.
	 *
	 * @param options - The task and the settings of the worker.
	 */
	constructor(options: EmulatedTaskOptions) {
		this.#options = options;
		this.key = options.key;
		this.assignment = options.assignment;
		this.startMs = options.startMs;
		this.behaviour = readTaskBehaviour(options.assignment.inlineInput);
		this.#leaseUntilMs = options.leaseUntilMs;
		this.#progressUpdatedAtMs = options.startMs;
		this.#completedRunMs = options.checkpoints.get(options.assignment.checkpointKey ?? '') ?? 0;
		const reason = options.failReason ?? (options.assignment.operation === NEVER_RUNS_OPERATION ? 'never_runs' : undefined);
		if (reason !== undefined) {
			this.#end('failed', options.startMs, reason);
		}
	}

	/** Whether the task has not ended. */
	get isActive(): boolean {
		return this.#endMs === undefined;
	}

	/** End time in monotonic milliseconds; undefined while the task runs. */
	get endMs(): number | undefined {
		return this.#endMs;
	}

	/** The state at the last {@link advanceTo}. */
	get state(): RuntimeTaskState {
		return this.#state;
	}

	/**
	 * Advances the task to a point in time. Everything due until then takes effect in order and with its own time, even if the call is late.
	 *
	 * @param nowMs - The worker's monotonic clock.
	 */
	advanceTo(nowMs: number): void {
		if (this.#state === 'checkpointing' && this.#checkpointEndMs <= Math.min(nowMs, this.#leaseUntilMs)) {
			this.#finishCheckpoint();
		}

		if (!this.isActive) {
			return;
		}

		const finishMs = this.#state === 'running' ? this.#progressUpdatedAtMs + ((this.behaviour.runMs - this.#completedRunMs) / this.#speedFactor) : Number.POSITIVE_INFINITY;
		if (Math.min(finishMs, this.#leaseUntilMs) > nowMs) {
			return;
		}

		if (this.#leaseUntilMs < finishMs) {
			this.#end('stopped', this.#leaseUntilMs, 'lease_expired');
			return;
		}

		const endMs = Math.max(finishMs, this.startMs);
		if (this.behaviour.fail === undefined) {
			this.#end('finished', endMs);
			return;
		}

		this.#end('failed', endMs, this.behaviour.fail);
	}

	/**
	 * Renews the lease; an earlier expiry is ignored.
	 *
	 * @param leaseUntilMs - The new expiry of the lease.
	 */
	renew(leaseUntilMs: number): void {
		this.#leaseUntilMs = Math.max(this.#leaseUntilMs, leaseUntilMs);
	}

	/**
	 * Starts a checkpoint; has no effect unless the task is running.
	 *
	 * @param nowMs - The worker's monotonic clock.
	 */
	checkpoint(nowMs: number): void {
		if (this.#state !== 'running') {
			return;
		}

		this.#updateProgress(nowMs);
		this.#state = 'checkpointing';
		this.#checkpointEndMs = nowMs + this.#options.checkpointMs;
		this.advanceTo(nowMs);
	}

	/**
	 * Reduces the speed of the task.
	 *
	 * @param nowMs - The worker's monotonic clock.
	 */
	throttle(nowMs: number): void {
		if (!this.isActive) {
			return;
		}

		this.#updateProgress(nowMs);
		this.#speedFactor = THROTTLED_SPEED_FACTOR;
	}

	/**
	 * Stops the task unless it ignores stop requests.
	 *
	 * @param nowMs - The worker's monotonic clock.
	 * @returns Whether the task has ended.
	 */
	stop(nowMs: number): boolean {
		if (this.isActive && !this.behaviour.ignoreStop) {
			this.#end('stopped', nowMs, 'stopped');
		}

		return !this.isActive;
	}

	/**
	 * Ends the task as the loss of its VM does, even if it ignores stop requests.
	 *
	 * @param nowMs - The worker's monotonic clock.
	 */
	crash(nowMs: number): void {
		this.advanceTo(nowMs);
		if (this.isActive) {
			this.#end('stopped', nowMs, 'vm_lost');
		}
	}

	/**
	 * Describes the task as the agent sees it.
	 *
	 * @param nowMs - The worker's monotonic clock.
	 * @returns State, answer, checkpoint, and the delayed resource usage.
	 */
	describe(nowMs: number): RuntimeTask {
		const measuredAtMs = Math.min(nowMs, this.#endMs ?? nowMs) - this.#options.usageLagMs;
		return {
			key: this.key,
			state: this.#state,
			reason: this.#reason,
			answerBase64: this.#state === 'finished'
				? Buffer.from(createAnswer(this.key, this.assignment, this.#options.workerId, this.behaviour)).toString('base64')
				: undefined,
			checkpointKey: this.#checkpointKey,
			usage: measuredAtMs >= this.startMs ? {measuredAtMs, used: this.assignment.shape} : undefined,
		};
	}

	#finishCheckpoint(): void {
		this.#checkpointKey = checkpointObjectKey(this.key);
		this.#options.checkpoints.set(this.#checkpointKey, this.#completedRunMs);
		this.#state = 'running';
		this.#progressUpdatedAtMs = this.#checkpointEndMs;
	}

	#updateProgress(nowMs: number): void {
		if (this.#state === 'running') {
			this.#completedRunMs += (nowMs - this.#progressUpdatedAtMs) * this.#speedFactor;
			this.#progressUpdatedAtMs = nowMs;
		}
	}

	#end(state: RuntimeTaskState, atMs: number, reason?: string): void {
		this.#state = state;
		this.#reason = reason;
		this.#endMs = atMs;
	}
}
