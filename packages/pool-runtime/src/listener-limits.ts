/** What the clients of one listener may use. */
export type ListenerLimits = {
	/** Name in logs and metrics. */
	readonly name: string;
	/** Whether the listener serves the system's own processes and workers, whose connections are preferred. */
	readonly isInternal: boolean;
	readonly maxConnections: number;
	/** Bytes that all connections hold together. */
	readonly maxHeldBytes: number;
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	/** Largest number of values in the JSON of a body. */
	readonly maxJsonValues: number;
	/** Requests in progress on one connection; further ones are not parsed until an earlier one is answered. */
	readonly requestsPerConnection: number;
	/** Time from the first byte of a head to its last one. */
	readonly headerTimeoutMs: number;
	/** Time from the end of the head to the end of the body. */
	readonly requestTimeoutMs: number;
	/** Time between two requests. */
	readonly idleTimeoutMs: number;
	/** Time without progress in which an answer is not read. */
	readonly answerTimeoutMs: number;
};

/** The limits of all listeners of a process, as its settings state them. */
export type ProcessLimits<Name extends string> = {
	readonly bytes: Readonly<Record<Name, number>>;
	readonly connections: Readonly<Record<Name, number>>;
	readonly jsonValues: Readonly<Record<Name, number>>;
	readonly headerBytes: number;
	readonly headerTimeoutMs: number;
	readonly requestTimeoutMs: number;
	readonly idleTimeoutMs: number;
	readonly answerTimeoutMs: number;
	readonly requestsPerConnection: number;
};

/**
 * Selects the limits of one listener.
 *
 * @param limits - Limits of the process.
 * @param name - The listener.
 * @param body - Largest body, and whether the listener serves the system's own processes and workers.
 * @returns Limits of the listener.
 */
export function listenerLimits<Name extends string>(limits: ProcessLimits<Name>, name: Name, {maxBodyBytes, isInternal}: Pick<ListenerLimits, 'maxBodyBytes' | 'isInternal'>): ListenerLimits {
	return {
		name,
		isInternal,
		maxBodyBytes,
		maxConnections: limits.connections[name],
		maxHeldBytes: limits.bytes[name],
		maxJsonValues: limits.jsonValues[name],
		maxHeaderBytes: limits.headerBytes,
		headerTimeoutMs: limits.headerTimeoutMs,
		requestTimeoutMs: limits.requestTimeoutMs,
		idleTimeoutMs: limits.idleTimeoutMs,
		answerTimeoutMs: limits.answerTimeoutMs,
		requestsPerConnection: limits.requestsPerConnection,
	};
}

/** Bodies of calls between the system's own processes stay below this size. */
export const MAX_INTERNAL_BODY_BYTES = 4 * 1024 * 1024;

/** Limits of servers without clients from outside, such as the emulators of tests. */
export const DEFAULT_LISTENER_LIMITS: ListenerLimits = {
	name: 'internal',
	isInternal: true,
	maxConnections: 512,
	maxHeldBytes: 32 * 1024 * 1024,
	maxHeaderBytes: 20 * 1024,
	maxBodyBytes: MAX_INTERNAL_BODY_BYTES,
	maxJsonValues: 100_000,
	requestsPerConnection: 8,
	headerTimeoutMs: 5000,
	requestTimeoutMs: 30_000,
	idleTimeoutMs: 60_000,
	answerTimeoutMs: 15_000,
};
