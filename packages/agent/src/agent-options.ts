import type {Address, EndpointReport, TaskReport} from '@amaranthsail/core';

/** What an agent is made with. */
export type AgentCoreOptions = {
	readonly workerId: string;
	readonly failureDomain: string;
	/** Replaces the rack that the worker runtime names. */
	readonly rack?: string;
	/** Unique id of this run of the agent. */
	readonly incarnation: string;
	readonly entryAddresses: readonly Address[];
	/** UDP port on which the agent takes commands. */
	readonly replyPort: number;
	/** Numbers from 0 up to 1 for jitter. */
	readonly random: () => number;
};

/** What `GET /v1/status` shows of the state machine. */
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
