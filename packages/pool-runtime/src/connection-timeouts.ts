import type {ListenerLimits} from './listener-limits.js';

/** Longest wait for the first byte of a request; longer than a legal idle time. */
const FIRST_BYTE_TIMEOUT_MS = 20_000;

/** What a connection is doing. */
export type ConnectionState = {
	/** Time since the last request; undefined while there is a request or a part of one. */
	readonly idleMs: number | undefined;
	/** Time without progress; undefined while a request is being handled. */
	readonly stalledMs: number | undefined;
	/** Time since the connection began to be idle, or to read a head or a body. */
	readonly phaseMs: number;
	readonly isReadingBody: boolean;
	readonly hasOpenRequests: boolean;
	/** Whether any part of a request has arrived. */
	readonly hasReceived: boolean;
};

/**
 * Checks a connection against the time limits of its listener.
 *
 * @param state - What the connection is doing.
 * @param limits - Limits of the listener.
 * @returns The limit that it has exceeded, if any.
 */
export function findExceededTimeout({idleMs, stalledMs, phaseMs, isReadingBody, hasOpenRequests, hasReceived}: ConnectionState, limits: ListenerLimits): 'idle' | 'slow_body' | 'slow_head' | 'slow_reader' | undefined {
	if (idleMs !== undefined) {
		return idleMs >= (hasReceived ? limits.idleTimeoutMs : Math.min(limits.idleTimeoutMs, FIRST_BYTE_TIMEOUT_MS)) ? 'idle' : undefined;
	}

	if (isReadingBody) {
		return phaseMs >= limits.requestTimeoutMs ? 'slow_body' : undefined;
	}

	if (!hasOpenRequests) {
		return phaseMs >= limits.headerTimeoutMs ? 'slow_head' : undefined;
	}

	return stalledMs !== undefined && stalledMs >= limits.answerTimeoutMs ? 'slow_reader' : undefined;
}
