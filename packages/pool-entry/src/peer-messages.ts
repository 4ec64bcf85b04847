import type {JobRow, JobState, StoredRow} from '@amaranthsail/pool';

/** Paths of the API that an entry serves to other entries; agents use `/announce`. */
export const PEER_PATHS = {
	hello: '/hello',
	configuration: '/configuration',
	jobState: '/job-state',
	stored: '/stored',
	relay: '/relay',
} as const;

/** Call of a standby that checks whether the leader is alive. */
export type HelloRequest = {
	/** Address of the calling entry's API. */
	readonly address: string;
	/** Highest epoch that the caller knows. */
	readonly epoch: number;
	readonly configRowVersion: number;
	readonly failureDomain: string;
	/** Processor capacity of the caller's VM. */
	readonly cores: number;
};

/** Answer of any entry to {@link HelloRequest}. */
export type HelloAnswer = {
	readonly epoch: number;
	/** Whether the entry leads and its commits succeed, or it is reading the stored state in order to lead. */
	readonly isLeading: boolean;
	readonly configRowVersion: number;
	/** Milliseconds for which the entry has known that this version is replaced; absent if it does not know that. */
	readonly configBehindMs?: number;
	/** Addresses of the entries that have called it or that it has learned from others. */
	readonly entries: readonly string[];
	/** Number of jobs that have not started, by queue; absent unless the entry leads and has read the stored state. */
	readonly pending?: Readonly<Record<string, number>>;
	/** Whether the caller is one of the entries that monitor the leader closely. */
	readonly isDeputy: boolean;
	/** Processor capacity of the largest entry that is known. */
	readonly largestCores: number;
};

/** Answer to a request for the configuration row. */
export type ConfigurationAnswer = {readonly row?: StoredRow};

/** Request to the leader for the state of a job. */
export type JobStateRequest = {readonly jobId: string};

/** Absent fields mean that the leader does not know the job. */
export type JobStateAnswer = {readonly isLeading: boolean; readonly state?: JobState; readonly account?: string};

/** Notifies the leader of a stored job or cancellation before its change feed does. */
export type StoredNotice = {readonly jobId: string; readonly row?: JobRow; readonly isCancelled?: boolean};

/** A caller's request, relayed to an entry that may still reach the store. */
export type RelayRequest
	= | {readonly kind: 'submit'; readonly jobId: string; readonly row: JobRow; readonly configRowVersion: number; readonly budgetMs: number}
		| {readonly kind: 'cancel'; readonly jobId: string; readonly account: string; readonly budgetMs: number}
		| {readonly kind: 'state'; readonly jobId: string; readonly account: string; readonly budgetMs: number};
