import type {Socket} from 'node:net';
import {
	JsonClient, type JsonRequest, type JsonResponse, type RequestError,
} from './json-http.js';
import type {Result} from './result.js';

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

type IdentifiedConnection<Identity> = {readonly connection: Connection<Identity>; readonly response: JsonResponse};

/** Number of unused connections that are kept open. */
const MAX_IDLE_CONNECTIONS = 16;

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
	 * Sends a request to one process only.
	 *
	 * @param request - The request.
	 * @param binding - The process.
	 * @returns The answer, or why the request was not sent.
	 */
	async callBound(request: JsonRequest, binding: Binding<Identity>): Promise<BoundOutcome> {
		const idle = this.#takeIdle(connection => connection.identity === binding.expected);
		const sent = idle && await this.#sendBound(idle, request);
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

	/** Identifies a new connection. Without an answer in time, the caller goes on, and the connection becomes idle later. */
	async #identifyWithin({expected, identification, identifyWithinMs}: Binding<Identity>): Promise<IdentifiedConnection<Identity> | {readonly error: RequestError}> {
		let isAbandoned = false;
		const connection = this.#open();
		const identified = this.#exchange(connection, identification, expected).then(answer => {
			if (!answer.ok) {
				return {error: answer.error};
			}

			if (isAbandoned) {
				this.#release(connection);
			}

			return {connection, response: answer.value};
		});
		let timer: NodeJS.Timeout | undefined;
		const late = new Promise<{readonly error: RequestError}>(resolve => {
			timer = setTimeout(() => {
				isAbandoned = true;
				resolve({error: {kind: 'no_answer', message: `not identified within ${identifyWithinMs} ms`}});
			}, identifyWithinMs);
		});
		const outcome = await Promise.race([identified, late]);
		clearTimeout(timer);
		return outcome;
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
		}

		return answer;
	}
}

function keepsConnection({headers}: JsonResponse): boolean {
	return headers.connection?.toLowerCase() !== 'close';
}
