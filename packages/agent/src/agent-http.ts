import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {AgentStatus} from './agent-options.js';
import type {Announcement} from './agent-event.js';
import {readMemoryUse} from './memory-use.js';

const MAX_BODY_BYTES = 4096;

/** Access of the HTTP server to the agent. */
export type AgentHttpOptions = {
	readonly status: () => AgentStatus;
	readonly announce: (announcement: Announcement) => void;
};

/**
 * Creates the HTTP server for announcements, health and status.
 *
 * @param options - Access to the agent.
 * @returns The server, not yet listening.
 */
export function createAgentHttpServer(options: AgentHttpOptions): http.Server {
	const server = http.createServer((request, response) => {
		void handleRequest(request, response, options);
	});
	server.requestTimeout = 5000;
	return server;
}

async function handleRequest(request: IncomingMessage, response: ServerResponse, options: AgentHttpOptions): Promise<void> {
	switch (`${request.method ?? ''} ${request.url ?? ''}`) {
		case 'GET /healthz': {
			send(response, 200, {status: 'ok'});
			return;
		}

		case 'GET /readyz': {
			const {ready} = options.status();
			send(response, ready ? 200 : 503, {ready});
			return;
		}

		case 'GET /v1/status': {
			send(response, 200, {...options.status(), memory: readMemoryUse()});
			return;
		}

		case 'POST /v1/announcements': {
			await handleAnnouncement(request, response, options);
			return;
		}

		default: {
			sendError(response, 404, 'not_found', 'no such resource');
		}
	}
}

async function handleAnnouncement(request: IncomingMessage, response: ServerResponse, options: AgentHttpOptions): Promise<void> {
	const body = await readBody(request);
	const announcement = body === undefined ? undefined : parseAnnouncement(body);
	if (announcement === undefined) {
		sendError(response, 400, 'invalid_announcement', 'expected {"endpointId": text, "service": text, "leaving": true or false}');
		return;
	}

	options.announce(announcement);
	send(response, 200, {});
}

async function readBody(request: IncomingMessage): Promise<string | undefined> {
	let text = '';
	request.setEncoding('utf8');
	try {
		for await (const chunk of request) {
			text += chunk as string;
			if (text.length > MAX_BODY_BYTES) {
				return undefined;
			}
		}

		return text;
	} catch {
		return undefined;
	}
}

function parseAnnouncement(text: string): Announcement | undefined {
	try {
		const {endpointId, service, leaving} = JSON.parse(text) as Record<string, unknown>;
		return isNonEmptyText(endpointId) && isNonEmptyText(service) && typeof leaving === 'boolean' ? {endpointId, service, leaving} : undefined;
	} catch {
		return undefined;
	}
}

function isNonEmptyText(value: unknown): value is string {
	return typeof value === 'string' && value !== '';
}

function sendError(response: ServerResponse, statusCode: number, code: string, message: string): void {
	send(response, statusCode, {
		code, message, retryable: false, outcome: 'not_run',
	});
}

function send(response: ServerResponse, statusCode: number, body: unknown): void {
	response.writeHead(statusCode, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
}
