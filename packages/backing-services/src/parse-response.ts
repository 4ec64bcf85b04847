import {Buffer} from 'node:buffer';
import type {ParsedAnswer, ServiceAnswer} from './service-call.js';

/**
 * Parses the JSON body of an answer.
 *
 * A status alone may come from a proxy that has forwarded the request. Only an error body of the service itself counts as its refusal;
 * any other answer is treated as none.
 *
 * @param answer - The answer.
 * @returns The body of a status 200, the error of the service, or how far the request got.
 */
export function parseAnswer(answer: ServiceAnswer): ParsedAnswer {
	if (answer.kind !== 'answer') {
		return answer;
	}

	const body = parseJsonObject(Buffer.from(answer.body).toString('utf8'));
	if (body && answer.status === 200) {
		return {kind: 'value', body};
	}

	if (body && typeof body.kind === 'string') {
		const message = typeof body.message === 'string' ? body.message : body.kind;
		return {kind: 'error', status: answer.status, error: {...body, kind: body.kind, message}};
	}

	return unusable(answer.status);
}

/**
 * Treats an answer that does not follow the protocol as none.
 *
 * @param status - The HTTP status.
 * @returns An answer that tells nothing of the effect.
 */
export function unusable(status: number): {readonly kind: 'no_answer'; readonly message: string} {
	return {kind: 'no_answer', message: `an answer with status ${status} does not follow the protocol`};
}

function parseJsonObject(text: string): Readonly<Record<string, unknown>> | undefined {
	try {
		const value: unknown = JSON.parse(text);
		return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as Record<string, unknown> : undefined;
	} catch {
		return undefined;
	}
}
