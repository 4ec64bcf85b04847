import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {parseJson} from '@amaranthsail/core';
import polka from 'polka';

/** Status and JSON body of an answer. */
export type RouteAnswer = {readonly status: number; readonly body?: unknown};

/** Handles a call with a JSON body, which is undefined when it cannot be read or parsed. */
export type RouteHandler = (body: unknown) => Promise<RouteAnswer> | RouteAnswer;

/** Receives the unexpected errors of single requests. */
export type RequestErrorHandler = (path: string, error: unknown) => void;

/** Bodies of calls between the system's own processes stay below this size. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Longer than the intervals between calls, so that a caller does not write to a connection that is being closed. */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;

/**
 * Reads a request body.
 *
 * @param message - The request.
 * @param maxBytes - Largest accepted body.
 * @returns The text, or undefined when it is too large or the request failed before its end.
 */
export async function readBody(message: IncomingMessage, maxBytes = MAX_BODY_BYTES): Promise<string | undefined> {
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	return new Promise(resolve => {
		message.on('data', (chunk: Uint8Array) => {
			bytes += chunk.length;
			if (bytes <= maxBytes) {
				chunks.push(chunk);
			}
		});
		message.on('end', () => {
			resolve(bytes <= maxBytes ? Buffer.concat(chunks).toString() : undefined);
		});
		message.on('error', () => {
			resolve(undefined);
		});
	});
}

/**
 * Writes an answer with a JSON body.
 *
 * @param response - The response to write.
 * @param answer - Status and body.
 * @param headers - Additional headers.
 */
export function sendJson(response: ServerResponse, answer: RouteAnswer, headers: Readonly<Record<string, string>> = {}): void {
	const text = answer.body === undefined ? '' : JSON.stringify(answer.body);
	response.writeHead(answer.status, {...headers, 'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
}

/**
 * Answers a request whose handler may fail. An unexpected error ends this request with status 500, and nothing else.
 *
 * @param message - The request.
 * @param response - The response to write.
 * @param handle - Writes the response.
 * @param onError - Receives the error.
 */
export async function answerSafely(message: IncomingMessage, response: ServerResponse, handle: () => Promise<void>, onError: RequestErrorHandler): Promise<void> {
	try {
		await handle();
	} catch (error) {
		onError((message.url ?? '').split('?')[0]!, error);
		if (response.headersSent) {
			response.destroy();
		} else {
			sendJson(response, {status: 500, body: {problem: 'unexpected error'}});
		}
	}
}

/**
 * Makes a route handler that checks its requests.
 *
 * @param decode - Decodes the body; undefined means that it is malformed.
 * @param handle - Handles the decoded request.
 * @returns A handler that answers a malformed request with status 400.
 */
export function decoded<Request>(decode: (body: unknown) => Request | undefined, handle: (request: Request) => Promise<RouteAnswer> | RouteAnswer): RouteHandler {
	return async body => {
		const request = decode(body);
		return request === undefined ? {status: 400, body: {problem: 'malformed request'}} : handle(request);
	};
}

/**
 * Starts a server for calls between the system's own processes.
 *
 * @param address - `host:port` to listen on.
 * @param routes - Handlers of `POST` requests, by path.
 * @param onError - Receives unexpected errors of handlers.
 * @returns The server, once it listens.
 */
export async function serveJson(address: string, routes: Readonly<Record<string, RouteHandler>>, onError: RequestErrorHandler): Promise<Server> {
	const app = polka();
	for (const [path, handler] of Object.entries(routes)) {
		app.post(path, async (message, response) => answerSafely(message, response, async () => {
			const text = await readBody(message);
			sendJson(response, await handler(text === undefined ? undefined : parseJson(text)));
		}, onError));
	}

	return listen(createServer(app.handler as (message: IncomingMessage, response: ServerResponse) => void), address);
}

/**
 * Starts listening on an address.
 *
 * @param server - The server.
 * @param address - `host:port`.
 * @returns The server, once it listens.
 */
export async function listen(server: Server, address: string): Promise<Server> {
	const colon = address.lastIndexOf(':');
	server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(Number(address.slice(colon + 1)), address.slice(0, colon), 512, () => {
			resolve(server);
		});
	});
}
