import {Buffer} from 'node:buffer';
import {Agent, type IncomingHttpHeaders, request} from 'node:http';
import type {Socket} from 'node:net';
import {isAddress} from './fields.js';
import {err, ok, type Result} from './result.js';

/** An HTTP response with its decoded body. */
export type JsonResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	/** Decoded JSON; undefined when the body is empty or not JSON. */
	readonly body: unknown;
};

/** Why a request has no response. */
export type RequestError
	/** No connection was established, so nothing was sent. */
	= | {readonly kind: 'not_sent'; readonly message: string; readonly isRefused: boolean}
		/** The request may have been received. */
		| {readonly kind: 'no_answer'; readonly message: string};

/** An HTTP request with an optional JSON body. */
export type JsonRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: unknown;
	/** Longest wait for the answer; with `transferTimeoutMs`, for its first bytes and between two parts of it. */
	readonly timeoutMs: number;
	/** Longest time for the whole answer. A large one takes seconds on a slow link, on which a silent connection has to be noticed earlier. */
	readonly transferTimeoutMs?: number;
	/** Called with the status and the bytes of the body that have arrived, whenever there are more of them. If it returns false, the answer is not needed any more, and the request fails. */
	readonly onProgress?: (status: number, receivedBytes: number) => boolean;
	/** Decides, before anything is written, whether the request may use a connection; if not, it fails as not sent. */
	readonly acceptsConnection?: (socket: Socket) => boolean;
};

/** Longest wait for a connection within a region. A host that is down does not refuse connections, so only this limit detects it. */
const CONNECT_TIMEOUT_MS = 700;

/** Idle time after which a kept connection is closed. */
const IDLE_CONNECTION_TIMEOUT_MS = 20_000;

/** Timers with a longer delay fire at once. */
const MAX_TIMER_MS = 2_147_483_647;

/** HTTP client for one address with keep-alive connections. Every request has its own timeout, which detects a connection that has stopped answering. */
export class JsonClient {
	readonly #host: string;
	readonly #port: number;
	readonly #agent: Agent;

	/**
	 * @param address - `host:port`.
	 * @param maxConnections - Maximum number of concurrent connections; further requests wait.
	 */
	constructor(readonly address: string, maxConnections = 16) {
		const colon = address.lastIndexOf(':');
		this.#host = address.slice(0, colon);
		this.#port = Number(address.slice(colon + 1));
		this.#agent = new Agent({keepAlive: true, maxSockets: maxConnections, timeout: IDLE_CONNECTION_TIMEOUT_MS, scheduling: 'lifo'});
	}

	/**
	 * Sends a request and waits for the response.
	 *
	 * @param jsonRequest - The request.
	 * @returns The response, whatever its status, or the reason why there is none. Never rejects: a request that cannot be
	 * sent, because its path, a header or its body is invalid, is an error too.
	 */
	async call(jsonRequest: JsonRequest): Promise<Result<JsonResponse, RequestError>> {
		if (!isAddress(this.address)) {
			return err({kind: 'not_sent', message: 'invalid address', isRefused: false});
		}

		try {
			return await this.#send(jsonRequest, jsonRequest.body === undefined ? undefined : JSON.stringify(jsonRequest.body));
		} catch (error) {
			// Values from other programs reach the headers, the path and the body.
			return err({kind: 'not_sent', message: `invalid request: ${error instanceof Error ? error.message : String(error)}`, isRefused: false});
		}
	}

	/** Closes all connections. */
	close(): void {
		this.#agent.destroy();
	}

	/**
	 * Connections to one address go silent together, for example when a firewall forgets them. So after one has not answered,
	 * the next request uses a new connection instead of waiting for each idle one in turn.
	 */
	#closeIdleConnections(): void {
		for (const sockets of Object.values(this.#agent.freeSockets)) {
			for (const socket of sockets ?? []) {
				socket.destroy();
			}
		}
	}

	/** @throws When the request is invalid; then nothing has been sent. */
	async #send(jsonRequest: JsonRequest, bodyText: string | undefined): Promise<Result<JsonResponse, RequestError>> {
		return new Promise(resolve => {
			let isConnected = false;
			let timeoutMessage = '';
			const outgoing = request({
				host: this.#host,
				port: this.#port,
				agent: this.#agent,
				method: jsonRequest.method,
				path: jsonRequest.path,
				headers: {
					...jsonRequest.headers,
					...(bodyText !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(bodyText)}),
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

			const onTimeout = (): void => {
				if (isConnected) {
					this.#closeIdleConnections();
				}

				abort(`no answer within ${jsonRequest.timeoutMs} ms`);
			};

			const endMs = performance.now() + (jsonRequest.transferTimeoutMs ?? 0);
			let timer = setTimeout(onTimeout, Math.min(jsonRequest.timeoutMs, MAX_TIMER_MS));
			const connectTimer = setTimeout(() => {
				if (!isConnected) {
					abort(`no connection within ${CONNECT_TIMEOUT_MS} ms`);
				}
			}, Math.min(CONNECT_TIMEOUT_MS, jsonRequest.timeoutMs));
			outgoing.on('socket', socket => {
				if (jsonRequest.acceptsConnection?.(socket) === false) {
					abort('another connection than the accepted one');
					return;
				}

				if (socket.connecting) {
					socket.setNoDelay(true);
					socket.once('connect', () => {
						isConnected = true;
					});
				} else {
					isConnected = true;
				}

				if (jsonRequest.acceptsConnection) {
					outgoing.end(bodyText);
				}
			});
			outgoing.on('error', (error: NodeJS.ErrnoException) => {
				fail(timeoutMessage === '' ? error.message : timeoutMessage, error.code);
			});
			outgoing.on('response', response => {
				const chunks: Uint8Array[] = [];
				let receivedBytes = 0;
				response.on('data', (chunk: Uint8Array) => {
					chunks.push(chunk);
					receivedBytes += chunk.length;
					if (jsonRequest.onProgress?.(response.statusCode ?? 0, receivedBytes) === false) {
						abort('the answer is not needed any more');
						return;
					}

					if (jsonRequest.transferTimeoutMs !== undefined) {
						clearTimeout(timer);
						timer = setTimeout(onTimeout, Math.max(0, Math.min(jsonRequest.timeoutMs, endMs - performance.now())));
					}
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
			if (!jsonRequest.acceptsConnection) {
				outgoing.end(bodyText);
			}
		});
	}
}

/**
 * Parses JSON from an untrusted source.
 *
 * @param text - The text.
 * @returns The value, or undefined when the text is not JSON.
 */
export function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		// Callers treat a body that is not JSON as one without any of the expected fields.
		return undefined;
	}
}
