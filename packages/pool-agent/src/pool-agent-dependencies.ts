import type {Clock, Logger} from '@amaranthsail/core';
import type {PoolStore, WorkerPort} from '@amaranthsail/pool';

/** Dependencies of `PoolAgentCore`. */
export type PoolAgentCoreDependencies = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly store: PoolStore;
	readonly worker: WorkerPort;
	/** Length of the lease that the agent grants without a leader, while the store does not list its worker as suspected. */
	readonly leaseMs: number;
	/** Identifies this incarnation of the agent. */
	readonly incarnation: string;
	readonly sleep: (ms: number) => Promise<void>;
};
