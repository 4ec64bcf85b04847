import {ApiClient, type ApiResponse} from '@amaranthsail/quickstart';
import {sleep} from './wait-until.js';

/** Delay before the request is sent to the next entry. */
const RETRY_DELAY_MS = 50;

/** Longest wait for the response to a request without `waitMs`; an entry may wait 2,000 ms for each of several calls to the store. */
const RESPONSE_TIMEOUT_MS = 8000;

/** Error codes after which another entry, or a later request, can succeed. */
const RETRYABLE_CODES: ReadonlySet<unknown> = new Set([
	'draining', 'not_ready', 'owner_unavailable', 'store_unavailable', 'outcome_unknown', 'overloaded', 'account_limit',
]);

/** Body, idempotency key and time limits of a request. */
export type CallOptions = {
	readonly body?: unknown;
	readonly key?: string;
	/** Longest wait for one response. */
	readonly timeoutMs?: number;
	/** Longest time over all entries and retries. */
	readonly totalTimeoutMs?: number;
};

/** API client of several entries: sends a request to the next entry, with the same idempotency key, when one cannot serve it. */
export class FailoverClient {
	/** Requests that failed after an entry had accepted the connection, with their errors. */
	readonly abortedRequests: string[] = [];
	readonly #getAddresses: () => readonly string[];
	readonly #token: string;
	#nextIndex = 0;

	/**
	 * @param getAddresses - Returns `host:port` of the entries.
	 * @param token - Token of a client account or operator.
	 */
	constructor(getAddresses: () => readonly string[], token: string) {
		this.#getAddresses = getAddresses;
		this.#token = token;
	}

	/**
	 * Sends a request, and repeats it at the next entry when one refuses the connection or cannot serve it.
	 *
	 * @param method - The HTTP method.
	 * @param path - The path with its query.
	 * @param options - The body, the idempotency key and the time limits.
	 * @returns The first response whose code is not retryable; the last response when the time is over.
	 * @throws Error when no entry has responded in time.
	 */
	async call(method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string, options: CallOptions = {}): Promise<ApiResponse> {
		const deadlineMs = performance.now() + (options.totalTimeoutMs ?? 30_000);
		let lastResponse: ApiResponse | undefined;
		let lastError: unknown;
		do {
			const addresses = this.#getAddresses();
			const address = addresses[this.#nextIndex % addresses.length]!;
			try {
				lastResponse = await this.callAt(address, method, path, options);
				if (!RETRYABLE_CODES.has(lastResponse.body.code)) {
					return lastResponse;
				}
			} catch (error) {
				lastError = error;
				if (!isConnectionRefused(error)) {
					this.abortedRequests.push(`${method} ${path} at ${address}: ${formatError(error)}`);
				}
			}

			this.#nextIndex += 1;
			await sleep(RETRY_DELAY_MS);
		} while (performance.now() < deadlineMs);

		if (lastResponse) {
			return lastResponse;
		}

		throw new Error(`no entry responded to ${method} ${path}: ${formatError(lastError)}`);
	}

	/**
	 * Sends a request to one entry.
	 *
	 * @param address - `host:port` of the entry.
	 * @param method - The HTTP method.
	 * @param path - The path with its query.
	 * @param options - The body, the idempotency key and the time limit.
	 * @returns The response.
	 * @throws The error of the connection, or a timeout.
	 */
	async callAt(address: string, method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string, options: CallOptions = {}): Promise<ApiResponse> {
		const {body, key, timeoutMs = RESPONSE_TIMEOUT_MS} = options;
		return new ApiClient(address, this.#token).call(method, path, {body, key, timeoutMs});
	}
}

/** Whether the connection was refused, which proves that the request was not sent. */
function isConnectionRefused(error: unknown): boolean {
	return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}

function formatError(error: unknown): string {
	return error instanceof Error ? `${'code' in error ? String(error.code) : error.name}: ${error.message}` : String(error);
}
