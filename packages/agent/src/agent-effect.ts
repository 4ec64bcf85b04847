import type {
	Address, Heartbeat, LogFields, TaskAssignment, TaskKey,
} from '@amaranthsail/core';

/** Exit codes of the agent. */
export const AGENT_EXIT_CODES = {
	drained: 0, secondSignal: 1, invalidSettings: 2, addressInUse: 3,
} as const;

/** One of {@link AGENT_EXIT_CODES}. */
export type AgentExitCode = (typeof AGENT_EXIT_CODES)[keyof typeof AGENT_EXIT_CODES];

/** Actions that the state machine returns for the driver to perform. */
export type AgentEffect
	= | {readonly kind: 'send'; readonly to: Address; readonly message: Heartbeat}
		| {readonly kind: 'readFacts'}
		| {readonly kind: 'list'}
		| {readonly kind: 'start'; readonly key: TaskKey; readonly assignment: TaskAssignment; readonly leaseUntilMs: number}
		| {readonly kind: 'renew'; readonly leases: ReadonlyArray<{readonly key: TaskKey; readonly leaseUntilMs: number}>}
		| {readonly kind: 'checkpoint'; readonly key: TaskKey}
		| {readonly kind: 'throttle'; readonly key: TaskKey}
		| {readonly kind: 'stop'; readonly key: TaskKey}
		| {readonly kind: 'forget'; readonly key: TaskKey}
		| {readonly kind: 'putAnswer'; readonly key: TaskKey; readonly objectKey: string; readonly content: Uint8Array}
		| {readonly kind: 'discover'; readonly entry: Address}
		| {readonly kind: 'log'; readonly level: 'info' | 'warn'; readonly message: string; readonly fields: LogFields}
		| {readonly kind: 'exit'; readonly code: AgentExitCode};
