import {Buffer} from 'node:buffer';
import {formatAddress} from '@amaranthsail/core/settings.js';
import PQueue from 'p-queue';
import {Pool} from 'undici';
import {describeError, isConnectError} from './connection-error.js';
import {
	DEFAULT_CALL_TIMEOUT_MS, type HttpServiceOptions, type ServiceResponse, type ServiceClient, type ServiceRequest,
} from './service-call.js';

/** A call with less than this share of its timeout left is not sent: a response in time is unlikely, and an unsent request has a known outcome. */
const MIN_REMAINING_TIME_SHARE = 0.1;

/** Sends requests to one address over a pool of connections; 32 parallel calls by default. */
export class HttpService implements ServiceClient {
	readonly #pool: Pool;
	readonly #queue: PQueue;
	readonly #timeoutMs: number;
	readonly #maxWaitingCalls: number;

	/**
	 * @param options - Address and limits.
	 */
	constructor(options: HttpServiceOptions) {
		const connections = options.maxParallelCalls ?? 32;
		this.#timeoutMs = options.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
		this.#maxWaitingCalls = options.maxWaitingCalls ?? 1000;
		this.#queue = new PQueue({concurrency: connections});
		this.#pool = new Pool(`http://${formatAddress(options.address)}`, {
			connections,
			pipelining: 1,
			// Half of the call's timeout, so that an address that does not respond counts as not reached before the call itself times out.
			connect: {timeout: this.#timeoutMs / 2},
			headersTimeout: 0,
			bodyTimeout: 0,
		});
	}

	/**
	 * Sends a request at most once.
	 *
	 * @param request - The request.
	 * @returns The complete response, or whether the request was sent.
	 */
	async call(request: ServiceRequest): Promise<ServiceResponse> {
		if (this.#queue.size >= this.#maxWaitingCalls) {
			return {kind: 'not_sent', message: `${this.#maxWaitingCalls} calls are waiting`};
		}

		const queueTimeoutMessage = `no free connection within ${this.#timeoutMs} ms`;
		const signal = AbortSignal.timeout(this.#timeoutMs);
		const latestStartMs = performance.now() + (this.#timeoutMs * (1 - MIN_REMAINING_TIME_SHARE));
		let hasStarted = false;
		try {
			return await this.#queue.add(async () => {
				if (performance.now() > latestStartMs) {
					return {kind: 'not_sent', message: queueTimeoutMessage};
				}

				hasStarted = true;
				return this.#send(request, signal);
			}, {signal});
		} catch {
			return hasStarted
				? {kind: 'no_response', message: `no answer within ${this.#timeoutMs} ms`}
				: {kind: 'not_sent', message: queueTimeoutMessage};
		}
	}

	/** Closes all connections; calls in flight end without a response. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}

	async #send(request: ServiceRequest, signal: AbortSignal): Promise<ServiceResponse> {
		try {
			const response = await this.#pool.request({
				method: request.method,
				path: request.path,
				body: request.body,
				headers: request.contentType === undefined ? {} : {'content-type': request.contentType},
				signal,
			});
			return {kind: 'response', status: response.statusCode, body: Buffer.from(await response.body.arrayBuffer())};
		} catch (error) {
			return {kind: isConnectError(error) ? 'not_sent' : 'no_response', message: describeError(error)};
		}
	}
}
