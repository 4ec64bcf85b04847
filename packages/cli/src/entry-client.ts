import type {Address} from '@amaranthsail/core';
import {Agent, request, type Dispatcher} from 'undici';

/** Codes of errors that occur only before a request is sent. */
const NOT_SENT_ERROR_CODES: ReadonlySet<string> = new Set([
	'ECONNREFUSED', 'ENOTFOUND', 'EAI_AGAIN', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT',
]);

/** Status of an entry that cannot serve requests at the moment; another one may. */
const UNAVAILABLE_STATUS = 503;

/** Entries, token and timeout of a client. */
export type EntryClientOptions = {
	readonly addresses: readonly Address[];
	readonly token?: string;
	/** Longest wait for each entry, in addition to the `waitMs` of a request. */
	readonly timeoutMs: number;
};

/** A request to the API. */
export type ApiRequest = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly path: string;
	readonly body?: unknown;
	readonly headers?: Readonly<Record<string, string>>;
	/** Time for which the request lets the entry wait before it responds. */
	readonly waitMs?: number;
	/** Whether the request only reads, so that it has no effect even if its response is lost. */
	readonly readOnly: boolean;
};

/** A request to one entry that got no response. */
export type FailedRequest = {readonly address: string; readonly message: string};

/** Response of an entry, or the failures if none responded. */
export type ApiResponse
	= | {
		readonly kind: 'answered';
		readonly status: number;
		/** The decoded body; undefined if it is not JSON. */
		readonly body: unknown;
		readonly bytes: Uint8Array;
		/** Whether a request to another entry may have taken effect, so that a refusal in this response does not determine the outcome. */
		readonly mayHaveRun: boolean;
		readonly readOnly: boolean;
	}
	/** No entry received the request. */
	| {readonly kind: 'no_entry'; readonly tries: readonly FailedRequest[]}
	/** An entry may have received the request, but none responded. */
	| {readonly kind: 'unknown'; readonly tries: readonly FailedRequest[]};

type HttpResponse = {readonly status: number; readonly body: unknown; readonly bytes: Uint8Array};

/** Sends each request to one of several entries after another until one responds. */
export class EntryClient {
	readonly #options: EntryClientOptions;
	readonly #dispatcher: Dispatcher;

	/**
	 * @param options - Entries, token and timeout.
	 */
	constructor(options: EntryClientOptions) {
		this.#options = options;
		this.#dispatcher = new Agent({connect: {timeout: options.timeoutMs}});
	}

	/**
	 * Sends a request to one entry after another until one responds. Every request of the API may be repeated:
	 * job submissions carry an idempotency key, and record changes are compared with the stored records.
	 *
	 * @param apiRequest - The request.
	 * @returns The response, or the failures. An entry that cannot serve at the moment counts only if no other responds.
	 */
	async send(apiRequest: ApiRequest): Promise<ApiResponse> {
		const failures: FailedRequest[] = [];
		let mayHaveRun = false;
		let unavailable: ApiResponse & {kind: 'answered'} | undefined;
		for (const {host, port} of this.#options.addresses) {
			const address = `${host}:${port}`;
			try {
				const response = await this.#request(`http://${address}${apiRequest.path}`, apiRequest);
				const answered = {kind: 'answered' as const, ...response, mayHaveRun, readOnly: apiRequest.readOnly};
				if (response.status !== UNAVAILABLE_STATUS) {
					return answered;
				}

				unavailable = answered;
				mayHaveRun ||= !apiRequest.readOnly && !reportsNotRun(response.body);
			} catch (error) {
				mayHaveRun ||= !apiRequest.readOnly && !NOT_SENT_ERROR_CODES.has(errorCodeOf(error));
				failures.push({address, message: error instanceof Error ? `${errorCodeOf(error)} ${error.message}`.trim() : String(error)});
			}
		}

		if (unavailable) {
			return {...unavailable, mayHaveRun};
		}

		return {kind: mayHaveRun ? 'unknown' : 'no_entry', tries: failures};
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await this.#dispatcher.destroy();
	}

	async #request(url: string, apiRequest: ApiRequest): Promise<HttpResponse> {
		const {token, timeoutMs} = this.#options;
		const headersTimeoutMs = timeoutMs + (apiRequest.waitMs ?? 0);
		const hasBody = apiRequest.body !== undefined;
		const response = await request(url, {
			method: apiRequest.method,
			dispatcher: this.#dispatcher,
			headers: {
				accept: 'application/json',
				...(token === undefined ? {} : {authorization: `Bearer ${token}`}),
				...(hasBody ? {'content-type': 'application/json'} : {}),
				...apiRequest.headers,
			},
			body: hasBody ? JSON.stringify(apiRequest.body) : undefined,
			headersTimeout: headersTimeoutMs,
			bodyTimeout: timeoutMs,
		});
		const bytes = new Uint8Array(await response.body.arrayBuffer());
		return {status: response.statusCode, body: parseJson(bytes), bytes};
	}
}

function errorCodeOf(error: unknown): string {
	return typeof error === 'object' && error !== null && 'code' in error ? String(error.code) : '';
}

function reportsNotRun(body: unknown): boolean {
	return typeof body === 'object' && body !== null && 'outcome' in body && body.outcome === 'not_run';
}

function parseJson(bytes: Uint8Array): unknown {
	try {
		return JSON.parse(new TextDecoder().decode(bytes));
	} catch {
		return undefined;
	}
}
