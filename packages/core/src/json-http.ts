import {Buffer} from 'node:buffer';
import {Agent, type IncomingHttpHeaders, request} from 'node:http';
import {err, ok, type Result} from './result.js';

/** An answer with its decoded body. */
export type JsonAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	/** Decoded JSON; undefined for an empty body or one that cannot be read. */
	readonly body: unknown;
};

/** Why a call has no answer. */
export type CallError
	/** No connection could be made: nothing was sent. */
	= | {readonly kind: 'not_sent'; readonly message: string; readonly isRefused: boolean}
		/** The call may have been received. */
		| {readonly kind: 'no_answer'; readonly message: string};

/** A call with a JSON body. */
export type JsonCall = {
	readonly method: string;
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: unknown;
	readonly timeoutMs: number;
};

/** Longest wait for a connection within a region; a host that is down does not answer at all. */
const CONNECT_TIMEOUT_MS = 700;

/** Connections are kept this long without a call. */
const IDLE_CONNECTION_MS = 20_000;

/** Calls one address over kept connections. Every call has its own timeout, so a silent connection shows. */
export class JsonClient {
	readonly #host: string;
	readonly #port: number;
	readonly #agent: Agent;

	/**
	 * @param address - `host:port`.
	 * @param maxConnections - Most connections at a time; further calls wait.
	 */
	constructor(readonly address: string, maxConnections = 16) {
		const colon = address.lastIndexOf(':');
		this.#host = address.slice(0, colon);
		this.#port = Number(address.slice(colon + 1));
		this.#agent = new Agent({keepAlive: true, maxSockets: maxConnections, timeout: IDLE_CONNECTION_MS, scheduling: 'lifo'});
	}

	/**
	 * Sends a call and waits for the answer.
	 *
	 * @param call - The call.
	 * @returns The answer whatever its status, or why there is none.
	 */
	async call(call: JsonCall): Promise<Result<JsonAnswer, CallError>> {
		const text = call.body === undefined ? undefined : JSON.stringify(call.body);
		return new Promise(resolve => {
			let isConnected = false;
			let timeoutMessage = '';
			const outgoing = request({
				host: this.#host,
				port: this.#port,
				agent: this.#agent,
				method: call.method,
				path: call.path,
				headers: {
					...call.headers,
					...(text !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)}),
				},
			});
			const fail = (message: string, code?: string): void => {
				clearTimeout(timer);
				clearTimeout(connectTimer);
				resolve(err(isConnected
					? {kind: 'no_answer', message}
					: {kind: 'not_sent', message, isRefused: code === 'ECONNREFUSED'}));
			};

			const abort = (message: string): void => {
				timeoutMessage = message;
				outgoing.destroy();
			};

			const timer = setTimeout(abort, call.timeoutMs, `no answer within ${call.timeoutMs} ms`);
			const connectTimer = setTimeout(() => {
				if (!isConnected) {
					abort(`no connection within ${CONNECT_TIMEOUT_MS} ms`);
				}
			}, Math.min(CONNECT_TIMEOUT_MS, call.timeoutMs));
			outgoing.on('socket', socket => {
				if (socket.connecting) {
					socket.setNoDelay(true);
					socket.once('connect', () => {
						isConnected = true;
					});
				} else {
					isConnected = true;
				}
			});
			outgoing.on('error', (error: NodeJS.ErrnoException) => {
				fail(timeoutMessage === '' ? error.message : timeoutMessage, error.code);
			});
			outgoing.on('response', response => {
				const chunks: Uint8Array[] = [];
				response.on('data', (chunk: Uint8Array) => {
					chunks.push(chunk);
				});
				response.on('error', error => {
					fail(timeoutMessage === '' ? error.message : timeoutMessage);
				});
				response.on('end', () => {
					clearTimeout(timer);
					clearTimeout(connectTimer);
					resolve(ok({status: response.statusCode ?? 0, headers: response.headers, body: parseJson(Buffer.concat(chunks).toString())}));
				});
			});
			outgoing.end(text);
		});
	}

	/** Closes the kept connections. */
	close(): void {
		this.#agent.destroy();
	}
}

/**
 * Parses JSON that may be anything.
 *
 * @param text - The text.
 * @returns The value, or undefined when the text is not JSON.
 */
export function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		// The caller treats an unreadable body as one without any of the expected fields.
		return undefined;
	}
}
