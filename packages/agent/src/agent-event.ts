import type {
	Address, Command, HeartbeatAck, Result, TaskKey,
} from '@amaranthsail/core';
import type {
	ObjectError, RuntimeError, RuntimeFacts, RuntimeTask,
} from '@amaranthsail/backing-services';

/** The owner of a failure domain as an entry names it. */
export type OwnerAnswer = {
	readonly ownerId: string;
	readonly epoch: number;
	/** Address on which the owner takes datagrams. */
	readonly address: Address;
};

/** What an endpoint tells the agent beside it. */
export type Announcement = {
	readonly endpointId: string;
	readonly service: string;
	readonly leaving: boolean;
};

/** Inputs of the agent's state machine. */
export type AgentEvent
	/** An authenticated message and the address it came from. */
	= | {readonly kind: 'message'; readonly message: HeartbeatAck | Command; readonly from: Address}
		| {readonly kind: 'announcement'; readonly announcement: Announcement}
		| {readonly kind: 'factsAnswered'; readonly result: Result<RuntimeFacts, RuntimeError>}
		| {readonly kind: 'listAnswered'; readonly result: Result<readonly RuntimeTask[], RuntimeError>}
		| {readonly kind: 'startAnswered'; readonly key: TaskKey; readonly result: Result<RuntimeTask, RuntimeError>}
		| {readonly kind: 'checkpointAnswered'; readonly key: TaskKey; readonly result: Result<undefined, RuntimeError>}
		| {readonly kind: 'throttleAnswered'; readonly key: TaskKey; readonly result: Result<undefined, RuntimeError>}
		| {readonly kind: 'stopAnswered'; readonly key: TaskKey; readonly result: Result<RuntimeTask, RuntimeError>}
		| {readonly kind: 'putAnswered'; readonly key: TaskKey; readonly result: Result<undefined, ObjectError>}
		/** The answer of an entry; undefined when it gave none. */
		| {readonly kind: 'ownerAnswered'; readonly owner: OwnerAnswer | undefined}
		/** SIGTERM or SIGINT; the second one ends the tasks. */
		| {readonly kind: 'shutdownRequested'};
