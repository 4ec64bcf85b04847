import {
	ADJACENCIES,
	err,
	MAX_INLINE_INPUT_BYTES,
	ok,
	sha256Of,
	WORK_CLASSES,
	type Result,
} from '@amaranthsail/core';
import {z} from 'zod';
import {apiError, type ApiError} from './api-error.js';

/** Longest time for which one request may wait for its job. */
export const MAX_JOB_WAIT_MS = 25_000;

/** Longest idempotency key. */
export const MAX_IDEMPOTENCY_KEY_LENGTH = 128;

const partialResourcesSchema = z.strictObject({
	slots: z.int().min(1).max(64).optional(),
	connections: z.int().min(0).max(1024).optional(),
	processors: z.number().min(0).max(1024).optional(),
	memoryMb: z.int().min(0).max(16_777_216).optional(),
	accelerators: z.int().min(0).max(64).optional(),
});

const jobRequestSchema = z.strictObject({
	service: z.string().min(1).max(128),
	operation: z.string().min(1).max(128),
	input: z.json().optional(),
	taskCount: z.int().min(1).max(64).optional(),
	shape: partialResourcesSchema.optional(),
	adjacency: z.enum(ADJACENCIES).optional(),
	workClass: z.enum(WORK_CLASSES).optional(),
	repeatable: z.boolean().optional(),
	checkpointable: z.boolean().optional(),
	expectedRunMs: z.int().min(0).optional(),
	deadlineMs: z.int().min(1).optional(),
	failureDomains: z.array(z.string().min(1)).min(1).max(16).optional(),
	waitMs: z.int().min(0).max(MAX_JOB_WAIT_MS).optional(),
});

/** The body of `POST /v1/jobs`. */
export type JobRequest = z.infer<typeof jobRequestSchema>;

/** A validated request with its idempotency key and the digest of its content. */
export type CheckedJobRequest = {
	readonly request: JobRequest;
	readonly idempotencyKey: string;
	/** Digest of all fields except `waitMs`, with sorted keys, so that a retry with another formatting counts as the same request. */
	readonly bodyDigest: string;
	/** The input as JSON text; absent when there is none. */
	readonly inputText?: string;
};

function canonicalJson(value: unknown): string {
	return JSON.stringify(value, (_key, child: unknown) => {
		if (typeof child !== 'object' || child === null || Array.isArray(child)) {
			return child;
		}

		return Object.fromEntries(Object.entries(child).toSorted(([left], [right]) => left < right ? -1 : 1));
	});
}

/**
 * Validates a job request.
 *
 * @param body - The decoded body.
 * @param idempotencyKey - The `Idempotency-Key` header.
 * @returns The validated request, or an error that lists all invalid fields.
 */
export function checkJobRequest(body: unknown, idempotencyKey: string | undefined): Result<CheckedJobRequest, ApiError> {
	if (idempotencyKey === undefined || !/^[\u0021-\u007E]+$/v.test(idempotencyKey) || idempotencyKey.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
		return err(apiError('missing_idempotency_key', `The Idempotency-Key header must have 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} printable characters without spaces.`));
	}

	const parsed = jobRequestSchema.safeParse(body);
	if (!parsed.success) {
		const problems = parsed.error.issues.map(issue => ({field: issue.path.join('.'), message: issue.message}));
		const message = `The request is not valid: ${problems.map(problem => `${problem.field || 'body'}: ${problem.message}`).join('; ')}.`;
		return err(apiError('invalid_request', message, {details: {problems}}));
	}

	const {waitMs: _waitMs, ...content} = parsed.data;
	return ok({
		request: parsed.data,
		idempotencyKey,
		bodyDigest: sha256Of(canonicalJson(content)),
		inputText: parsed.data.input === undefined ? undefined : JSON.stringify(parsed.data.input),
	});
}

/**
 * Checks whether an input is stored in the job's row rather than as an object.
 *
 * @param inputText - The input as JSON text.
 * @returns True when it is short enough.
 */
export function isInlineInput(inputText: string): boolean {
	return new TextEncoder().encode(inputText).length <= MAX_INLINE_INPUT_BYTES;
}
