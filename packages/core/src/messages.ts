import type {Resources} from './resources.js';

/** An endpoint as it last announced itself to its agent. */
export type EndpointReport = {
	readonly endpointId: string;
	readonly service: string;
	readonly leaving: boolean;
};

/** Description of a worker that its agent sends to the owner. */
export type WorkerFacts = {
	readonly workerId: string;
	readonly failureDomain: string;
	readonly rack: string;
	readonly capacity: Resources;
	readonly endpoints: readonly EndpointReport[];
};

/** Identifies one task of one attempt. */
export type TaskKey = {
	readonly jobId: string;
	readonly attempt: number;
	readonly taskIndex: number;
};

/** States of a task as its agent reports them. */
export const TASK_STATES = ['prepared', 'refused', 'running', 'checkpointing', 'finished', 'failed', 'stopped'] as const;

/** One of {@link TASK_STATES}. */
export type TaskState = (typeof TASK_STATES)[number];

/** State of a task that an agent holds, or has held and has not yet been commanded to forget. */
export type TaskReport = TaskKey & {
	readonly state: TaskState;
	/** Whether the task has ever been started. Valid only from the agent incarnation that prepared it. */
	readonly everStarted: boolean;
	/** Stable code for `refused`, `failed` and `stopped`. */
	readonly reason?: string;
	/** For `finished`: length and digest of the answer object. */
	readonly answer?: {readonly lengthBytes: number; readonly sha256: string};
	/** Whether a checkpoint was written that a later attempt can resume from. */
	readonly hasCheckpoint?: boolean;
};

/** Measured resource usage of a task. It lags behind the actual usage. */
export type UsageReport = TaskKey & {
	readonly measuredAtMs: number;
	readonly used: Resources;
};

/** Sent by an agent to the owner of its failure domain. */
export type Heartbeat = {
	readonly type: 'heartbeat';
	readonly workerId: string;
	/** Sent in every heartbeat, because one entry may own several failure domains and the first heartbeat may be lost. */
	readonly failureDomain: string;
	readonly incarnation: string;
	readonly sequence: number;
	/** Reading of the agent's monotonic clock at sending; leases are counted from it. */
	readonly sentAtMs: number;
	/** Highest owner epoch that the agent has seen. */
	readonly epoch: number;
	/** UDP port on which the agent receives commands. */
	readonly replyPort: number;
	readonly revisionInForce: number;
	/** Present in the first heartbeat to an owner, on a change, and in every tenth heartbeat. */
	readonly facts?: WorkerFacts;
	/** Whether the agent itself is shutting down. */
	readonly leaving: boolean;
	readonly reports: readonly TaskReport[];
	/** Whether `reports` covers every task that the agent holds; false when they did not fit into one datagram. */
	readonly complete: boolean;
	readonly usage?: readonly UsageReport[];
};

/** Sent by an owner to an agent in response to one heartbeat. */
export type HeartbeatAck = {
	readonly type: 'ack';
	readonly ownerId: string;
	readonly epoch: number;
	readonly sequence: number;
	/** The heartbeat's `sentAtMs`, echoed. */
	readonly sentAtMs: number;
	/** Whether the owner cannot reach the store; the agent then searches for an owner with a higher epoch. */
	readonly degraded: boolean;
	readonly revision: number;
	/** Whether the owner requests `facts` in the next heartbeat. */
	readonly wantFacts: boolean;
	/** Tasks whose lease is renewed until `sentAtMs` plus the task lease. */
	readonly renewed: readonly TaskKey[];
};

/** Kinds of commands. */
export const COMMAND_KINDS = ['prepare', 'release', 'checkpoint', 'throttle', 'stop', 'forget'] as const;

/** One of {@link COMMAND_KINDS}. */
export type CommandKind = (typeof COMMAND_KINDS)[number];

/** Everything an agent needs to prepare a task. */
export type TaskAssignment = {
	readonly account: string;
	readonly service: string;
	readonly operation: string;
	readonly endpointId: string;
	readonly shape: Resources;
	readonly accelerators: readonly number[];
	readonly taskCount: number;
	readonly repeatable: boolean;
	readonly checkpointable: boolean;
	readonly inlineInput?: string;
	/** Key of the object that holds an input too long for a datagram; the worker fetches it. */
	readonly inputKey?: string;
	/** Key of the object that holds the checkpoint to resume from. */
	readonly checkpointKey?: string;
};

/** Sent by an owner to an agent, and repeated until a report shows that it has taken effect. */
export type Command = {
	readonly type: 'command';
	readonly kind: CommandKind;
	readonly ownerId: string;
	readonly epoch: number;
	readonly workerId: string;
	/** Agent incarnation that the command is addressed to; other incarnations ignore it. */
	readonly incarnation: string;
	readonly task: TaskKey;
	/** For `prepare`. */
	readonly assignment?: TaskAssignment;
	/** For `prepare`: how long the agent may hold the resources without a lease renewal. */
	readonly holdMs?: number;
	/** For `checkpoint`: delay until the task is stopped. */
	readonly graceMs?: number;
};

/** Any message between agent and owner. */
export type ControlMessage = Heartbeat | HeartbeatAck | Command;
