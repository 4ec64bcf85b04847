import {ApiClient, type ApiReply} from '@amaranthsail/quickstart';
import {pause} from './wait-until.js';

/** Time before the next entry is tried. */
const RETRY_DELAY_MS = 50;

/** Longest wait for an answer without `waitMs`; an entry may wait 2,000 ms for each of several calls to the store. */
const ANSWER_TIMEOUT_MS = 8000;

/** Codes that say that another entry, or a later call, can answer. */
const RETRIED_CODES: ReadonlySet<unknown> = new Set([
	'draining', 'not_ready', 'owner_unavailable', 'store_unavailable', 'outcome_unknown', 'overloaded', 'account_limit',
]);

/** A request of a caller. */
export type CallOptions = {
	readonly body?: unknown;
	readonly key?: string;
	/** Longest wait for one answer. */
	readonly timeoutMs?: number;
	/** Longest time over all entries and repetitions. */
	readonly withinMs?: number;
};

/** A caller that knows several entries and sends a request to the next one, with the same key, when one does not take it. */
export class Caller {
	/** Errors of connections that an entry had accepted. */
	readonly cutConnections: string[] = [];
	readonly #addresses: () => readonly string[];
	readonly #token: string;
	#next = 0;

	/**
	 * @param addresses - `host:port` of the entries.
	 * @param token - Token of a client account or operator.
	 */
	constructor(addresses: () => readonly string[], token: string) {
		this.#addresses = addresses;
		this.#token = token;
	}

	/**
	 * Makes a call, on further entries when one refuses connections or cannot answer.
	 *
	 * @param method - The HTTP method.
	 * @param path - The path with its query.
	 * @param options - The body, the idempotency key and the limits.
	 * @returns The first answer that is final for the caller, or the last one when the time is over.
	 * @throws Error when no entry has answered in time.
	 */
	async call(method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string, options: CallOptions = {}): Promise<ApiReply> {
		const untilMs = performance.now() + (options.withinMs ?? 30_000);
		let last: ApiReply | undefined;
		let lastError: unknown;
		do {
			const addresses = this.#addresses();
			const address = addresses[this.#next % addresses.length]!;
			try {
				last = await this.callAt(address, method, path, options);
				if (!RETRIED_CODES.has(last.body.code)) {
					return last;
				}
			} catch (error) {
				lastError = error;
				if (!isRefused(error)) {
					this.cutConnections.push(`${method} ${path} at ${address}: ${describe(error)}`);
				}
			}

			this.#next += 1;
			await pause(RETRY_DELAY_MS);
		} while (performance.now() < untilMs);

		if (last) {
			return last;
		}

		throw new Error(`no entry answered ${method} ${path}: ${describe(lastError)}`);
	}

	/**
	 * Makes a call at one entry.
	 *
	 * @param address - `host:port` of the entry.
	 * @param method - The HTTP method.
	 * @param path - The path with its query.
	 * @param options - The body, the idempotency key and the limit.
	 * @returns The answer.
	 * @throws The error of the connection, or a timeout.
	 */
	async callAt(address: string, method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string, options: CallOptions = {}): Promise<ApiReply> {
		const {body, key, timeoutMs = ANSWER_TIMEOUT_MS} = options;
		return new ApiClient(address, this.#token).call(method, path, {body, key, timeoutMs});
	}
}

/** Tells whether a connection was refused, which proves that the request was not sent. */
function isRefused(error: unknown): boolean {
	return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}

function describe(error: unknown): string {
	return error instanceof Error ? `${'code' in error ? String(error.code) : error.name}: ${error.message}` : String(error);
}
