import type {Server} from 'node:http';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import {WebSocketServer} from 'ws';
import {createPeerRouter, secretsMatch, type PeerContext, type PeerService} from './peer-router.js';

/** Path of the WebSocket for calls between entries. */
export const PEER_PATH = '/v1/peer';

/** Maximum size of a message between entries. */
const MAX_PEER_MESSAGE_BYTES = 1_048_576;

/**
 * Serves the calls between entries with tRPC over WebSockets of the HTTP server.
 *
 * @param server - The HTTP server to attach to.
 * @param service - Executes the calls.
 * @param sharedSecret - The secret that a client must present.
 * @returns A function that closes all connections.
 */
export function servePeers(server: Server, service: PeerService, sharedSecret: string): () => void {
	const webSocketServer = new WebSocketServer({server, path: PEER_PATH, maxPayload: MAX_PEER_MESSAGE_BYTES});
	// Errors of the HTTP server are reported by `HttpServer.listen`.
	webSocketServer.on('error', () => undefined);
	const handler = applyWSSHandler({
		wss: webSocketServer,
		router: createPeerRouter(service),
		createContext({info}): PeerContext {
			return {authorized: secretsMatch(info.connectionParams?.secret ?? '', sharedSecret)};
		},
	});
	return () => {
		handler.broadcastReconnectNotification();
		for (const socket of webSocketServer.clients) {
			socket.terminate();
		}

		webSocketServer.close();
	};
}
