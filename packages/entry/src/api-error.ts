import type {CallerOutcome} from '@amaranthsail/core';

/** HTTP status by error code. */
const STATUS_BY_CODE = {
	malformed_body: 400,
	invalid_request: 400,
	invalid_record: 400,
	missing_idempotency_key: 400,
	unauthorized: 401,
	forbidden: 403,
	not_found: 404,
	method_not_allowed: 405,
	idempotency_conflict: 409,
	field_conflict: 409,
	conflict: 409,
	body_too_large: 413,
	unknown_service: 422,
	unknown_operation: 422,
	never_fits: 422,
	never_runs: 422,
	limit_exceeded: 422,
	deadline_impossible: 422,
	refused_record: 422,
	account_limit: 429,
	overloaded: 429,
	answer_damaged: 502,
	not_ready: 503,
	draining: 503,
	store_unavailable: 503,
	owner_unavailable: 503,
	outcome_unknown: 503,
	internal: 500,
} as const;

/** Stable error codes of the API. */
export type ApiErrorCode = keyof typeof STATUS_BY_CODE;

/** An error response to a caller or operator. */
export type ApiError = {
	readonly code: ApiErrorCode;
	readonly message: string;
	/** Whether the same request may succeed later. */
	readonly retryable: boolean;
	/** What the caller may conclude about whether its job ran. */
	readonly outcome: CallerOutcome;
	/** Additional fields of the body, for example the conflicts of a record. */
	readonly details?: Readonly<Record<string, unknown>>;
};

const RETRYABLE_CODES: ReadonlySet<ApiErrorCode> = new Set([
	'account_limit', 'overloaded', 'not_ready', 'draining', 'store_unavailable', 'owner_unavailable', 'outcome_unknown', 'answer_damaged',
]);

/**
 * Creates an error of the API. Its outcome is `not_run` unless another one is given.
 *
 * @param code - The stable code.
 * @param message - A message for people.
 * @param options - The outcome when it is not `not_run`, and additional fields of the body.
 * @returns The error.
 */
export function apiError(
	code: ApiErrorCode,
	message: string,
	options: {readonly outcome?: CallerOutcome; readonly details?: Readonly<Record<string, unknown>>} = {},
): ApiError {
	return {code, message, retryable: RETRYABLE_CODES.has(code), outcome: options.outcome ?? 'not_run', details: options.details};
}

/**
 * Returns the HTTP status of an error.
 *
 * @param error - The error.
 * @returns The status code.
 */
export function statusOf(error: ApiError): number {
	return STATUS_BY_CODE[error.code];
}

/**
 * Checks whether a text is an error code of the API.
 *
 * @param text - The text.
 * @returns True for a known code.
 */
export function isApiErrorCode(text: string): text is ApiErrorCode {
	return Object.hasOwn(STATUS_BY_CODE, text);
}
