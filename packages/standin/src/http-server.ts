import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Address} from '@amaranthsail/core';
import polka from 'polka';

/** Longest request body. */
export const MAX_BODY_BYTES = 96 * 1024 * 1024;

/** What a handler sends: JSON, bytes, or a closed connection in place of an answer. */
export type Reply
	= | {readonly kind: 'json'; readonly status: number; readonly body: unknown}
		| {readonly kind: 'bytes'; readonly body: Uint8Array}
		| {readonly kind: 'drop'};

/** A request as handlers see it. */
export type AppRequest = {
	readonly path: string;
	readonly query: URLSearchParams;
	readonly body: Uint8Array;
};

/** Answers one request. */
export type Handler = (request: AppRequest) => Promise<Reply> | Reply;

/** One route; the pattern may end in `*`. */
export type Route = readonly [method: 'GET' | 'PUT' | 'POST' | 'DELETE', pattern: string, handler: Handler];

/** A server that accepts connections. */
export type RunningServer = {
	readonly address: Address;
	/** Ends all connections and frees the port. */
	close(): Promise<void>;
};

/**
 * Makes a JSON reply.
 *
 * @param body - What to send.
 * @param status - The HTTP status; 200 by default.
 * @returns The reply.
 */
export function json(body: unknown, status = 200): Reply {
	return {kind: 'json', status, body};
}

/**
 * Serves routes, and `/healthz` and `/readyz`, on one address.
 *
 * @param routes - The routes.
 * @param address - Where to listen; port 0 takes a free one.
 * @returns The server, listening.
 * @throws Error when the address cannot be used.
 */
export async function serve(routes: readonly Route[], address: Address): Promise<RunningServer> {
	const server = createServer();
	const app = polka({
		server,
		onNoMatch(request, response) {
			send(response, json({kind: 'no_route', message: `${request.method} ${request.url}`}, 404));
		},
	});
	const health: readonly Route[] = [
		['GET', '/healthz', () => json({status: 'ok'})],
		['GET', '/readyz', () => server.listening ? json({status: 'ready'}) : json({status: 'closing'}, 503)],
	];
	for (const [method, pattern, handler] of [...health, ...routes]) {
		app.add(method, pattern, (request: IncomingMessage, response: ServerResponse) => {
			void answer(handler, request, response);
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

async function answer(handler: Handler, request: IncomingMessage, response: ServerResponse): Promise<void> {
	try {
		// Not parsed as a URL, which would resolve a key of two dots.
		const [path, query] = request.url!.split('?', 2);
		const body = await readBody(request);
		send(response, body
			? await handler({path: path!, query: new URLSearchParams(query), body})
			: json({kind: 'rejected', message: `a body has at most ${MAX_BODY_BYTES} bytes`}, 400));
	} catch (error) {
		// A body that was cut off has no reader; any other error is a fault of the stand-in.
		send(response, request.complete ? json({kind: 'internal', message: String(error)}, 500) : {kind: 'drop'});
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

function send(response: ServerResponse, reply: Reply): void {
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
