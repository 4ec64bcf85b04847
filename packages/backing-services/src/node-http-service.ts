import {Buffer} from 'node:buffer';
import {Agent, request as sendRequest, type IncomingMessage} from 'node:http';
import {describeError, isConnectError} from './connection-error.js';
import {
	DEFAULT_CALL_TIMEOUT_MS, type HttpServiceOptions, type ServiceAnswer, type ServiceCaller, type ServiceRequest,
} from './service-call.js';

/** Sends requests to one address with node:http only, for processes with little memory; 4 calls at once unless the settings say otherwise. */
export class NodeHttpService implements ServiceCaller {
	readonly #agent: Agent;
	readonly #options: HttpServiceOptions;
	readonly #timeoutMs: number;
	#waitingCalls = 0;

	/**
	 * @param options - Address and bounds.
	 */
	constructor(options: HttpServiceOptions) {
		this.#options = options;
		this.#timeoutMs = options.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
		this.#agent = new Agent({keepAlive: true, maxSockets: options.maxParallelCalls ?? 4});
	}

	/**
	 * Sends a request at most once.
	 *
	 * @param request - The request.
	 * @returns The whole answer, or how far the request got.
	 */
	async call(request: ServiceRequest): Promise<ServiceAnswer> {
		const maxWaitingCalls = this.#options.maxWaitingCalls ?? 1000;
		if (this.#waitingCalls >= maxWaitingCalls) {
			return {kind: 'not_sent', message: `${maxWaitingCalls} calls are waiting`};
		}

		this.#waitingCalls += 1;
		try {
			return await this.#send(request);
		} finally {
			this.#waitingCalls -= 1;
		}
	}

	/** Closes all connections; calls under way end without an answer. */
	async close(): Promise<void> {
		this.#agent.destroy();
	}

	async #send(request: ServiceRequest): Promise<ServiceAnswer> {
		const signal = AbortSignal.timeout(this.#timeoutMs);
		const body = request.body === undefined ? undefined : Buffer.from(request.body);
		let isConnected = false;
		try {
			const response = await new Promise<IncomingMessage>((resolve, reject) => {
				const outgoing = sendRequest({
					...this.#options.address,
					agent: this.#agent,
					method: request.method,
					path: request.path,
					headers: {
						...(body && {'content-length': body.length}),
						...(request.contentType !== undefined && {'content-type': request.contentType}),
					},
					signal,
				}, resolve);
				outgoing.once('socket', socket => {
					isConnected = !socket.connecting;
					if (socket.connecting) {
						// Bytes of the request leave only after this event.
						socket.once('connect', () => {
							isConnected = true;
						});
					}
				});
				outgoing.once('error', reject);
				outgoing.end(body);
			});
			const chunks: Uint8Array[] = [];
			for await (const chunk of response) {
				chunks.push(chunk as Uint8Array);
			}

			return {kind: 'answer', status: response.statusCode ?? 0, body: Buffer.concat(chunks)};
		} catch (error) {
			return {kind: isConnected && !isConnectError(error) ? 'no_answer' : 'not_sent', message: describeError(error)};
		}
	}
}
