import type {Resources} from './resources.js';

/** An endpoint as its agent last heard of it. */
export type EndpointReport = {
	readonly endpointId: string;
	readonly service: string;
	readonly leaving: boolean;
};

/** What an agent announces about its worker. */
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

/** What an agent reports about a task it holds, or has held and not been told to forget. */
export type TaskReport = TaskKey & {
	readonly state: TaskState;
	/** Whether the task has ever been started. Only meaningful from the incarnation that prepared it. */
	readonly everStarted: boolean;
	/** Stable code for `refused`, `failed` and `stopped`. */
	readonly reason?: string;
	/** For `finished`: length and digest of the answer object. */
	readonly answer?: {readonly lengthBytes: number; readonly sha256: string};
	/** Whether a checkpoint was written that a later attempt can continue from. */
	readonly hasCheckpoint?: boolean;
};

/** Measured use of a task; lags behind. */
export type UsageReport = TaskKey & {
	readonly measuredAtMs: number;
	readonly used: Resources;
};

/** Agent to owner. */
export type Heartbeat = {
	readonly type: 'heartbeat';
	readonly workerId: string;
	/** In every heartbeat, because one entry may own several failure domains and the first heartbeat may be lost. */
	readonly failureDomain: string;
	readonly incarnation: string;
	readonly sequence: number;
	/** The agent's monotonic clock at sending; leases count from it. */
	readonly sentAtMs: number;
	/** Highest owner epoch that the agent has seen. */
	readonly epoch: number;
	/** UDP port on which the agent takes commands. */
	readonly replyPort: number;
	readonly revisionInForce: number;
	/** Present in the first heartbeat to an owner, on a change, and in every tenth heartbeat. */
	readonly facts?: WorkerFacts;
	/** Whether the agent itself is shutting down. */
	readonly leaving: boolean;
	readonly reports: readonly TaskReport[];
	/** Whether `reports` names every task that the agent holds; false when they did not fit one datagram. */
	readonly complete: boolean;
	readonly usage?: readonly UsageReport[];
};

/** Owner to agent, in answer to one heartbeat. */
export type HeartbeatAck = {
	readonly type: 'ack';
	readonly ownerId: string;
	readonly epoch: number;
	readonly sequence: number;
	/** Echo of the heartbeat's `sentAtMs`. */
	readonly sentAtMs: number;
	/** The owner cannot reach the store; the agent should look for a higher epoch. */
	readonly degraded: boolean;
	readonly revision: number;
	/** Whether the owner asks for facts in the next heartbeat. */
	readonly wantFacts: boolean;
	/** Tasks whose lease is renewed up to `sentAtMs` plus the task lease. */
	readonly renewed: readonly TaskKey[];
};

/** Kinds of commands. */
export const COMMAND_KINDS = ['prepare', 'release', 'checkpoint', 'throttle', 'stop', 'forget'] as const;

/** One of {@link COMMAND_KINDS}. */
export type CommandKind = (typeof COMMAND_KINDS)[number];

/** What a task needs to be prepared. */
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
	/** Object key of an input that is too long for a datagram; the worker fetches it. */
	readonly inputKey?: string;
	/** Object key of the checkpoint to continue from. */
	readonly checkpointKey?: string;
};

/** Owner to agent; repeated until a report shows that it has taken effect. */
export type Command = {
	readonly type: 'command';
	readonly kind: CommandKind;
	readonly ownerId: string;
	readonly epoch: number;
	readonly workerId: string;
	/** Incarnation that the command is meant for; an agent ignores commands for another one. */
	readonly incarnation: string;
	readonly task: TaskKey;
	/** For `prepare`. */
	readonly assignment?: TaskAssignment;
	/** For `prepare`: how long the agent may hold the resources without a lease renewal. */
	readonly holdMs?: number;
	/** For `checkpoint`: time until the task is stopped. */
	readonly graceMs?: number;
};

/** All messages between agent and owner. */
export type ControlMessage = Heartbeat | HeartbeatAck | Command;
