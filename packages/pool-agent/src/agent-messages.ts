import type {AgentReport, OrderOutcome, WorkerOrder} from '@amaranthsail/pool';

/** Paths of the API that an agent serves to the leader. */
export const AGENT_PATHS = {watch: '/watch', order: '/order'} as const;

/** Path at an entry on which agents announce their address. */
export const ANNOUNCE_PATH = '/announce';

/** The leader's long poll for the agent's newest report; also renews the worker's lease. */
export type WatchRequest = {
	readonly epoch: number;
	/** Version of the report that the leader has; the agent answers at once when it has another one. */
	readonly sinceVersion: number;
	/** Longest time for which the agent waits for a change. */
	readonly waitMs: number;
	/** Incarnation of the worker that lease and acknowledgement are for. */
	readonly life?: string;
	/** End of the lease on the worker's clock. */
	readonly leaseUntilMs?: number;
	/** Ends of runs up to this sequence number are stored; the worker may drop them. */
	readonly ackSequence?: number;
};

/** Answer to {@link WatchRequest}. */
export type WatchAnswer = {
	/** Incarnation of the agent; report versions restart with each. */
	readonly incarnation: string;
	readonly version: number;
	readonly report?: AgentReport;
	/** Recent incarnations of the worker that have deregistered and do not answer any more; this does not prove that they have ended. */
	readonly leftLives: readonly string[];
};

/** An order for the worker incarnation `life`. */
export type OrderRequest = {readonly epoch: number; readonly life: string; readonly order: WorkerOrder};

/** Answer to {@link OrderRequest}. */
export type OrderAnswer = {
	readonly outcome: OrderOutcome;
	/** Increases with each order that the agent has relayed and got an outcome for, also across its restarts. */
	readonly orderCount: number;
};

/** Answer of an agent that has seen a higher epoch than the request's. */
export type StaleEpochAnswer = {readonly epoch: number};

/** Announces the address on which an agent listens. */
export type AnnounceRequest = {readonly agent: string; readonly address: string};
