import {Buffer} from 'node:buffer';
import {checkpointObjectKey, type TaskAssignment, type TaskKey} from '@amaranthsail/core';
import {makeAnswer, NEVER_RUNS_OPERATION, readTaskBehaviour, type TaskBehaviour} from './task-emulation.js';
import type {RuntimeTask, RuntimeTaskState} from './worker-runtime.js';

/** Speed of a throttled task; 1 is full speed. */
export const THROTTLED_SPEED = 0.5;

/** What an emulated worker adds to each of its tasks. */
export type EmulatedTaskOptions = {
	readonly key: TaskKey;
	readonly assignment: TaskAssignment;
	readonly workerId: string;
	readonly startMs: number;
	readonly leaseUntilMs: number;
	/** Time that writing a checkpoint takes; the task makes no progress meanwhile. */
	readonly checkpointMs: number;
	/** Time between measuring use and reporting it. */
	readonly usageLagMs: number;
	/** Fails the task at once with this reason. */
	readonly failReason?: string;
	/** Progress by checkpoint key, in milliseconds of run time. */
	readonly checkpoints: Map<string, number>;
};

/** One task that a worker has started, with its progress as a function of time. */
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
	#checkpointUntilMs = 0;
	#speed = 1;
	/** Run time done before `#sinceMs`. */
	#doneMs: number;
	#sinceMs: number;

	/**
	 * Starts the task.
	 *
	 * @param options - The task and the worker's settings.
	 */
	constructor(options: EmulatedTaskOptions) {
		this.#options = options;
		this.key = options.key;
		this.assignment = options.assignment;
		this.startMs = options.startMs;
		this.behaviour = readTaskBehaviour(options.assignment.inlineInput);
		this.#leaseUntilMs = options.leaseUntilMs;
		this.#sinceMs = options.startMs;
		this.#doneMs = options.checkpoints.get(options.assignment.checkpointKey ?? '') ?? 0;
		const reason = options.failReason ?? (options.assignment.operation === NEVER_RUNS_OPERATION ? 'never_runs' : undefined);
		if (reason !== undefined) {
			this.#end('failed', options.startMs, reason);
		}
	}

	/** Whether the task still runs. */
	get active(): boolean {
		return this.#endMs === undefined;
	}

	/** When the task ended, in monotonic milliseconds; undefined while it runs. */
	get endMs(): number | undefined {
		return this.#endMs;
	}

	/** The state at the last {@link advanceTo}. */
	get state(): RuntimeTaskState {
		return this.#state;
	}

	/**
	 * Moves the task to a point in time; what is due until then happens in its order, however late the call.
	 *
	 * @param nowMs - The worker's monotonic clock.
	 */
	advanceTo(nowMs: number): void {
		if (this.#state === 'checkpointing' && this.#checkpointUntilMs <= Math.min(nowMs, this.#leaseUntilMs)) {
			this.#finishCheckpoint();
		}

		if (!this.active) {
			return;
		}

		const finishMs = this.#state === 'running' ? this.#sinceMs + ((this.behaviour.runMs - this.#doneMs) / this.#speed) : Number.POSITIVE_INFINITY;
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
	 * Moves the lease forward; an earlier time is ignored.
	 *
	 * @param leaseUntilMs - The new end of the lease.
	 */
	renew(leaseUntilMs: number): void {
		this.#leaseUntilMs = Math.max(this.#leaseUntilMs, leaseUntilMs);
	}

	/**
	 * Starts a checkpoint.
	 *
	 * @param nowMs - The worker's monotonic clock.
	 */
	checkpoint(nowMs: number): void {
		if (this.#state !== 'running') {
			return;
		}

		this.#settle(nowMs);
		this.#state = 'checkpointing';
		this.#checkpointUntilMs = nowMs + this.#options.checkpointMs;
		this.advanceTo(nowMs);
	}

	/**
	 * Slows the task down.
	 *
	 * @param nowMs - The worker's monotonic clock.
	 */
	throttle(nowMs: number): void {
		if (!this.active) {
			return;
		}

		this.#settle(nowMs);
		this.#speed = THROTTLED_SPEED;
	}

	/**
	 * Stops the task unless it ignores that.
	 *
	 * @param nowMs - The worker's monotonic clock.
	 * @returns Whether the task no longer runs.
	 */
	stop(nowMs: number): boolean {
		if (this.active && !this.behaviour.ignoreStop) {
			this.#end('stopped', nowMs, 'stopped');
		}

		return !this.active;
	}

	/**
	 * Ends the task with its VM, whatever it ignores.
	 *
	 * @param nowMs - The worker's monotonic clock.
	 */
	crash(nowMs: number): void {
		this.advanceTo(nowMs);
		if (this.active) {
			this.#end('stopped', nowMs, 'vm_lost');
		}
	}

	/**
	 * Describes the task to the agent.
	 *
	 * @param nowMs - The worker's monotonic clock.
	 * @returns State, answer, checkpoint, and the use measured before the lag.
	 */
	describe(nowMs: number): RuntimeTask {
		const measuredAtMs = Math.min(nowMs, this.#endMs ?? nowMs) - this.#options.usageLagMs;
		return {
			key: this.key,
			state: this.#state,
			reason: this.#reason,
			answerBase64: this.#state === 'finished'
				? Buffer.from(makeAnswer(this.key, this.assignment, this.#options.workerId, this.behaviour)).toString('base64')
				: undefined,
			checkpointKey: this.#checkpointKey,
			usage: measuredAtMs >= this.startMs ? {measuredAtMs, used: this.assignment.shape} : undefined,
		};
	}

	#finishCheckpoint(): void {
		this.#checkpointKey = checkpointObjectKey(this.key);
		this.#options.checkpoints.set(this.#checkpointKey, this.#doneMs);
		this.#state = 'running';
		this.#sinceMs = this.#checkpointUntilMs;
	}

	#settle(nowMs: number): void {
		if (this.#state === 'running') {
			this.#doneMs += (nowMs - this.#sinceMs) * this.#speed;
			this.#sinceMs = nowMs;
		}
	}

	#end(state: RuntimeTaskState, atMs: number, reason?: string): void {
		this.#state = state;
		this.#reason = reason;
		this.#endMs = atMs;
	}
}
