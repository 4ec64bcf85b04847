import type {Address} from '@amaranthsail/core/settings.js';

/** Settings of an HTTP client of the platform. */
export type HttpServiceOptions = {
	readonly address: Address;
	/** Time for one call, its wait for a free connection included; {@link DEFAULT_CALL_TIMEOUT_MS} when absent. */
	readonly timeoutMs?: number;
	/** Largest number of calls under way at once; each client states its default. */
	readonly maxParallelCalls?: number;
	/** Largest number of calls that wait; more are refused. 1,000 when absent. */
	readonly maxWaitingCalls?: number;
};

/** Time for one call when the settings name none. Below the validity of an ownership, so that a renewal fails in time for a second one. */
export const DEFAULT_CALL_TIMEOUT_MS = 2000;

/** One HTTP request. */
export type ServiceRequest = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly path: string;
	readonly body?: string | Uint8Array;
	readonly contentType?: string;
};

/** What came of a request: a whole answer, surely not sent, or sent without a whole answer. */
export type ServiceAnswer
	= | {readonly kind: 'answer'; readonly status: number; readonly body: Uint8Array}
		| {readonly kind: 'not_sent'; readonly message: string}
		| {readonly kind: 'no_answer'; readonly message: string};

/** Sends requests to one service. */
export interface ServiceCaller {
	/**
	 * Sends a request at most once.
	 *
	 * @param request - The request.
	 * @returns The whole answer, or how far the request got.
	 */
	call(request: ServiceRequest): Promise<ServiceAnswer>;

	/** Closes all connections; calls under way end without an answer. */
	close(): Promise<void>;
}

/** An error body of the platform's services. */
export type ServiceError = Readonly<Record<string, unknown>> & {readonly kind: string; readonly message: string};

/** An answer with its JSON body: a value, an error of the service itself, or nothing usable. */
export type ParsedAnswer
	= | {readonly kind: 'value'; readonly body: Readonly<Record<string, unknown>>}
		| {readonly kind: 'error'; readonly status: number; readonly error: ServiceError}
		| {readonly kind: 'not_sent' | 'no_answer'; readonly message: string};
