import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';

/** Turns of the event loop in which a server accepts the connections that have arrived, and reads their requests. */
const READ_TURNS = 3;

/** Follows the requests on the connections of a server, so that the server stops without losing one that it has read. */
export class GracefulServer {
	readonly #server: Server;
	readonly #openResponses = new Map<Socket, Set<ServerResponse>>();
	#isDraining = false;
	#isClosing = false;

	/** @param server - The server; it has no connections yet. */
	constructor(server: Server) {
		this.#server = server;
		server.on('connection', socket => {
			this.#openResponses.set(socket, new Set());
			socket.once('close', () => {
				this.#openResponses.delete(socket);
			});
		});
		server.prependListener('request', (message, response) => {
			this.#onRequest(message.socket, response);
		});
	}

	/** From now on answers ask the clients to close their connections; requests are served as before. */
	drain(): void {
		this.#isDraining = true;
		for (const responses of this.#openResponses.values()) {
			announceClose(responses);
		}
	}

	/**
	 * Closes the server, and each connection once all requests that have been read on it are answered.
	 *
	 * @returns Once all connections have ended.
	 */
	async close(): Promise<void> {
		this.drain();
		// A due timer runs before the requests that have arrived are read.
		await readArrived();
		this.#isClosing = true;
		await new Promise(resolve => {
			this.#server.close(resolve);
			for (const [socket, responses] of this.#openResponses) {
				if (responses.size === 0) {
					socket.destroy();
				}
			}
		});
	}

	#onRequest(socket: Socket, response: ServerResponse): void {
		const responses = this.#openResponses.get(socket);
		if (!responses) {
			return;
		}

		responses.add(response);
		response.once('close', () => {
			responses.delete(response);
			void this.#onAnswered(socket, responses);
		});
		this.#onUpdate(responses);
	}

	async #onAnswered(socket: Socket, responses: ReadonlySet<ServerResponse>): Promise<void> {
		this.#onUpdate(responses);
		if (!this.#isClosing) {
			return;
		}

		await readArrived();
		if (responses.size === 0) {
			socket.destroy();
		}
	}

	#onUpdate(responses: ReadonlySet<ServerResponse>): void {
		if (this.#isDraining) {
			announceClose(responses);
		}
	}
}

async function readArrived(): Promise<void> {
	for (let turn = 0; turn < READ_TURNS; turn++) {
		await nextTurn();
	}
}

/** Node.js ends a connection after an answer that announces it, also when it has read further requests on it. */
function announceClose(responses: ReadonlySet<ServerResponse>): void {
	for (const response of responses) {
		if (response.headersSent) {
			continue;
		}

		if (responses.size === 1) {
			response.setHeader('connection', 'close');
		} else {
			response.removeHeader('connection');
		}
	}
}
