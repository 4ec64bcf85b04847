import {
	addResources, err, firstExceeded, formatTaskKey, ok, type Clock, type Resources, type Result, type TaskAssignment, type TaskKey,
} from '@amaranthsail/core';
import {EmulatedTask} from './emulated-task.js';
import {FaultPlan} from './fault-plan.js';
import type {
	RuntimeError, RuntimeFacts, RuntimeTask, RuntimeTaskState, WorkerRuntime,
} from './worker-runtime.js';

/** Settings of a {@link MemoryWorkerRuntime}. */
export type MemoryWorkerRuntimeOptions = {
	readonly clock: Clock;
	readonly workerId: string;
	readonly rack: string;
	readonly capacity: Resources;
	/** Decides which operations fail; none by default. */
	readonly faults?: FaultPlan;
	/** Whether every task fails as soon as it starts. */
	readonly failEverything?: boolean;
	/** Time that a checkpoint takes; 50 ms by default. */
	readonly checkpointMs?: number;
	/** Time between measuring use and reporting it; 1,000 ms by default. */
	readonly usageLagMs?: number;
	/** Progress by checkpoint key; shared by workers that can continue one another's tasks. */
	readonly checkpoints?: Map<string, number>;
};

/** One start of a task, kept for the life of the worker. */
export type Execution = {
	readonly key: TaskKey;
	readonly workerId: string;
	readonly account: string;
	readonly operation: string;
	/** Monotonic milliseconds. */
	readonly startMs: number;
	/** Monotonic milliseconds; absent while the task runs. */
	readonly endMs?: number;
	readonly state: RuntimeTaskState;
};

type Held = {readonly task: EmulatedTask} | {readonly neverStarted: TaskKey};

/** A worker in memory, with tasks that take time on an injected clock and faults on request. */
export class MemoryWorkerRuntime implements WorkerRuntime {
	/** The faults of this worker. */
	readonly faults: FaultPlan;
	readonly #options: MemoryWorkerRuntimeOptions;
	readonly #checkpoints: Map<string, number>;
	/** What is known of each task that was not forgotten, by formatted key. */
	readonly #held = new Map<string, Held>();
	/** Keys that were started or stopped; none of them can start again. */
	readonly #spent = new Set<string>();
	readonly #started: EmulatedTask[] = [];

	/**
	 * @param options - Clock, identity, capacity and faults.
	 */
	constructor(options: MemoryWorkerRuntimeOptions) {
		this.#options = options;
		this.faults = options.faults ?? new FaultPlan();
		this.#checkpoints = options.checkpoints ?? new Map<string, number>();
	}

	/**
	 * Reads what the worker can run.
	 *
	 * @returns Capacity and rack.
	 */
	async facts(): Promise<Result<RuntimeFacts, RuntimeError>> {
		return this.#run('facts', '', false, () => ok({capacity: this.#options.capacity, rack: this.#options.rack}));
	}

	/**
	 * Starts a task once.
	 *
	 * @param key - The task.
	 * @param assignment - What to run.
	 * @param leaseUntilMs - When the worker stops it, in monotonic milliseconds.
	 * @returns The task; `refused` when the capacity is taken, the lease has passed, or the key was forgotten.
	 */
	async start(key: TaskKey, assignment: TaskAssignment, leaseUntilMs: number): Promise<Result<RuntimeTask, RuntimeError>> {
		return this.#run('start', formatTaskKey(key), true, () => this.#start(key, assignment, leaseUntilMs));
	}

	/**
	 * Moves leases forward; unknown and ended tasks are skipped.
	 *
	 * @param leases - The tasks and the new ends of their leases.
	 * @returns Nothing, or the error of a fault.
	 */
	async renew(leases: ReadonlyArray<{readonly key: TaskKey; readonly leaseUntilMs: number}>): Promise<Result<undefined, RuntimeError>> {
		return this.#run('renew', '', true, () => {
			for (const {key, leaseUntilMs} of leases) {
				this.#find(key)?.renew(leaseUntilMs);
			}

			return ok(undefined);
		});
	}

	/**
	 * Starts a checkpoint of a running task.
	 *
	 * @param key - The task.
	 * @returns Nothing; `refused` for a task that cannot checkpoint, `not_found` for one that was never started.
	 */
	async checkpoint(key: TaskKey): Promise<Result<undefined, RuntimeError>> {
		return this.#run('checkpoint', formatTaskKey(key), true, () => {
			const task = this.#find(key);
			if (!task) {
				return err({kind: 'not_found'});
			}

			if (!task.assignment.checkpointable) {
				return err({kind: 'refused', message: 'the task cannot write checkpoints'});
			}

			task.checkpoint(this.#nowMs());
			return ok(undefined);
		});
	}

	/**
	 * Halves the speed of a task.
	 *
	 * @param key - The task.
	 * @returns Nothing; `not_found` for a task that was never started.
	 */
	async throttle(key: TaskKey): Promise<Result<undefined, RuntimeError>> {
		return this.#run('throttle', formatTaskKey(key), true, () => {
			const task = this.#find(key);
			task?.throttle(this.#nowMs());
			return task ? ok(undefined) : err({kind: 'not_found'});
		});
	}

	/**
	 * Stops a task and makes sure that its key can never start.
	 *
	 * @param key - The task.
	 * @returns The ended task; `outcome_unknown` while a task ignores the request.
	 */
	async stop(key: TaskKey): Promise<Result<RuntimeTask, RuntimeError>> {
		return this.#run('stop', formatTaskKey(key), true, () => this.#stop(key));
	}

	/**
	 * Lists all tasks that were not forgotten.
	 *
	 * @returns The tasks, those that were stopped before a start included.
	 */
	async list(): Promise<Result<readonly RuntimeTask[], RuntimeError>> {
		return this.#run('list', '', false, () => ok([...this.#held.values()].map(held => this.#describe(held))));
	}

	/**
	 * Drops an ended task; its key stays unable to start.
	 *
	 * @param key - The task.
	 * @returns Nothing; `refused` while the task runs.
	 */
	async forget(key: TaskKey): Promise<Result<undefined, RuntimeError>> {
		return this.#run('forget', formatTaskKey(key), true, () => {
			if (this.#find(key)?.active) {
				return err({kind: 'refused', message: 'the task is running'});
			}

			this.#held.delete(formatTaskKey(key));
			return ok(undefined);
		});
	}

	/** Ends the tasks that are due, as the worker's own timer does. */
	tick(): void {
		const nowMs = this.#nowMs();
		for (const held of this.#held.values()) {
			if ('task' in held) {
				held.task.advanceTo(nowMs);
			}
		}
	}

	/** Ends all tasks at once, as the loss of the VM does. */
	crash(): void {
		for (const task of this.#started) {
			task.crash(this.#nowMs());
		}
	}

	/**
	 * Lists every start in the life of the worker, forgotten tasks included.
	 *
	 * @returns The starts in their order.
	 */
	executions(): readonly Execution[] {
		this.tick();
		return this.#started.map(task => ({
			key: task.key,
			workerId: this.#options.workerId,
			account: task.assignment.account,
			operation: task.assignment.operation,
			startMs: task.startMs,
			endMs: task.endMs,
			state: task.state,
		}));
	}

	#start(key: TaskKey, assignment: TaskAssignment, leaseUntilMs: number): Result<RuntimeTask, RuntimeError> {
		const name = formatTaskKey(key);
		const held = this.#held.get(name);
		if (held) {
			return ok(this.#describe(held));
		}

		const nowMs = this.#nowMs();
		const refusal = this.#refusalOf(name, assignment, leaseUntilMs <= nowMs);
		if (refusal !== undefined) {
			return err({kind: 'refused', message: refusal});
		}

		const task = new EmulatedTask({
			key,
			assignment,
			workerId: this.#options.workerId,
			startMs: nowMs,
			leaseUntilMs,
			checkpointMs: this.#options.checkpointMs ?? 50,
			usageLagMs: this.#options.usageLagMs ?? 1000,
			failReason: this.#options.failEverything ? 'worker_failed' : undefined,
			checkpoints: this.#checkpoints,
		});
		this.#spent.add(name);
		this.#held.set(name, {task});
		this.#started.push(task);
		task.advanceTo(nowMs);
		return ok(task.describe(nowMs));
	}

	#refusalOf(name: string, assignment: TaskAssignment, lapsed: boolean): string | undefined {
		if (this.#spent.has(name)) {
			return 'the task was started or stopped before';
		}

		if (lapsed) {
			return 'the lease has passed';
		}

		const active = [...this.#held.values()].flatMap(held => 'task' in held && held.task.active ? [held.task.assignment] : []);
		let wanted = assignment.shape;
		for (const {shape} of active) {
			wanted = addResources(wanted, shape);
		}

		const exceeded = firstExceeded(wanted, this.#options.capacity);
		if (exceeded) {
			return `not enough ${exceeded}`;
		}

		const taken = new Set(active.flatMap(({accelerators}) => accelerators));
		const conflict = assignment.accelerators.find(accelerator => taken.has(accelerator));
		return conflict === undefined ? undefined : `accelerator ${conflict} is taken`;
	}

	#stop(key: TaskKey): Result<RuntimeTask, RuntimeError> {
		const name = formatTaskKey(key);
		const held = this.#held.get(name) ?? {neverStarted: key};
		if (!this.#held.has(name) && this.#spent.has(name)) {
			return err({kind: 'not_found'});
		}

		this.#spent.add(name);
		this.#held.set(name, held);
		if ('task' in held && !held.task.stop(this.#nowMs())) {
			return err({kind: 'outcome_unknown', message: 'the task did not stop in time'});
		}

		return ok(this.#describe(held));
	}

	#find(key: TaskKey): EmulatedTask | undefined {
		const held = this.#held.get(formatTaskKey(key));
		return held && 'task' in held ? held.task : undefined;
	}

	#describe(held: Held): RuntimeTask {
		return 'task' in held ? held.task.describe(this.#nowMs()) : {key: held.neverStarted, state: 'stopped', reason: 'never_started'};
	}

	#nowMs(): number {
		return this.#options.clock.monotonicMs();
	}

	async #run<Value>(
		operation: keyof WorkerRuntime,
		key: string,
		hasEffect: boolean,
		effect: () => Result<Value, RuntimeError>,
	): Promise<Result<Value, RuntimeError>> {
		return this.faults.run({
			service: 'worker', operation, key, hasEffect,
		}, () => {
			this.tick();
			return effect();
		});
	}
}
