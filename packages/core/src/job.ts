import type {Resources} from './resources.js';

/** Scopes within which the accelerators of a job or guarantee must be placed together. */
export const ADJACENCIES = ['worker', 'rack', 'failureDomain'] as const;

/** One of {@link ADJACENCIES}. */
export type Adjacency = (typeof ADJACENCIES)[number];

/** Classes of work, from the most to the least urgent. */
export const WORK_CLASSES = ['urgent', 'short', 'long'] as const;

/** One of {@link WORK_CLASSES}. */
export type WorkClass = (typeof WORK_CLASSES)[number];

/** Specification of a job: the caller's request, validated and completed by the entry. */
export type JobSpec = {
	readonly account: string;
	readonly service: string;
	/** The operation of the service, for example `revaluation`. */
	readonly operation: string;
	readonly workClass: WorkClass;
	/** Number of tasks; more than one makes the job a gang. */
	readonly taskCount: number;
	/** Resources that each task takes. */
	readonly shape: Resources;
	/** Scope within which the tasks of a gang must be placed together. */
	readonly adjacency: Adjacency;
	/** Whether the job may be run more than once. */
	readonly repeatable: boolean;
	/** Whether its tasks can write a checkpoint and resume from it. */
	readonly checkpointable: boolean;
	/** The caller's estimate of the run time; only a hint, because it may be wrong. */
	readonly expectedRunMs?: number;
	/** Longest run time of an attempt, after which it is stopped. Absent for no limit. */
	readonly maxRunMs?: number;
	/** Wall-clock time by which the job must be finished. */
	readonly deadlineAtMs?: number;
	/** Failure domains the job may run in; absent means any. */
	readonly failureDomains?: readonly string[];
	/** Input of up to {@link MAX_INLINE_INPUT_BYTES}. */
	readonly inlineInput?: string;
	/** Key of the object that holds an input too long for {@link JobSpec.inlineInput}. */
	readonly inputKey?: string;
};

/** Longest input that is sent inside a `prepare` command. */
export const MAX_INLINE_INPUT_BYTES = 400;

/** States of a job. */
export const JOB_STATES = ['waiting', 'decided', 'running', 'completed', 'failed', 'cancelled', 'unknown'] as const;

/** One of {@link JOB_STATES}. */
export type JobState = (typeof JOB_STATES)[number];

/** States that a job does not leave. */
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
	/** Indices of the worker's accelerators; they form an aligned block. */
	readonly accelerators: readonly number[];
};

/** Location of the answer of one task, with the length and digest that verify it. */
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
	/** SHA-256 of the request's content; a request with the same key and another digest is a conflict. */
	readonly bodyDigest: string;
	readonly failureDomain: string;
	readonly state: JobState;
	readonly acceptedAtMs: number;
	/** Number of the current attempt; 0 before the first. */
	readonly attempt: number;
	readonly members: readonly AttemptMember[];
	/** Whether the only permitted start of a non-repeatable job is used up. The decision sets it; it is cleared only on proof that no task started. */
	readonly startConsumed: boolean;
	/** Workers on which earlier attempts failed. */
	readonly failedWorkers: readonly string[];
	readonly cancelRequested: boolean;
	readonly outcome?: CallerOutcome;
	/** Stable code and a message for people, for an outcome other than `completed`. */
	readonly reason?: {readonly code: string; readonly message: string};
	readonly answers: readonly AnswerReference[];
	readonly startedAtMs?: number;
	readonly finishedAtMs?: number;
	/** Attempt whose checkpoints the next attempt resumes from. */
	readonly checkpointAttempt?: number;
	/** Number of attempts that ended because a task failed or was refused. */
	readonly failedAttempts?: number;
	/** Whether a task of an earlier attempt has started or may have started. */
	readonly ranBefore?: boolean;
	/** Id of the last write. When a write's acknowledgement is lost, reading the row back shows whether it took effect. */
	readonly writeId: string;
};

/** Fields of a job row that are known at acceptance. */
export type AcceptedJob = Pick<JobRow, 'jobId' | 'spec' | 'bodyDigest' | 'failureDomain' | 'acceptedAtMs' | 'writeId'>;

/**
 * Creates the row of a newly accepted job.
 *
 * @param accepted - The fields known at acceptance.
 * @returns The row of a waiting job without attempts.
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
