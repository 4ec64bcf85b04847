import type {Address} from '@amaranthsail/core/settings.js';

/** Settings of an HTTP client of a platform service. */
export type HttpServiceOptions = {
	readonly address: Address;
	/** Timeout of one call, its wait for a free connection included; {@link DEFAULT_CALL_TIMEOUT_MS} when absent. */
	readonly timeoutMs?: number;
	/** Maximum number of parallel calls; the default depends on the client. */
	readonly maxParallelCalls?: number;
	/** Maximum number of waiting calls; further calls fail without being sent. 1,000 when absent. */
	readonly maxWaitingCalls?: number;
};

/** Default timeout of one call. Shorter than the validity of an ownership, so that a failed renewal leaves time for a second one. */
export const DEFAULT_CALL_TIMEOUT_MS = 2000;

/** One HTTP request. */
export type ServiceRequest = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly path: string;
	readonly body?: string | Uint8Array;
	readonly contentType?: string;
};

/** Result of a request: a complete response, `not_sent` if it was certainly not sent, or `no_response` if it may have been sent and no complete response was received. */
export type ServiceResponse
	= | {readonly kind: 'response'; readonly status: number; readonly body: Uint8Array}
		| {readonly kind: 'not_sent'; readonly message: string}
		| {readonly kind: 'no_response'; readonly message: string};

/** Sends requests to one service. */
export interface ServiceClient {
	/**
	 * Sends a request at most once.
	 *
	 * @param request - The request.
	 * @returns The complete response, or whether the request was sent.
	 */
	call(request: ServiceRequest): Promise<ServiceResponse>;

	/** Closes all connections; calls in flight end without a response. */
	close(): Promise<void>;
}

/** Body of an error response of the platform's services. */
export type ServiceError = Readonly<Record<string, unknown>> & {readonly kind: string; readonly message: string};

/** Result of a request with a JSON response: a value, an error of the service itself, or no valid response. */
export type ParsedResponse
	= | {readonly kind: 'value'; readonly body: Readonly<Record<string, unknown>>}
		| {readonly kind: 'error'; readonly status: number; readonly error: ServiceError}
		| {readonly kind: 'not_sent' | 'no_response'; readonly message: string};
