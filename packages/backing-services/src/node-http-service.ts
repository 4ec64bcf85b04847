import {Buffer} from 'node:buffer';
import {Agent, request as sendRequest, type IncomingMessage} from 'node:http';
import {describeError, isConnectError} from './connection-error.js';
import {
	DEFAULT_CALL_TIMEOUT_MS, type HttpServiceOptions, type ServiceResponse, type ServiceClient, type ServiceRequest,
} from './service-call.js';

/** Sends requests to one address with node:http only, for processes with little memory; 4 parallel calls by default. */
export class NodeHttpService implements ServiceClient {
	readonly #agent: Agent;
	readonly #options: HttpServiceOptions;
	readonly #timeoutMs: number;
	#pendingCalls = 0;

	/**
	 * @param options - Address and limits.
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
	 * @returns The complete response, or whether the request was sent.
	 */
	async call(request: ServiceRequest): Promise<ServiceResponse> {
		const maxWaitingCalls = this.#options.maxWaitingCalls ?? 1000;
		if (this.#pendingCalls >= maxWaitingCalls) {
			return {kind: 'not_sent', message: `${maxWaitingCalls} calls are waiting`};
		}

		this.#pendingCalls += 1;
		try {
			return await this.#send(request);
		} finally {
			this.#pendingCalls -= 1;
		}
	}

	/** Closes all connections; calls in flight end without a response. */
	async close(): Promise<void> {
		this.#agent.destroy();
	}

	async #send(request: ServiceRequest): Promise<ServiceResponse> {
		const signal = AbortSignal.timeout(this.#timeoutMs);
		const body = request.body === undefined ? undefined : Buffer.from(request.body);
		let isConnected = false;
		try {
			const response = await new Promise<IncomingMessage>((resolve, reject) => {
				const outgoingRequest = sendRequest({
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
				outgoingRequest.once('socket', socket => {
					isConnected = !socket.connecting;
					if (socket.connecting) {
						// No byte of the request is sent before this event.
						socket.once('connect', () => {
							isConnected = true;
						});
					}
				});
				outgoingRequest.once('error', reject);
				outgoingRequest.end(body);
			});
			const chunks: Uint8Array[] = [];
			for await (const chunk of response) {
				chunks.push(chunk as Uint8Array);
			}

			return {kind: 'response', status: response.statusCode ?? 0, body: Buffer.concat(chunks)};
		} catch (error) {
			return {kind: isConnected && !isConnectError(error) ? 'no_response' : 'not_sent', message: describeError(error)};
		}
	}
}
