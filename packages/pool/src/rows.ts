import type {JobSpec, JobState} from './model.js';
import type {QueueTerms} from './queue-terms.js';
import type {WorkerCrash} from './crash-record.js';

/** Tables of a pool. */
export const TABLES = {
	leader: 'leader',
	jobs: 'jobs',
	runs: 'runs',
	members: 'members',
	/** Newest incarnation of each agent's worker. */
	lives: 'lives',
	/** Workers that are suspected or lost, by incarnation; agents without a leader do not renew their leases. */
	suspects: 'suspects',
	/** Estimated speeds of the workers, in one row; a cache. */
	speeds: 'speeds',
} as const;

/** Key of the only row of the leader table, and of that of the speeds table. */
export const LEADER_KEY = 'region';

/** Highest epoch that is believed: above the time in seconds, from which epochs count on after an unreadable row. */
export const MAX_EPOCH = (2 ** 32) - 1;

/** The row of the leader table. */
export type LeaderRow = {
	/** Identifies the process that leads, not only its VM; empty after a resignation. */
	readonly holder: string;
	/** Address of the leader's API for peers and agents. */
	readonly address: string;
	/** Fencing token; increases with every change of the leader. */
	readonly epoch: number;
	/** Number of the leader's last transaction. */
	readonly commit: number;
};

/** A row of the jobs table: an accepted job, or one that has ended. */
export type JobRow = {
	readonly queue: string;
	readonly account: string;
	readonly acceptedAtMs: number;
	/** Terms of the queue at the acceptance; absent once the job has ended, and in rows of earlier releases. */
	readonly terms?: QueueTerms;
	/** Absent once the job has ended. */
	readonly spec?: JobSpec;
	/** Present once the job has ended. */
	readonly finalState?: JobState;
	/** Unix time at which the job ended. */
	readonly endedAtMs?: number;
};

/** A row of the runs table. */
export type RunRow = {
	/** Number of the newest run of the task. */
	readonly run: number;
	/** Worker incarnation of the newest run, while that run has not ended. */
	readonly life?: string;
	readonly isDone?: boolean;
	/**
	 * No worker was known to have begun a run of the task when the row was written. While the newest run has not ended, it
	 * may have begun since. Earlier releases leave the field out of the rows of such runs.
	 */
	readonly isUnbegun?: boolean;
	/** Number of failed runs. */
	readonly failures?: number;
	/** Checkpoint that the next run resumes from. */
	readonly checkpoint?: string;
	/** Workers that crashed, or may have crashed, while the task ran there. */
	readonly crashes?: readonly WorkerCrash[];
};

/** A row of the lives table, by agent: the newest incarnation of the agent's worker that a leader has seen, in `life`. */
export type IncarnationRow = {readonly life: string};

/** The row of the speeds table: by agent, the logarithm of the worker's speed and the weight of its evidence. */
export type SpeedsRow = {readonly workers: Readonly<Record<string, readonly [number, number]>>};

/** A row of the members table, by agent. */
export type MemberRow = {readonly address: string};

const CANCEL_SUFFIX = '~cancel';

/**
 * Builds the key of the row that records the cancellation of a job.
 *
 * @param jobId - The job.
 * @returns The key in the jobs table.
 */
export function cancellationKey(jobId: string): string {
	return jobId + CANCEL_SUFFIX;
}

/**
 * Parses a key of the jobs table.
 *
 * @param key - The key.
 * @returns The job, and whether the row records its cancellation.
 */
export function parseJobKey(key: string): {readonly jobId: string; readonly isCancellation: boolean} {
	return key.endsWith(CANCEL_SUFFIX)
		? {jobId: key.slice(0, -CANCEL_SUFFIX.length), isCancellation: true}
		: {jobId: key, isCancellation: false};
}

/**
 * Builds the range of the keys that begin with a prefix.
 *
 * @param prefix - A prefix that ends with an ASCII character.
 * @returns The range for a read.
 */
export function prefixRange(prefix: string): {readonly from: string; readonly to: string} {
	return {from: prefix, to: prefix.slice(0, -1) + String.fromCodePoint(prefix.codePointAt(prefix.length - 1)! + 1)};
}
