import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Address} from '@amaranthsail/core';
import polka from 'polka';

export const MAX_BODY_BYTES = 96 * 1024 * 1024;

/** Result of a handler: a JSON or binary response, or a closed connection without a response. */
export type Reply
	= | {readonly kind: 'json'; readonly status: number; readonly body: unknown}
		| {readonly kind: 'bytes'; readonly body: Uint8Array}
		| {readonly kind: 'drop'};

/** A request, as passed to handlers. */
export type HttpRequest = {
	readonly path: string;
	readonly query: URLSearchParams;
	readonly body: Uint8Array;
};

/** Handles one request. */
export type Handler = (request: HttpRequest) => Promise<Reply> | Reply;

/** A route; the pattern may end in `*`. */
export type Route = readonly [method: 'GET' | 'PUT' | 'POST' | 'DELETE', pattern: string, handler: Handler];

/** A listening server. */
export type RunningServer = {
	readonly address: Address;
	/** Closes all connections and stops listening. */
	close(): Promise<void>;
};

/**
 * Creates a JSON reply.
 *
 * @param body - The body.
 * @param status - The HTTP status; 200 by default.
 * @returns The reply.
 */
export function jsonReply(body: unknown, status = 200): Reply {
	return {kind: 'json', status, body};
}

/**
 * Starts an HTTP server with the given routes, `/healthz` and `/readyz`.
 *
 * @param routes - The routes.
 * @param address - Listen address; with port 0 a free port is used.
 * @returns The listening server.
 * @throws Error when the address cannot be used.
 */
export async function startServer(routes: readonly Route[], address: Address): Promise<RunningServer> {
	const server = createServer();
	const app = polka({
		server,
		onNoMatch(request, response) {
			sendReply(response, jsonReply({kind: 'no_route', message: `${request.method} ${request.url}`}, 404));
		},
	});
	const health: readonly Route[] = [
		['GET', '/healthz', () => jsonReply({status: 'ok'})],
		['GET', '/readyz', () => server.listening ? jsonReply({status: 'ready'}) : jsonReply({status: 'closing'}, 503)],
	];
	for (const [method, pattern, handler] of [...health, ...routes]) {
		app.add(method, pattern, (request: IncomingMessage, response: ServerResponse) => {
			void handleRequest(handler, request, response);
		});
	}

	app.listen(address.port, address.host);
	await once(server, 'listening');
	return {
		address: {host: address.host, port: (server.address() as AddressInfo).port},
		async close() {
			if (!server.listening) {
				return;
			}

			const closed = once(server, 'close');
			server.close();
			server.closeAllConnections();
			await closed;
		},
	};
}

async function handleRequest(handler: Handler, request: IncomingMessage, response: ServerResponse): Promise<void> {
	try {
		// Not parsed as a URL, because that would resolve a key of two dots as a parent directory.
		const [path, query] = request.url!.split('?', 2);
		const body = await readBody(request);
		sendReply(response, body
			? await handler({path: path!, query: new URLSearchParams(query), body})
			: jsonReply({kind: 'rejected', message: `a body has at most ${MAX_BODY_BYTES} bytes`}, 400));
	} catch (error) {
		// After an aborted request body nobody reads a response; any other error is a fault of the emulator.
		sendReply(response, request.complete ? jsonReply({kind: 'internal', message: String(error)}, 500) : {kind: 'drop'});
	}
}

async function readBody(request: IncomingMessage): Promise<Uint8Array | undefined> {
	const chunks: Uint8Array[] = [];
	let lengthBytes = 0;
	for await (const chunk of request) {
		const bytes = chunk as Uint8Array;
		lengthBytes += bytes.length;
		if (lengthBytes > MAX_BODY_BYTES) {
			return undefined;
		}

		chunks.push(bytes);
	}

	return Buffer.concat(chunks);
}

function sendReply(response: ServerResponse, reply: Reply): void {
	if (reply.kind === 'drop') {
		response.socket?.destroy();
		return;
	}

	const body = reply.kind === 'bytes' ? reply.body : Buffer.from(JSON.stringify(reply.body));
	response.writeHead(reply.kind === 'bytes' ? 200 : reply.status, {
		'content-type': reply.kind === 'bytes' ? 'application/octet-stream' : 'application/json',
		'content-length': body.length,
	});
	response.end(body);
}
