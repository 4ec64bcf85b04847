import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {AgentStatus} from './agent-options.js';
import type {Announcement} from './agent-event.js';
import {readMemoryUse} from './memory-use.js';

const MAX_BODY_BYTES = 4096;

/** What the HTTP interface needs of the agent. */
export type AgentHttpOptions = {
	readonly status: () => AgentStatus;
	readonly announce: (announcement: Announcement) => void;
};

/**
 * Makes the HTTP server for announcements, health and status.
 *
 * @param options - Access to the agent.
 * @returns The server, not yet listening.
 */
export function createAgentHttp(options: AgentHttpOptions): http.Server {
	const server = http.createServer((request, response) => {
		void answer(request, response, options);
	});
	server.requestTimeout = 5000;
	return server;
}

async function answer(request: IncomingMessage, response: ServerResponse, options: AgentHttpOptions): Promise<void> {
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
			await takeAnnouncement(request, response, options);
			return;
		}

		default: {
			refuse(response, 404, 'not_found', 'no such resource');
		}
	}
}

async function takeAnnouncement(request: IncomingMessage, response: ServerResponse, options: AgentHttpOptions): Promise<void> {
	const body = await readBody(request);
	const announcement = body === undefined ? undefined : parseAnnouncement(body);
	if (announcement === undefined) {
		refuse(response, 400, 'invalid_announcement', 'expected {"endpointId": text, "service": text, "leaving": true or false}');
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
		return isName(endpointId) && isName(service) && typeof leaving === 'boolean' ? {endpointId, service, leaving} : undefined;
	} catch {
		return undefined;
	}
}

function isName(value: unknown): value is string {
	return typeof value === 'string' && value !== '';
}

function refuse(response: ServerResponse, statusCode: number, code: string, message: string): void {
	send(response, statusCode, {
		code, message, retryable: false, outcome: 'not_run',
	});
}

function send(response: ServerResponse, statusCode: number, body: unknown): void {
	response.writeHead(statusCode, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
}
