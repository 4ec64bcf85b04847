import type {
	Address, Command, HeartbeatAck, Result, TaskKey,
} from '@amaranthsail/core';
import type {
	ObjectError, RuntimeError, RuntimeFacts, RuntimeTask,
} from '@amaranthsail/backing-services';

/** The owner of a failure domain, from an entry's answer or from a message of the owner. */
export type OwnerAddress = {
	readonly ownerId: string;
	readonly epoch: number;
	/** UDP address of the owner. */
	readonly address: Address;
};

/** Message that an endpoint sends periodically to the agent on its VM. */
export type Announcement = {
	readonly endpointId: string;
	readonly service: string;
	readonly leaving: boolean;
};

/** Events that the state machine handles. */
export type AgentEvent
	/** An authenticated message and its sender's address. */
	= | {readonly kind: 'message'; readonly message: HeartbeatAck | Command; readonly from: Address}
		| {readonly kind: 'announcement'; readonly announcement: Announcement}
		| {readonly kind: 'factsAnswered'; readonly result: Result<RuntimeFacts, RuntimeError>}
		| {readonly kind: 'listAnswered'; readonly result: Result<readonly RuntimeTask[], RuntimeError>}
		| {readonly kind: 'startAnswered'; readonly key: TaskKey; readonly result: Result<RuntimeTask, RuntimeError>}
		| {readonly kind: 'checkpointAnswered'; readonly key: TaskKey; readonly result: Result<undefined, RuntimeError>}
		| {readonly kind: 'throttleAnswered'; readonly key: TaskKey; readonly result: Result<undefined, RuntimeError>}
		| {readonly kind: 'stopAnswered'; readonly key: TaskKey; readonly result: Result<RuntimeTask, RuntimeError>}
		| {readonly kind: 'putAnswered'; readonly key: TaskKey; readonly result: Result<undefined, ObjectError>}
		/** Result of an owner query; undefined when the entry did not answer or knows no owner. */
		| {readonly kind: 'ownerAnswered'; readonly owner: OwnerAddress | undefined}
		/** SIGTERM or SIGINT. The first drains the agent, the second stops its tasks. */
		| {readonly kind: 'shutdownRequested'};
