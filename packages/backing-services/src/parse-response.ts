import {Buffer} from 'node:buffer';
import type {ParsedResponse, ServiceResponse} from './service-call.js';

/**
 * Parses the JSON body of a response.
 *
 * An error status alone may come from a proxy that has forwarded the request, so only an error body of the service itself counts as its error;
 * any other response is treated as missing.
 *
 * @param response - The response.
 * @returns The body of a status 200, the error of the service, or whether the request was sent.
 */
export function parseResponse(response: ServiceResponse): ParsedResponse {
	if (response.kind !== 'response') {
		return response;
	}

	const body = parseJsonObject(Buffer.from(response.body).toString('utf8'));
	if (body && response.status === 200) {
		return {kind: 'value', body};
	}

	if (body && typeof body.kind === 'string') {
		const message = typeof body.message === 'string' ? body.message : body.kind;
		return {kind: 'error', status: response.status, error: {...body, kind: body.kind, message}};
	}

	return createNoResponse(response.status);
}

/**
 * Converts a response that does not follow the protocol to a missing one.
 *
 * @param status - The HTTP status.
 * @returns A missing response, which leaves the outcome of the request unknown.
 */
export function createNoResponse(status: number): {readonly kind: 'no_response'; readonly message: string} {
	return {kind: 'no_response', message: `an answer with status ${status} does not follow the protocol`};
}

function parseJsonObject(text: string): Readonly<Record<string, unknown>> | undefined {
	try {
		const value: unknown = JSON.parse(text);
		return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as Record<string, unknown> : undefined;
	} catch {
		return undefined;
	}
}
