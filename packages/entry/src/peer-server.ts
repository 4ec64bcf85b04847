import type {Server} from 'node:http';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import {WebSocketServer} from 'ws';
import {createPeerRouter, secretsMatch, type PeerContext, type PeerService} from './peer-router.js';

/** Path of the WebSocket for calls between entries. */
export const PEER_PATH = '/v1/peer';

/** Largest message between entries. */
const MAX_PEER_MESSAGE_BYTES = 1_048_576;

/**
 * Serves the calls between entries by tRPC over a WebSocket of the HTTP server.
 *
 * @param server - The server to attach to.
 * @param service - What this entry offers.
 * @param sharedSecret - The secret that the other side has to know.
 * @returns A function that closes all connections.
 */
export function servePeers(server: Server, service: PeerService, sharedSecret: string): () => void {
	const sockets = new WebSocketServer({server, path: PEER_PATH, maxPayload: MAX_PEER_MESSAGE_BYTES});
	// Errors of the HTTP server are reported where it listens.
	sockets.on('error', () => undefined);
	const handler = applyWSSHandler({
		wss: sockets,
		router: createPeerRouter(service),
		createContext({info}): PeerContext {
			return {authorized: secretsMatch(info.connectionParams?.secret ?? '', sharedSecret)};
		},
	});
	return () => {
		handler.broadcastReconnectNotification();
		for (const socket of sockets.clients) {
			socket.terminate();
		}

		sockets.close();
	};
}
