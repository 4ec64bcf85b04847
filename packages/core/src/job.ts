import type {Resources} from './resources.js';

/** How close the accelerators of a job or guarantee have to be to one another. */
export const ADJACENCIES = ['worker', 'rack', 'failureDomain'] as const;

/** One of {@link ADJACENCIES}. */
export type Adjacency = (typeof ADJACENCIES)[number];

/** Classes of work, from the most to the least urgent. */
export const WORK_CLASSES = ['urgent', 'short', 'long'] as const;

/** One of {@link WORK_CLASSES}. */
export type WorkClass = (typeof WORK_CLASSES)[number];

/** What a caller asks for, after the entry has checked it. */
export type JobSpec = {
	readonly account: string;
	readonly service: string;
	/** The operation of the service, for example `revaluation`. */
	readonly operation: string;
	readonly workClass: WorkClass;
	/** Number of tasks; more than one makes the job a gang. */
	readonly taskCount: number;
	/** What each task takes. */
	readonly shape: Resources;
	/** How close the tasks of a gang have to be. */
	readonly adjacency: Adjacency;
	/** Whether the job may run more than once. */
	readonly repeatable: boolean;
	/** Whether its tasks can write a checkpoint and continue from it. */
	readonly checkpointable: boolean;
	/** The caller's estimate of the run time; never trusted. */
	readonly expectedRunMs?: number;
	/** Longest run time of an attempt; it is stopped after that. Absent for no limit. */
	readonly maxRunMs?: number;
	/** Wall-clock time by which the job has to be finished. */
	readonly deadlineAtMs?: number;
	/** Failure domains the job may run in; absent means any. */
	readonly failureDomains?: readonly string[];
	/** Input of up to {@link MAX_INLINE_INPUT_BYTES}. */
	readonly inlineInput?: string;
	/** Key of the object that holds a longer input. */
	readonly inputKey?: string;
};

/** Longest input that travels inside a `prepare` command. */
export const MAX_INLINE_INPUT_BYTES = 400;

/** States of a job. */
export const JOB_STATES = ['waiting', 'decided', 'running', 'completed', 'failed', 'cancelled', 'unknown'] as const;

/** One of {@link JOB_STATES}. */
export type JobState = (typeof JOB_STATES)[number];

/** States in which nothing more happens to a job. */
export const FINAL_JOB_STATES: ReadonlySet<JobState> = new Set(['completed', 'failed', 'cancelled', 'unknown']);

/** What a caller may conclude about the execution of its request. */
export type CallerOutcome = 'completed' | 'failed' | 'not_run' | 'unknown';

/** One task of an attempt and where it runs. */
export type AttemptMember = {
	readonly taskIndex: number;
	readonly workerId: string;
	readonly endpointId: string;
	/** Incarnation of the agent that prepared the task. */
	readonly incarnation: string;
	/** Accelerator numbers on the worker; an aligned block. */
	readonly accelerators: readonly number[];
};

/** Where the answer of one task is and how to check that it is whole. */
export type AnswerReference = {
	readonly taskIndex: number;
	readonly objectKey: string;
	readonly lengthBytes: number;
	readonly sha256: string;
};

/** The row `jobs/{jobId}`. */
export type JobRow = {
	readonly jobId: string;
	readonly spec: JobSpec;
	/** SHA-256 of the caller's body; another body under the same key is a conflict. */
	readonly bodyDigest: string;
	readonly failureDomain: string;
	readonly state: JobState;
	readonly acceptedAtMs: number;
	/** Number of the current attempt; 0 before the first. */
	readonly attempt: number;
	readonly members: readonly AttemptMember[];
	/** Set by the decision for a job that is not repeatable; never cleared without proof that nothing started. */
	readonly startConsumed: boolean;
	/** Workers on which earlier attempts failed. */
	readonly failedWorkers: readonly string[];
	readonly cancelRequested: boolean;
	readonly outcome?: CallerOutcome;
	/** Stable code and sentence for an outcome other than `completed`. */
	readonly reason?: {readonly code: string; readonly message: string};
	readonly answers: readonly AnswerReference[];
	readonly startedAtMs?: number;
	readonly finishedAtMs?: number;
	/** Attempt whose checkpoints the next attempt continues from. */
	readonly checkpointAttempt?: number;
	/** Attempts that ended because a task failed or was refused. */
	readonly failedAttempts?: number;
	/** Whether a task of an earlier attempt has started, or may have. */
	readonly ranBefore?: boolean;
	/** Id of the last write, for reading back after a lost acknowledgement. */
	readonly writeId: string;
};

/** What is known of a job when it is accepted. */
export type AcceptedJob = Pick<JobRow, 'jobId' | 'spec' | 'bodyDigest' | 'failureDomain' | 'acceptedAtMs' | 'writeId'>;

/**
 * Makes the first row of a job.
 *
 * @param accepted - What is known at acceptance.
 * @returns The row of a waiting job without an attempt.
 */
export function newJobRow(accepted: AcceptedJob): JobRow {
	return {
		...accepted,
		state: 'waiting',
		attempt: 0,
		members: [],
		startConsumed: false,
		failedWorkers: [],
		cancelRequested: false,
		answers: [],
	};
}
