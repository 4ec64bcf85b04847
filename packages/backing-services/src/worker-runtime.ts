import type {
	Resources, Result, TaskAssignment, TaskKey,
} from '@amaranthsail/core';

/** States of a task in the worker runtime. */
export type RuntimeTaskState = 'running' | 'checkpointing' | 'finished' | 'failed' | 'stopped';

/** A task as the worker runtime knows it. */
export type RuntimeTask = {
	readonly key: TaskKey;
	readonly state: RuntimeTaskState;
	readonly reason?: string;
	/** Present when `finished`: the answer, base64. */
	readonly answerBase64?: string;
	/** Object key of the last checkpoint. */
	readonly checkpointKey?: string;
	/** Measured resource usage and the time of the measurement, in monotonic milliseconds; may be outdated. */
	readonly usage?: {readonly measuredAtMs: number; readonly used: Resources};
};

/** Errors of the worker runtime. */
export type RuntimeError
	= | {readonly kind: 'unavailable'; readonly message: string}
	/** A request was sent and no response was received; read the task back by its key. */
		| {readonly kind: 'outcome_unknown'; readonly message: string}
		| {readonly kind: 'refused'; readonly message: string}
		| {readonly kind: 'not_found'};

/** Capacity and rack of a worker. */
export type RuntimeFacts = {readonly capacity: Resources; readonly rack: string};

/** The platform's worker on the agent's VM. Times are on the VM's monotonic clock. */
export interface WorkerRuntime {
	facts(): Promise<Result<RuntimeFacts, RuntimeError>>;

	/** Starts a task once; a second start of the same key changes nothing. The worker stops the task at `leaseUntilMs`, when its lease expires. */
	start(key: TaskKey, assignment: TaskAssignment, leaseUntilMs: number): Promise<Result<RuntimeTask, RuntimeError>>;

	/** Renews the leases of tasks; an expiry earlier than the current one is ignored. */
	renew(leases: ReadonlyArray<{readonly key: TaskKey; readonly leaseUntilMs: number}>): Promise<Result<undefined, RuntimeError>>;

	checkpoint(key: TaskKey): Promise<Result<undefined, RuntimeError>>;
	throttle(key: TaskKey): Promise<Result<undefined, RuntimeError>>;

	/** Stops a task and returns once it has ended. A task that was never started counts as stopped and can never be started. */
	stop(key: TaskKey): Promise<Result<RuntimeTask, RuntimeError>>;

	/** Lists all tasks that were not forgotten. */
	list(): Promise<Result<readonly RuntimeTask[], RuntimeError>>;

	/** Makes the worker forget an ended task. */
	forget(key: TaskKey): Promise<Result<undefined, RuntimeError>>;
}
