import type {AgentReport, OrderOutcome, WorkerOrder} from '@amaranthsail/pool';

/** Paths of the agent's API for the leader. */
export const AGENT_PATHS = {watch: '/watch', order: '/order'} as const;

/** Path of an entry's API on which agents announce themselves. */
export const ANNOUNCE_PATH = '/announce';

/** The leader asks for the agent's newest report and extends its worker's lease. */
export type WatchRequest = {
	readonly epoch: number;
	/** The report that the leader has; the agent answers at once when it has a newer one. */
	readonly sinceVersion: number;
	readonly waitMs: number;
	/** Life of the worker that lease and acknowledgement are for. */
	readonly life?: string;
	/** On the worker's clock. */
	readonly leaseUntilMs?: number;
	readonly ackSequence?: number;
};

/** The agent's answer. */
export type WatchAnswer = {
	/** Distinguishes lives of the agent; report versions start anew. */
	readonly incarnation: string;
	readonly version: number;
	readonly report?: AgentReport;
	/** Lives of the worker that have ended in an orderly way. */
	readonly leftLives: readonly string[];
};

/** An order for the agent's worker. */
export type OrderRequest = {readonly epoch: number; readonly life: string; readonly order: WorkerOrder};

/** What became of an order. */
export type OrderAnswer = {
	readonly outcome: OrderOutcome;
	/** The agent's count of orders that have been answered. */
	readonly orderCount: number;
};

/** The agent has seen a higher epoch. */
export type StaleEpochAnswer = {readonly epoch: number};

/** An agent tells an entry where it listens. */
export type AnnounceRequest = {readonly agent: string; readonly address: string};
