import type {Address} from '@amaranthsail/core';
import {Agent, request, type Dispatcher} from 'undici';

/** Errors that occur only before a request is sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
	'ECONNREFUSED', 'ENOTFOUND', 'EAI_AGAIN', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT',
]);

/** Status of an entry that cannot serve now; another one may. */
const UNAVAILABLE_STATUS = 503;

/** How to reach the entries. */
export type EntryClientOptions = {
	readonly addresses: readonly Address[];
	readonly token?: string;
	/** Longest wait for each entry, in addition to the wait that a request asks for. */
	readonly timeoutMs: number;
};

/** A request to the API. */
export type ApiRequest = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly path: string;
	readonly body?: unknown;
	readonly headers?: Readonly<Record<string, string>>;
	/** Time that the entry may take on purpose. */
	readonly waitMs?: number;
	/** Whether the request only reads; then a lost answer leaves no doubt about its effect. */
	readonly readOnly: boolean;
};

/** A try that led to no answer. */
export type FailedTry = {readonly address: string; readonly message: string};

/** What a request led to. */
export type ApiAnswer
	= | {
		readonly kind: 'answered';
		readonly status: number;
		/** The decoded body; undefined when it is not JSON. */
		readonly body: unknown;
		readonly bytes: Uint8Array;
		/** Whether another try may have taken effect, so that a refusal does not settle the outcome. */
		readonly isRepeat: boolean;
		readonly readOnly: boolean;
	}
	/** No entry got the request. */
	| {readonly kind: 'no_entry'; readonly tries: readonly FailedTry[]}
	/** An entry may have got the request, and no answer came. */
	| {readonly kind: 'unknown'; readonly tries: readonly FailedTry[]};

type Response = {readonly status: number; readonly body: unknown; readonly bytes: Uint8Array};

/** Sends requests to any of several entries. */
export class EntryClient {
	readonly #options: EntryClientOptions;
	readonly #dispatcher: Dispatcher;

	/**
	 * @param options - Entries, token and time limit.
	 */
	constructor(options: EntryClientOptions) {
		this.#options = options;
		this.#dispatcher = new Agent({connect: {timeout: options.timeoutMs}});
	}

	/**
	 * Sends a request to one entry after another until one answers. Every request of the API may be repeated:
	 * submits carry an idempotency key and record changes are compared with what is stored.
	 *
	 * @param apiRequest - The request.
	 * @returns The answer, or what is known without one. An entry that cannot serve now counts only when no other answers.
	 */
	async send(apiRequest: ApiRequest): Promise<ApiAnswer> {
		const tries: FailedTry[] = [];
		let mayHaveRun = false;
		let unavailable: ApiAnswer & {kind: 'answered'} | undefined;
		for (const {host, port} of this.#options.addresses) {
			const address = `${host}:${port}`;
			try {
				const response = await this.#request(`http://${address}${apiRequest.path}`, apiRequest);
				const answer = {kind: 'answered' as const, ...response, isRepeat: mayHaveRun, readOnly: apiRequest.readOnly};
				if (response.status !== UNAVAILABLE_STATUS) {
					return answer;
				}

				unavailable = answer;
				mayHaveRun ||= !apiRequest.readOnly && !saysNotRun(response.body);
			} catch (error) {
				mayHaveRun ||= !apiRequest.readOnly && !NOT_SENT_CODES.has(codeOf(error));
				tries.push({address, message: error instanceof Error ? `${codeOf(error)} ${error.message}`.trim() : String(error)});
			}
		}

		if (unavailable) {
			return {...unavailable, isRepeat: mayHaveRun};
		}

		return {kind: mayHaveRun ? 'unknown' : 'no_entry', tries};
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await this.#dispatcher.destroy();
	}

	async #request(url: string, apiRequest: ApiRequest): Promise<Response> {
		const {token, timeoutMs} = this.#options;
		const limitMs = timeoutMs + (apiRequest.waitMs ?? 0);
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
			headersTimeout: limitMs,
			bodyTimeout: timeoutMs,
		});
		const bytes = new Uint8Array(await response.body.arrayBuffer());
		return {status: response.statusCode, body: decode(bytes), bytes};
	}
}

function codeOf(error: unknown): string {
	return typeof error === 'object' && error !== null && 'code' in error ? String(error.code) : '';
}

function saysNotRun(body: unknown): boolean {
	return typeof body === 'object' && body !== null && 'outcome' in body && body.outcome === 'not_run';
}

function decode(bytes: Uint8Array): unknown {
	try {
		return JSON.parse(new TextDecoder().decode(bytes));
	} catch {
		return undefined;
	}
}
