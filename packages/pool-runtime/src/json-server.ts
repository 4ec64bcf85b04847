import {Buffer} from 'node:buffer';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {parseJson} from '@amaranthsail/core';
import {BoundedServer, type ListenerObserver} from './bounded-server.js';
import {DEFAULT_LISTENER_LIMITS, type ListenerLimits} from './listener-limits.js';
import {type BodyRefusal, discardBody, receiveBody} from './request-body.js';

/** Status and JSON body of an answer. */
export type RouteAnswer = {readonly status: number; readonly body?: unknown};

/** Handles a call with a JSON body, which is undefined when it cannot be read or parsed. */
export type RouteHandler = (body: unknown) => Promise<RouteAnswer> | RouteAnswer;

/** Receives the unexpected errors of single requests. */
export type RequestErrorHandler = (path: string, error: unknown) => void;

/** Longer than the intervals between calls, so that a caller does not write to a connection that is being closed. */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;

/** Value of `Retry-After`: a crowd of clients that hold memory without progress is closed by then. */
const RETRY_AFTER_S = '1';

/**
 * Reads a request body of a server that has no clients from outside, such as an emulator.
 *
 * @param message - The request.
 * @returns The text, or undefined when it is too large or the request failed before its end.
 */
export async function readBody(message: IncomingMessage): Promise<string | undefined> {
	const received = await receiveBody(message, {...DEFAULT_LISTENER_LIMITS, maxJsonValues: Number.POSITIVE_INFINITY});
	return received && 'text' in received ? received.text : undefined;
}

/** @returns The answer to a request whose body was refused. */
export function refusalAnswer({status, problem}: BodyRefusal): RouteAnswer {
	return {status, body: {problem}};
}

/** @returns Headers of the answer to such a request; the rest of a body that was not read ends the connection. */
export function refusalHeaders({status, isUnfinished}: BodyRefusal): Readonly<Record<string, string>> {
	return {...(status === 503 && {'retry-after': RETRY_AFTER_S}), ...(isUnfinished && {connection: 'close'})};
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

/** Limits of a server, and who is told what it does about its clients. */
export type ListenerOptions = {readonly limits: ListenerLimits; readonly observer?: ListenerObserver};

/**
 * Starts a server for calls between the system's own processes.
 *
 * @param address - `host:port` to listen on.
 * @param routes - Handlers of `POST` requests, by path.
 * @param onError - Receives unexpected errors of handlers.
 * @param options - Limits for the clients.
 * @returns The server, once it listens.
 */
export async function serveJson(address: string, routes: Readonly<Record<string, RouteHandler>>, onError: RequestErrorHandler, options?: ListenerOptions): Promise<Server> {
	const {limits, observer} = options ?? {limits: DEFAULT_LISTENER_LIMITS};
	const handlers = new Map(Object.entries(routes));
	const serve = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
		const handler = message.method === 'POST' ? handlers.get((message.url ?? '').split('?')[0]!) : undefined;
		if (!handler) {
			await answerWithoutBody(message, response, limits, {status: 404});
			return;
		}

		const received = await receiveBody(message, limits);
		if (!received) {
			response.destroy();
		} else if ('refusal' in received) {
			sendJson(response, refusalAnswer(received.refusal), refusalHeaders(received.refusal));
		} else {
			sendJson(response, await handler(parseJson(received.text)));
		}
	};

	return listen(new BoundedServer(limits, observer, (message, response) => {
		void answerSafely(message, response, async () => serve(message, response), onError);
	}), address);
}

/**
 * Answers a request whose body is not needed.
 *
 * @param message - The request.
 * @param response - The response to write.
 * @param limits - Limits of the listener.
 * @param answer - Status and body.
 */
export async function answerWithoutBody(message: IncomingMessage, response: ServerResponse, limits: ListenerLimits, answer: RouteAnswer): Promise<void> {
	const refusal = await discardBody(message, limits.maxBodyBytes);
	if (refusal === 'left') {
		response.destroy();
	} else if (refusal) {
		sendJson(response, refusalAnswer(refusal), refusalHeaders(refusal));
	} else {
		sendJson(response, answer);
	}
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
