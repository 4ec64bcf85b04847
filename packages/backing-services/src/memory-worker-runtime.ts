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
	/** Injects faults; none by default. */
	readonly faults?: FaultPlan;
	/** Whether every task fails as soon as it starts. */
	readonly failEverything?: boolean;
	/** Duration of a checkpoint; 50 ms by default. */
	readonly checkpointMs?: number;
	/** Time between the measurement of the resource usage and its report; 1,000 ms by default. */
	readonly usageLagMs?: number;
	/** Progress by checkpoint key; workers that can resume one another's tasks share it. */
	readonly checkpoints?: Map<string, number>;
};

/** One execution of a task; listed until the worker ends, even if the task was forgotten. */
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

type KnownTask = {readonly task: EmulatedTask} | {readonly neverStartedKey: TaskKey};

/** In-memory worker with injected faults, whose tasks run on an injected clock. */
export class MemoryWorkerRuntime implements WorkerRuntime {
	/** The fault plan of this worker. */
	readonly faults: FaultPlan;
	readonly #options: MemoryWorkerRuntimeOptions;
	readonly #checkpoints: Map<string, number>;
	/** All tasks that were not forgotten, by formatted key. */
	readonly #knownTasks = new Map<string, KnownTask>();
	/** Formatted keys of all tasks that were started or stopped; they cannot be started again. */
	readonly #usedKeys = new Set<string>();
	readonly #startedTasks: EmulatedTask[] = [];

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
	 * @param leaseUntilMs - Expiry of the lease, at which the worker stops the task, in monotonic milliseconds.
	 * @returns The task; `refused` when there is not enough free capacity, the lease has expired, or the task was forgotten.
	 */
	async start(key: TaskKey, assignment: TaskAssignment, leaseUntilMs: number): Promise<Result<RuntimeTask, RuntimeError>> {
		return this.#run('start', formatTaskKey(key), true, () => this.#start(key, assignment, leaseUntilMs));
	}

	/**
	 * Renews leases; unknown and ended tasks are skipped.
	 *
	 * @param leases - The tasks and the new expiries of their leases.
	 * @returns Nothing, or the error of an injected fault.
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
	 * Stops a task and ensures that it can never be started.
	 *
	 * @param key - The task.
	 * @returns The ended task; `outcome_unknown` when the task ignores the request.
	 */
	async stop(key: TaskKey): Promise<Result<RuntimeTask, RuntimeError>> {
		return this.#run('stop', formatTaskKey(key), true, () => this.#stop(key));
	}

	/**
	 * Lists all tasks that were not forgotten.
	 *
	 * @returns The tasks, including those that were stopped before they were started.
	 */
	async list(): Promise<Result<readonly RuntimeTask[], RuntimeError>> {
		return this.#run('list', '', false, () => ok([...this.#knownTasks.values()].map(knownTask => this.#describe(knownTask))));
	}

	/**
	 * Forgets an ended task; it still cannot be started again.
	 *
	 * @param key - The task.
	 * @returns Nothing; `refused` while the task runs.
	 */
	async forget(key: TaskKey): Promise<Result<undefined, RuntimeError>> {
		return this.#run('forget', formatTaskKey(key), true, () => {
			if (this.#find(key)?.isActive) {
				return err({kind: 'refused', message: 'the task is running'});
			}

			this.#knownTasks.delete(formatTaskKey(key));
			return ok(undefined);
		});
	}

	/** Advances all tasks to the current time; a real worker does this by its own timer. */
	tick(): void {
		const nowMs = this.#nowMs();
		for (const knownTask of this.#knownTasks.values()) {
			if ('task' in knownTask) {
				knownTask.task.advanceTo(nowMs);
			}
		}
	}

	/** Ends all tasks immediately, to simulate the loss of the VM. */
	crash(): void {
		for (const task of this.#startedTasks) {
			task.crash(this.#nowMs());
		}
	}

	/**
	 * Lists all executions since the worker started, forgotten tasks included.
	 *
	 * @returns The executions in the order of their starts.
	 */
	executions(): readonly Execution[] {
		this.tick();
		return this.#startedTasks.map(task => ({
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
		const formattedKey = formatTaskKey(key);
		const knownTask = this.#knownTasks.get(formattedKey);
		if (knownTask) {
			return ok(this.#describe(knownTask));
		}

		const nowMs = this.#nowMs();
		const refusal = this.#refusalOf(formattedKey, assignment, leaseUntilMs <= nowMs);
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
		this.#usedKeys.add(formattedKey);
		this.#knownTasks.set(formattedKey, {task});
		this.#startedTasks.push(task);
		task.advanceTo(nowMs);
		return ok(task.describe(nowMs));
	}

	#refusalOf(formattedKey: string, assignment: TaskAssignment, isLeaseExpired: boolean): string | undefined {
		if (this.#usedKeys.has(formattedKey)) {
			return 'the task was started or stopped before';
		}

		if (isLeaseExpired) {
			return 'the lease has expired';
		}

		const activeAssignments = [...this.#knownTasks.values()].flatMap(knownTask => 'task' in knownTask && knownTask.task.isActive ? [knownTask.task.assignment] : []);
		let required = assignment.shape;
		for (const {shape} of activeAssignments) {
			required = addResources(required, shape);
		}

		const exceeded = firstExceeded(required, this.#options.capacity);
		if (exceeded) {
			return `not enough ${exceeded}`;
		}

		const takenAccelerators = new Set(activeAssignments.flatMap(({accelerators}) => accelerators));
		const takenAccelerator = assignment.accelerators.find(accelerator => takenAccelerators.has(accelerator));
		return takenAccelerator === undefined ? undefined : `accelerator ${takenAccelerator} is taken`;
	}

	#stop(key: TaskKey): Result<RuntimeTask, RuntimeError> {
		const formattedKey = formatTaskKey(key);
		const knownTask = this.#knownTasks.get(formattedKey) ?? {neverStartedKey: key};
		if (!this.#knownTasks.has(formattedKey) && this.#usedKeys.has(formattedKey)) {
			return err({kind: 'not_found'});
		}

		this.#usedKeys.add(formattedKey);
		this.#knownTasks.set(formattedKey, knownTask);
		if ('task' in knownTask && !knownTask.task.stop(this.#nowMs())) {
			return err({kind: 'outcome_unknown', message: 'the task did not stop in time'});
		}

		return ok(this.#describe(knownTask));
	}

	#find(key: TaskKey): EmulatedTask | undefined {
		const knownTask = this.#knownTasks.get(formatTaskKey(key));
		return knownTask && 'task' in knownTask ? knownTask.task : undefined;
	}

	#describe(knownTask: KnownTask): RuntimeTask {
		return 'task' in knownTask ? knownTask.task.describe(this.#nowMs()) : {key: knownTask.neverStartedKey, state: 'stopped', reason: 'never_started'};
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
