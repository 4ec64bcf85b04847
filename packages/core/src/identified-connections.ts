import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {
	JsonClient, type JsonRequest, type JsonResponse, type RequestError,
} from './json-http.js';
import {err, ok, type Result} from './result.js';

/** The process that a call is meant for, and how a process is asked which one it is. */
export type Binding<Identity> = {
	readonly expected: Identity;
	/** Request that any process may receive; its answer identifies the process. Its timeout bounds the identification. */
	readonly identification: JsonRequest;
	/** Longest wait for the identification; one that takes longer still makes its connection available to later calls. */
	readonly identifyWithinMs: number;
};

/** What became of a call that is bound to a process. */
export type BoundOutcome
	/** The call was sent to the expected process. */
	= | {readonly kind: 'sent'; readonly answer: Result<JsonResponse, RequestError>}
		/** The call was not sent: the identification was answered by another process, or without an identity. */
		| {readonly kind: 'otherAnswered'; readonly response: JsonResponse}
		/** The call was not sent: the identification got no answer in time. */
		| {readonly kind: 'unidentified'; readonly error: RequestError};

/** A connection that carries one call at a time. */
type Connection<Identity> = {
	readonly client: JsonClient;
	socket: Socket | undefined;
	identity: Identity | undefined;
};

type Identified<Identity> = {readonly connection: Connection<Identity>; readonly response: JsonResponse} | {readonly error: RequestError};

/** Number of unused connections that are kept open. */
const MAX_IDLE_CONNECTIONS = 16;

/**
 * Connections that are identified at once while answers get lost. An identification and the call after it would
 * otherwise both have to be answered, and a call without an answer ends its connection.
 */
const PARALLEL_IDENTIFICATIONS = 3;

/** Time after a lost answer for which further ones are expected. */
const LOST_ANSWER_MEMORY_MS = 5000;

/**
 * Connections to one address, each of which knows which process has accepted it.
 *
 * A connection ends with the process that accepted it. So a call that is written only to a connection on which the
 * expected process has identified itself cannot reach a later process at the same address. The exception is a process
 * that announces the end of each connection with its answer.
 */
export class IdentifiedConnections<Identity> {
	readonly #address: string;
	readonly #identityIn: (response: JsonResponse, expected?: Identity) => Identity | undefined;
	#idle: Array<Connection<Identity>> = [];
	#lostAnswerAtMs = Number.NEGATIVE_INFINITY;

	/**
	 * @param address - `host:port`.
	 * @param identityIn - Reads from a response which process has sent it; undefined if the response does not say. The
	 * second argument is the expected process when the response answers an identification.
	 */
	constructor(address: string, identityIn: (response: JsonResponse, expected?: Identity) => Identity | undefined) {
		this.#address = address;
		this.#identityIn = identityIn;
	}

	/**
	 * Sends a request that any process at the address may receive.
	 *
	 * @param request - The request.
	 * @returns The response, whatever its status, or the reason why there is none.
	 */
	async call(request: JsonRequest): Promise<Result<JsonResponse, RequestError>> {
		const connection = this.#takeIdle(() => true) ?? this.#open();
		return this.#send(connection, request);
	}

	/**
	 * Sends a request to one process if an unused connection is known to be its own.
	 *
	 * @param request - The request.
	 * @param expected - The process.
	 * @returns The answer, or undefined if there is no such connection and nothing was sent.
	 */
	async callIdentified(request: JsonRequest, expected: Identity): Promise<Result<JsonResponse, RequestError> | undefined> {
		const idle = this.#takeIdle(connection => connection.identity === expected);
		return idle && this.#sendBound(idle, request);
	}

	/**
	 * Identifies a new connection for later calls.
	 *
	 * @param binding - The process that is expected; another one may answer.
	 * @param request - Sent directly afterwards if the expected process keeps no connections for later calls.
	 * @returns The answer to the identification, or to the request if it was sent.
	 */
	async identify(binding: Binding<Identity>, request: JsonRequest): Promise<Result<JsonResponse, RequestError>> {
		const identified = await this.#identifyWithin(binding);
		if ('error' in identified) {
			return err(identified.error);
		}

		const {connection, response} = identified;
		if (connection.identity === binding.expected && !keepsConnection(response)) {
			return this.call(request);
		}

		this.#release(connection);
		return ok(response);
	}

	/**
	 * Sends a request to one process only, on a new connection if necessary.
	 *
	 * @param request - The request.
	 * @param binding - The process.
	 * @returns The answer, or why the request was not sent.
	 */
	async callBound(request: JsonRequest, binding: Binding<Identity>): Promise<BoundOutcome> {
		const sent = await this.callIdentified(request, binding.expected);
		if (sent) {
			return {kind: 'sent', answer: sent};
		}

		const identified = await this.#identifyWithin(binding);
		if ('error' in identified) {
			return {kind: 'unidentified', error: identified.error};
		}

		const {connection, response} = identified;
		if (connection.identity !== binding.expected) {
			this.#release(connection);
			return {kind: 'otherAnswered', response};
		}

		// A process that keeps no connection can be reached only on another one; the check was answered just before.
		const answer = keepsConnection(response) ? await this.#sendBound(connection, request) : await this.call(request);
		return answer
			? {kind: 'sent', answer}
			: {kind: 'unidentified', error: {kind: 'not_sent', message: 'the connection was closed after the identification', isRefused: false}};
	}

	/** Closes all unused connections. */
	close(): void {
		for (const {client} of this.#idle) {
			client.close();
		}

		this.#idle = [];
	}

	#open(): Connection<Identity> {
		return {client: new JsonClient(this.#address, 1), socket: undefined, identity: undefined};
	}

	/** Takes the connection that was used last among those that match. */
	#takeIdle(matches: (connection: Connection<Identity>) => boolean): Connection<Identity> | undefined {
		this.#idle = this.#idle.filter(({client, socket}) => {
			const isOpen = socket?.destroyed === false;
			if (!isOpen) {
				client.close();
			}

			return isOpen;
		});
		const index = this.#idle.findLastIndex(connection => matches(connection));
		return index === -1 ? undefined : this.#idle.splice(index, 1)[0];
	}

	#release(connection: Connection<Identity>): void {
		this.#idle.push(connection);
		if (this.#idle.length > MAX_IDLE_CONNECTIONS) {
			this.#idle.shift()!.client.close();
		}
	}

	/** Identifies new connections and returns the first one; the others, and those that take too long, become idle later. */
	async #identifyWithin({expected, identification, identifyWithinMs}: Binding<Identity>): Promise<Identified<Identity>> {
		const hasLostAnswers = performance.now() - this.#lostAnswerAtMs < LOST_ANSWER_MEMORY_MS;
		let pendingCount = hasLostAnswers ? PARALLEL_IDENTIFICATIONS : 1;
		return new Promise((resolve, reject) => {
			let isSettled = false;
			const settle = (outcome: Identified<Identity>): void => {
				clearTimeout(timer);
				isSettled = true;
				resolve(outcome);
			};

			const timer = setTimeout(settle, identifyWithinMs, {error: {kind: 'no_answer', message: `not identified within ${identifyWithinMs} ms`}});
			const onAnswer = (connection: Connection<Identity>, answer: Result<JsonResponse, RequestError>): void => {
				pendingCount--;
				if (!answer.ok) {
					if (pendingCount === 0) {
						settle({error: answer.error});
					}
				} else if (isSettled) {
					this.#release(connection);
				} else {
					settle({connection, response: answer.value});
				}
			};

			for (let count = pendingCount; count > 0; count--) {
				const connection = this.#open();
				this.#exchange(connection, identification, expected).then(answer => {
					onAnswer(connection, answer);
				}, reject);
			}
		});
	}

	/** @returns The answer, or undefined if the identified connection has ended, so that nothing was sent. */
	async #sendBound(connection: Connection<Identity>, request: JsonRequest): Promise<Result<JsonResponse, RequestError> | undefined> {
		const {socket} = connection;
		const answer = await this.#send(connection, {...request, acceptsConnection: candidate => candidate === socket && !candidate.destroyed});
		return answer.ok || answer.error.kind === 'no_answer' ? answer : undefined;
	}

	async #send(connection: Connection<Identity>, request: JsonRequest): Promise<Result<JsonResponse, RequestError>> {
		const answer = await this.#exchange(connection, request);
		if (answer.ok) {
			this.#release(connection);
		}

		return answer;
	}

	/** Sends a request on a connection and notes which process has answered; a connection without an answer is closed. */
	async #exchange(connection: Connection<Identity>, request: JsonRequest, expected?: Identity): Promise<Result<JsonResponse, RequestError>> {
		const answer = await connection.client.call({
			...request,
			acceptsConnection(socket) {
				if (request.acceptsConnection?.(socket) === false) {
					return false;
				}

				if (connection.socket !== socket) {
					connection.socket = socket;
					connection.identity = undefined;
				}

				return true;
			},
		});
		if (answer.ok) {
			connection.identity = this.#identityIn(answer.value, expected) ?? connection.identity;
		} else {
			connection.client.close();
			if (answer.error.kind === 'no_answer') {
				this.#lostAnswerAtMs = performance.now();
			}
		}

		return answer;
	}
}

function keepsConnection({headers}: JsonResponse): boolean {
	return headers.connection?.toLowerCase() !== 'close';
}
