import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Follows the requests on the connections of a server, so that the server stops without losing one that it has read. */
export class GracefulServer {
	readonly #server: Server;
	readonly #openResponses = new Map<Socket, Set<ServerResponse>>();
	#isDraining = false;

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
	 * Closes the server and its idle connections.
	 *
	 * @returns Once all connections have ended.
	 */
	async close(): Promise<void> {
		this.drain();
		await new Promise(resolve => {
			this.#server.close(resolve);
			this.#server.closeIdleConnections();
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
			this.#onUpdate(responses);
		});
		this.#onUpdate(responses);
	}

	#onUpdate(responses: ReadonlySet<ServerResponse>): void {
		if (this.#isDraining) {
			announceClose(responses);
		}
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
