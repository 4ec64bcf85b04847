import type {
	TaskAssignment, TaskKey, TaskReport, TaskState, UsageReport,
} from '@amaranthsail/core';

/** Phases of a task in the agent; several of them share one reported state. */
export const TASK_PHASES = ['prepared', 'starting', 'running', 'checkpointing', 'stopping', 'storing', 'refused', 'finished', 'failed', 'stopped'] as const;

/** One of {@link TASK_PHASES}. */
export type TaskPhase = (typeof TASK_PHASES)[number];

/** A task that the agent holds. */
export type HeldTask = {
	readonly key: TaskKey;
	/** Absent for a task that was never prepared. */
	readonly assignment?: TaskAssignment;
	phase: TaskPhase;
	/** Set before the start call is made, so that a report never denies a start that may have happened. */
	everStarted: boolean;
	reason?: string;
	/** Monotonic end of the hold that `prepare` gave; counts until the first renewal. */
	readonly holdUntilMs: number;
	/** Monotonic end of the lease; undefined before the first renewal. */
	leaseUntilMs?: number;
	/** Monotonic lease given with the start call. */
	startLeaseUntilMs?: number;
	/** Whether the worker confirmed the start, so that no start call is under way. */
	isStartAnswered?: boolean;
	/** Monotonic time from which a list that does not name the task means that the worker lost it. */
	listedFromMs?: number;
	/** Whether a stop call is under way. */
	stopInFlight?: boolean;
	/** Monotonic time of the next stop call after a failed one. */
	stopRetryAtMs?: number;
	throttled?: boolean;
	/** Monotonic time at which a checkpointing task is stopped. */
	graceUntilMs?: number;
	/** Monotonic time of the next checkpoint call after a failed one. */
	checkpointRetryAtMs?: number;
	checkpointKey?: string;
	/** Answer that is not yet in the object store. */
	content?: Uint8Array;
	answer?: {readonly lengthBytes: number; readonly sha256: string};
	putAttempts: number;
	putInFlight?: boolean;
	/** Monotonic time of the next put after a failed one. */
	putRetryAtMs?: number;
	usage?: UsageReport;
};

const REPORTED_STATES: Readonly<Record<TaskPhase, TaskState>> = {
	prepared: 'prepared',
	starting: 'prepared',
	running: 'running',
	checkpointing: 'checkpointing',
	// Until the worker confirms the stop, the task may still run.
	stopping: 'running',
	// `finished` is reported only once the answer is in the object store.
	storing: 'running',
	refused: 'refused',
	finished: 'finished',
	failed: 'failed',
	stopped: 'stopped',
};

const ENDED_PHASES: ReadonlySet<TaskPhase> = new Set(['refused', 'finished', 'failed', 'stopped']);
const ON_WORKER_PHASES: ReadonlySet<TaskPhase> = new Set(['starting', 'running', 'checkpointing', 'stopping']);

/**
 * Tells whether nothing more happens to a task.
 *
 * @param task - The task.
 * @returns True when only `forget` is left.
 */
export function hasEnded(task: HeldTask): boolean {
	return ENDED_PHASES.has(task.phase);
}

/**
 * Tells whether a task may be running on the worker.
 *
 * @param task - The task.
 * @returns True from the start call until the worker says that it has ended.
 */
export function isOnWorker(task: HeldTask): boolean {
	return ON_WORKER_PHASES.has(task.phase);
}

/**
 * Names the time at which a task loses the right to start or run.
 *
 * @param task - The task.
 * @returns Monotonic milliseconds: the lease, or the hold before the first renewal.
 */
export function expiresAtMs(task: HeldTask): number {
	return task.leaseUntilMs ?? task.holdUntilMs;
}

/**
 * Makes the report of a task.
 *
 * @param task - The task.
 * @returns What the owner is told.
 */
export function reportOf(task: HeldTask): TaskReport {
	return {
		...task.key,
		state: REPORTED_STATES[task.phase],
		everStarted: task.everStarted,
		...(task.reason !== undefined && hasEnded(task) && task.phase !== 'finished' && {reason: task.reason}),
		...(task.phase === 'finished' && {answer: task.answer}),
		...(task.checkpointKey !== undefined && {hasCheckpoint: true}),
	};
}
