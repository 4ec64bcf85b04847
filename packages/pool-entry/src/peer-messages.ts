import type {JobRow, JobState, StoredRow} from '@amaranthsail/pool';

/** Paths of an entry's API for other entries; agents use `/announce`. */
export const PEER_PATHS = {
	hello: '/hello',
	configuration: '/configuration',
	jobState: '/job-state',
	stored: '/stored',
	relay: '/relay',
} as const;

/** A standby's call to the leader. */
export type HelloRequest = {
	/** Address of the calling entry's API. */
	readonly address: string;
	/** Highest epoch that the caller knows. */
	readonly epoch: number;
	readonly configRowVersion: number;
};

/** Any entry's answer. */
export type HelloAnswer = {
	readonly epoch: number;
	/** It leads and its last write did not fail. */
	readonly isLeading: boolean;
	readonly configRowVersion: number;
	/** Addresses of the entries that it knows. */
	readonly entries: readonly string[];
	/** Jobs that have not started, by queue. */
	readonly pending: Readonly<Record<string, number>>;
};

/** Asks for the row of the configuration. */
export type ConfigurationAnswer = {readonly row?: StoredRow};

/** Asks the leader for the state of a job. */
export type JobStateRequest = {readonly jobId: string};

/** Absent fields mean that the leader does not know the job. */
export type JobStateAnswer = {readonly isLeading: boolean; readonly state?: JobState; readonly account?: string};

/** Tells the leader what was stored, ahead of its feed. */
export type StoredNotice = {readonly jobId: string; readonly row?: JobRow; readonly isCancelled?: boolean};

/** Asks an entry that reaches the store to carry out a caller's request. */
export type RelayRequest
	= | {readonly kind: 'submit'; readonly jobId: string; readonly row: JobRow; readonly configRowVersion: number; readonly budgetMs: number}
		| {readonly kind: 'cancel'; readonly jobId: string; readonly account: string; readonly budgetMs: number}
		| {readonly kind: 'state'; readonly jobId: string; readonly account: string; readonly budgetMs: number};
