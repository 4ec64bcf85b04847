import {Buffer} from 'node:buffer';
import {formatAddress} from '@amaranthsail/core/settings.js';
import PQueue from 'p-queue';
import {Pool} from 'undici';
import {describeError, isConnectError} from './connection-error.js';
import {
	DEFAULT_CALL_TIMEOUT_MS, type HttpServiceOptions, type ServiceAnswer, type ServiceCaller, type ServiceRequest,
} from './service-call.js';

/** A call with less than this share of its time left is not sent: an answer in time is unlikely, and an unsent request has a certain outcome. */
const MIN_SHARE_LEFT = 0.1;

/** Sends requests to one address over a pool of connections; 32 calls at once unless the settings say otherwise. */
export class HttpService implements ServiceCaller {
	readonly #pool: Pool;
	readonly #queue: PQueue;
	readonly #timeoutMs: number;
	readonly #maxWaitingCalls: number;

	/**
	 * @param options - Address and bounds.
	 */
	constructor(options: HttpServiceOptions) {
		const connections = options.maxParallelCalls ?? 32;
		this.#timeoutMs = options.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
		this.#maxWaitingCalls = options.maxWaitingCalls ?? 1000;
		this.#queue = new PQueue({concurrency: connections});
		this.#pool = new Pool(`http://${formatAddress(options.address)}`, {
			connections,
			pipelining: 1,
			// Half of the call's time, so that a silent address is known as not reached before the call itself times out.
			connect: {timeout: this.#timeoutMs / 2},
			headersTimeout: 0,
			bodyTimeout: 0,
		});
	}

	/**
	 * Sends a request at most once.
	 *
	 * @param request - The request.
	 * @returns The whole answer, or how far the request got.
	 */
	async call(request: ServiceRequest): Promise<ServiceAnswer> {
		if (this.#queue.size >= this.#maxWaitingCalls) {
			return {kind: 'not_sent', message: `${this.#maxWaitingCalls} calls are waiting`};
		}

		const waitMessage = `no free connection within ${this.#timeoutMs} ms`;
		const signal = AbortSignal.timeout(this.#timeoutMs);
		const latestStartMs = performance.now() + (this.#timeoutMs * (1 - MIN_SHARE_LEFT));
		let started = false;
		try {
			return await this.#queue.add(async () => {
				if (performance.now() > latestStartMs) {
					return {kind: 'not_sent', message: waitMessage};
				}

				started = true;
				return this.#send(request, signal);
			}, {signal});
		} catch {
			return started
				? {kind: 'no_answer', message: `no answer within ${this.#timeoutMs} ms`}
				: {kind: 'not_sent', message: waitMessage};
		}
	}

	/** Closes all connections; calls under way end without an answer. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}

	async #send(request: ServiceRequest, signal: AbortSignal): Promise<ServiceAnswer> {
		try {
			const response = await this.#pool.request({
				method: request.method,
				path: request.path,
				body: request.body,
				headers: request.contentType === undefined ? {} : {'content-type': request.contentType},
				signal,
			});
			return {kind: 'answer', status: response.statusCode, body: Buffer.from(await response.body.arrayBuffer())};
		} catch (error) {
			return {kind: isConnectError(error) ? 'not_sent' : 'no_answer', message: describeError(error)};
		}
	}
}
