import {Buffer} from 'node:buffer';
import type {Result} from '@amaranthsail/core';
import type {z} from 'zod';
import {json, type Handler, type Reply} from './http-server.js';

const STATUS_BY_KIND: Readonly<Record<string, number>> = {
	condition_failed: 409,
	refused: 409,
	rejected: 400,
	not_found: 404,
	unavailable: 503,
};

/**
 * Turns the result of a service into a reply. An outcome that the caller must not learn closes the connection.
 *
 * @param result - The result.
 * @param onValue - Makes the reply of a success.
 * @returns The reply.
 */
export function replyOf<Value>(result: Result<Value, {readonly kind: string}>, onValue: (value: Value) => Reply): Reply {
	if (result.ok) {
		return onValue(result.value);
	}

	return result.error.kind === 'outcome_unknown' ? {kind: 'drop'} : json(result.error, STATUS_BY_KIND[result.error.kind] ?? 500);
}

/**
 * Makes a handler that checks its JSON body first; a wrong one is `rejected` with status 400.
 *
 * @param schema - What the body has to be.
 * @param handle - Takes the checked body.
 * @returns The handler.
 */
export function withBody<Schema extends z.ZodType>(schema: Schema, handle: (body: z.infer<Schema>) => Promise<Reply> | Reply): Handler {
	return async request => {
		const parsed = schema.safeParse(parseJson(Buffer.from(request.body).toString('utf8')));
		return parsed.success
			? handle(parsed.data)
			: json({kind: 'rejected', message: parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; ')}, 400);
	};
}

/**
 * Takes the URL-encoded remainder of a path.
 *
 * @param path - The path of the request.
 * @param prefix - The fixed part in front.
 * @returns The decoded remainder, or undefined when it is empty or not valid.
 */
export function decodeRest(path: string, prefix: string): string | undefined {
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
