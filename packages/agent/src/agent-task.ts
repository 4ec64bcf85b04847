import type {
	TaskAssignment, TaskKey, TaskReport, TaskState, UsageReport,
} from '@amaranthsail/core';

/** Phases of a task in the agent. Several phases are reported as one state. */
export const TASK_PHASES = ['prepared', 'starting', 'running', 'checkpointing', 'stopping', 'storing', 'refused', 'finished', 'failed', 'stopped'] as const;

/** One of {@link TASK_PHASES}. */
export type TaskPhase = (typeof TASK_PHASES)[number];

/** A task that the agent keeps until the owner's `forget` command. */
export type AgentTask = {
	readonly key: TaskKey;
	/** Undefined for a task that was never prepared. */
	readonly assignment?: TaskAssignment;
	phase: TaskPhase;
	/** Set before the start call is made, so that no report says "never started" of a task that may have started. */
	everStarted: boolean;
	reason?: string;
	/** Monotonic time until which `prepare` reserves the task's resources; applies until the first lease. */
	readonly holdUntilMs: number;
	/** Monotonic end of the lease; undefined before the first renewal. */
	leaseUntilMs?: number;
	/** Monotonic end of the lease that was passed with the start call. */
	startLeaseUntilMs?: number;
	/** Whether the worker has confirmed the start, so that no start call is in flight. */
	isStartConfirmed?: boolean;
	/** The worker has lost the task when a list requested at or after this monotonic time does not contain it. */
	mustBeListedFromMs?: number;
	isStopInFlight?: boolean;
	/** Monotonic time at which a failed stop call is retried. */
	stopRetryAtMs?: number;
	isThrottled?: boolean;
	/** Monotonic time at which a checkpointing task is stopped, whether or not its checkpoint is written. */
	checkpointDeadlineMs?: number;
	/** Monotonic time at which a failed checkpoint call is retried. */
	checkpointRetryAtMs?: number;
	checkpointKey?: string;
	/** Answer of the task until it is in the object store. */
	answerContent?: Uint8Array;
	answer?: {readonly lengthBytes: number; readonly sha256: string};
	putAttempts: number;
	isPutInFlight?: boolean;
	/** Monotonic time at which a failed put is retried. */
	putRetryAtMs?: number;
	usage?: UsageReport;
};

const REPORTED_STATES: Readonly<Record<TaskPhase, TaskState>> = {
	prepared: 'prepared',
	starting: 'prepared',
	running: 'running',
	checkpointing: 'checkpointing',
	// The task may still run until the worker confirms the stop.
	stopping: 'running',
	// `finished` is reported only after the answer is in the object store.
	storing: 'running',
	refused: 'refused',
	finished: 'finished',
	failed: 'failed',
	stopped: 'stopped',
};

const ENDED_PHASES: ReadonlySet<TaskPhase> = new Set(['refused', 'finished', 'failed', 'stopped']);
const ON_WORKER_PHASES: ReadonlySet<TaskPhase> = new Set(['starting', 'running', 'checkpointing', 'stopping']);

/**
 * Returns whether a task has ended.
 *
 * @param task - The task.
 * @returns True when only `forget` can still change the task.
 */
export function hasEnded(task: AgentTask): boolean {
	return ENDED_PHASES.has(task.phase);
}

/**
 * Returns whether a task may be running on the worker.
 *
 * @param task - The task.
 * @returns True from the start call until the worker reports that the task has ended.
 */
export function isOnWorker(task: AgentTask): boolean {
	return ON_WORKER_PHASES.has(task.phase);
}

/**
 * Returns the time after which a task must neither start nor run.
 *
 * @param task - The task.
 * @returns Monotonic milliseconds: the end of the lease, or of the hold before the first lease.
 */
export function expiresAtMs(task: AgentTask): number {
	return task.leaseUntilMs ?? task.holdUntilMs;
}

/**
 * Creates the report of a task.
 *
 * @param task - The task.
 * @returns The report for the owner.
 */
export function toReport(task: AgentTask): TaskReport {
	return {
		...task.key,
		state: REPORTED_STATES[task.phase],
		everStarted: task.everStarted,
		...(task.reason !== undefined && hasEnded(task) && task.phase !== 'finished' && {reason: task.reason}),
		...(task.phase === 'finished' && {answer: task.answer}),
		...(task.checkpointKey !== undefined && {hasCheckpoint: true}),
	};
}
