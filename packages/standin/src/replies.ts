import {Buffer} from 'node:buffer';
import type {Result} from '@amaranthsail/core';
import type {z} from 'zod';
import {jsonReply, type Handler, type Reply} from './http-server.js';

const STATUS_BY_ERROR_KIND: Readonly<Record<string, number>> = {
	condition_failed: 409,
	refused: 409,
	rejected: 400,
	not_found: 404,
	unavailable: 503,
};

/**
 * Creates the reply for the result of a service. For an unknown outcome the connection is closed without a response.
 *
 * @param result - The result.
 * @param onValue - Creates the reply of a success.
 * @returns The reply.
 */
export function createReply<Value>(result: Result<Value, {readonly kind: string}>, onValue: (value: Value) => Reply): Reply {
	if (result.ok) {
		return onValue(result.value);
	}

	return result.error.kind === 'outcome_unknown' ? {kind: 'drop'} : jsonReply(result.error, STATUS_BY_ERROR_KIND[result.error.kind] ?? 500);
}

/**
 * Creates a handler that validates the JSON body; an invalid body is `rejected` with status 400.
 *
 * @param schema - Schema of the body.
 * @param handle - Handles the validated body.
 * @returns The handler.
 */
export function withJsonBody<Schema extends z.ZodType>(schema: Schema, handle: (body: z.infer<Schema>) => Promise<Reply> | Reply): Handler {
	return async request => {
		const parsed = schema.safeParse(parseJson(Buffer.from(request.body).toString('utf8')));
		return parsed.success
			? handle(parsed.data)
			: jsonReply({kind: 'rejected', message: parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; ')}, 400);
	};
}

/**
 * Decodes the URL-encoded part of a path that follows a prefix.
 *
 * @param path - The path of the request.
 * @param prefix - The prefix.
 * @returns The decoded text; undefined when it is empty or not valid.
 */
export function decodePathRemainder(path: string, prefix: string): string | undefined {
	try {
		return decodeURIComponent(path.slice(prefix.length)) || undefined;
	} catch {
		return undefined;
	}
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
