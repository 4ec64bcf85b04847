import type {Address, EndpointReport, TaskReport} from '@amaranthsail/core';

/** Options of the agent's state machine. */
export type AgentCoreOptions = {
	readonly workerId: string;
	readonly failureDomain: string;
	/** Overrides the rack that the worker runtime reports. */
	readonly rack?: string;
	/** Unique id of this run of the agent. */
	readonly incarnation: string;
	readonly entryAddresses: readonly Address[];
	/** UDP port on which the agent receives commands. */
	readonly replyPort: number;
	/** Returns random numbers from 0 (inclusive) to 1 (exclusive), used for jitter. */
	readonly random: () => number;
};

/** State that `GET /v1/status` returns; its field names are part of the HTTP interface. */
export type AgentStatus = {
	readonly workerId: string;
	readonly failureDomain: string;
	readonly incarnation: string;
	readonly ready: boolean;
	readonly leaving: boolean;
	readonly epoch: number;
	readonly ownerId: string | undefined;
	readonly degraded: boolean;
	readonly revisionInForce: number;
	readonly endpoints: readonly EndpointReport[];
	readonly tasks: readonly TaskReport[];
};
