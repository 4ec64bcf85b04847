import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {err, ok, type Address, type Logger, type Result} from '@amaranthsail/core';
import {GracefulServer} from '@amaranthsail/pool-runtime';
import polka, {type Polka, type Request} from 'polka';
import {apiError, statusOf, type ApiError} from './api-error.js';
import type {Authenticator, Identity, Role} from './authenticator.js';

/** Longest request body that is accepted. */
export const MAX_BODY_BYTES = 1_048_576;

/** Time within which a client must send its whole request. */
const REQUEST_TIMEOUT_MS = 10_000;

/** An authenticated request with its decoded parameters and body. */
export type ApiRequest = {
	readonly identity: Identity;
	readonly parameters: Readonly<Record<string, string>>;
	readonly query: Readonly<Record<string, string | undefined>>;
	readonly headers: IncomingMessage['headers'];
	readonly body: unknown;
};

/** A successful response. */
export type ApiResponse = {readonly status: number; readonly body: unknown};

/** Handles requests to one route of the API. */
export type ApiHandler = (request: ApiRequest) => Promise<Result<ApiResponse, ApiError>>;

/** One route of the API. */
export type Route = {
	readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly path: string;
	/** Role that the caller must have; undefined when no token is required. */
	readonly role: Role | undefined;
	readonly handle: ApiHandler;
};

/** Dependencies and routes of {@link HttpServer}. */
export type HttpServerOptions = {
	readonly authenticator: Authenticator;
	readonly logger: Logger;
	readonly routes: readonly Route[];
};

const ANONYMOUS: Identity = {role: 'process', name: 'anonymous'};

/** HTTP server for JSON routes. Counts the open requests. */
export class HttpServer {
	readonly server: Server;
	readonly #options: HttpServerOptions;
	readonly #connections: GracefulServer;
	#openRequests = 0;

	/**
	 * @param options - Dependencies and routes.
	 */
	constructor(options: HttpServerOptions) {
		this.#options = options;
		this.server = createServer();
		this.server.requestTimeout = REQUEST_TIMEOUT_MS;
		this.#connections = new GracefulServer(this.server);
		const app = polka({
			server: this.server,
			onNoMatch(_request, response) {
				sendError(response, apiError('not_found', 'There is no such call; see the API page.'));
			},
			onError: (error, _request, response) => {
				this.#options.logger.error('request failed', {error: String(error)});
				sendError(response, apiError('internal', 'The request failed; its outcome is not known.', {outcome: 'unknown'}));
			},
		});
		for (const route of options.routes) {
			this.#addRoute(app, route);
		}

		// Polka attaches its handler only in its own `listen`; the server is started by `this.listen` instead, which reports errors.
		this.server.on('request', app.handler.bind(app) as (request: IncomingMessage, response: ServerResponse) => void);
	}

	/** Number of requests being handled. */
	get openRequests(): number {
		return this.#openRequests;
	}

	/**
	 * Starts listening.
	 *
	 * @param address - The address to listen on; port 0 selects a free port.
	 * @returns The bound address.
	 * @throws The socket's error, for example when the address is in use.
	 */
	async listen(address: Address): Promise<Address> {
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(address.port, address.host, resolve);
		});
		const bound = this.server.address();
		return typeof bound === 'object' && bound ? {host: bound.address, port: bound.port} : address;
	}

	/**
	 * Stops listening and waits until open requests are answered, also those that have arrived and are not read yet. Each
	 * connection is closed after its response: one that stayed open would delay the close, and its next request could be
	 * aborted at the timeout.
	 *
	 * @param timeoutMs - Longest wait, in milliseconds, after which the remaining connections are closed.
	 */
	async close(timeoutMs: number): Promise<void> {
		const timer = setTimeout(() => {
			this.server.closeAllConnections();
		}, timeoutMs);
		await this.#connections.close();
		clearTimeout(timer);
	}

	#addRoute(app: Polka, route: Route): void {
		const handler = async (request: Request, response: ServerResponse): Promise<void> => {
			this.#openRequests += 1;
			try {
				const result = await this.#handle(route, request);
				if (result.ok) {
					sendJson(response, result.value.status, result.value.body);
				} else {
					sendError(response, result.error);
				}
			} catch (error) {
				this.#options.logger.error('request failed', {path: route.path, error: error instanceof Error ? error.stack : String(error)});
				sendError(response, apiError('internal', 'The request failed; its outcome is not known.', {outcome: 'unknown'}));
			} finally {
				this.#openRequests -= 1;
			}
		};

		app.add(route.method, route.path, handler as never);
	}

	async #handle(route: Route, request: Request): Promise<Result<ApiResponse, ApiError>> {
		const identity = route.role === undefined
			? ok(ANONYMOUS)
			: this.#options.authenticator.authenticate(request.headers.authorization, route.role);
		if (!identity.ok) {
			return identity;
		}

		const body = route.method === 'GET' ? ok(undefined) : await readJsonBody(request);
		if (!body.ok) {
			return body;
		}

		return route.handle({
			identity: identity.value,
			parameters: Object.fromEntries(Object.entries(request.params).map(([name, value]) => [name, decodeParameter(value)])),
			query: request.query as Readonly<Record<string, string | undefined>>,
			headers: request.headers,
			body: body.value,
		});
	}
}

function decodeParameter(value: string): string {
	try {
		return decodeURIComponent(value);
	} catch {
		return value;
	}
}

async function readJsonBody(request: IncomingMessage): Promise<Result<unknown, ApiError>> {
	const chunks: Uint8Array[] = [];
	let lengthBytes = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		lengthBytes += chunk.length;
		// The rest of an oversized body is read and discarded, so that the client gets a response instead of a connection reset.
		if (lengthBytes <= MAX_BODY_BYTES) {
			chunks.push(chunk);
		}
	}

	if (lengthBytes > MAX_BODY_BYTES) {
		return err(apiError('body_too_large', `The body has ${lengthBytes} bytes; at most ${MAX_BODY_BYTES} are accepted.`));
	}

	if (lengthBytes === 0) {
		return ok(undefined);
	}

	try {
		return ok(JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown);
	} catch (error) {
		return err(apiError('malformed_body', `The body is not JSON: ${String(error)}.`));
	}
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
	if (response.headersSent) {
		return;
	}

	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
}

function sendError(response: ServerResponse, error: ApiError): void {
	const {details, ...fields} = error;
	sendJson(response, statusOf(error), {...details, ...fields});
}
