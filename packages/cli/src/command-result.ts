import type {ApiResponse} from './entry-client.js';
import {EXIT_CODES, type ExitCode} from './exit-code.js';

/** Output and exit code of a command. */
export type CommandResult = {
	readonly exitCode: ExitCode;
	/** Printed with `--json`. */
	readonly json: unknown;
	/** Printed otherwise. */
	readonly lines: readonly string[];
};

/** Conflict in a refusal of the API. */
type ApiConflict = {readonly field: string; readonly owner: string; readonly currentValue?: unknown; readonly submittedValue?: unknown};

/** Refusal in a response of the API. */
export type ApiRefusal = {
	readonly code: string;
	readonly message: string;
	readonly retryable: boolean;
	/** Outcome of the refused request; may be absent for a read. */
	readonly outcome?: string;
	readonly conflicts?: readonly ApiConflict[];
	readonly problems?: ReadonlyArray<{readonly path: string; readonly expectation: string}>;
};

const CONFLICT_STATUS = 409;

const MIN_FAILURE_STATUS = 300;

/**
 * Converts a response into a result. The outcome is unknown if no entry responded, or if one refused the request but
 * another may have run it; only the service itself reports that something was not run.
 *
 * @param response - The response.
 * @param onSuccess - Formats the body of a successful response.
 * @returns The result.
 */
export function toCommandResult(response: ApiResponse, onSuccess: (body: unknown) => CommandResult): CommandResult {
	if (response.kind !== 'answered') {
		const failureLines = response.tries.map(({address, message}) => `  ${address}: ${message}`);
		return response.kind === 'no_entry'
			? createFailure(EXIT_CODES.noEntry, {code: 'no_entry', message: 'no entry could be reached', retryable: true, tries: response.tries}, ['no entry could be reached', ...failureLines])
			: createFailure(EXIT_CODES.unknownOutcome, {
				code: 'unknown_outcome', message: 'no entry answered', retryable: true, outcome: 'unknown', tries: response.tries,
			}, ['no entry answered; the request may have taken effect, and repeating it is safe', ...failureLines]);
	}

	if (response.status < MIN_FAILURE_STATUS) {
		return onSuccess(response.body);
	}

	const refusal = parseRefusal(response.body, response.status);
	// Without an outcome in the body, for example from a proxy, the outcome of a write is unknown.
	const outcome = response.mayHaveRun ? 'unknown' : refusal.outcome ?? (response.readOnly ? undefined : 'unknown');
	return createFailure(refusalExitCode(response.status, outcome), {...refusal, outcome}, formatRefusal({...refusal, outcome}));
}

/**
 * Converts a response into a result if a successful one must have a JSON object as its body.
 * For any other body the outcome of a write is unknown.
 *
 * @param response - The response.
 * @param onSuccess - Formats the object.
 * @returns The result.
 */
export function toObjectCommandResult(response: ApiResponse, onSuccess: (body: Record<string, unknown>) => CommandResult): CommandResult {
	return toCommandResult(response, body => {
		if (typeof body === 'object' && body !== null) {
			return onSuccess(body as Record<string, unknown>);
		}

		const isReadOnly = response.kind === 'answered' && response.readOnly;
		const message = 'the entry answered without a JSON object; repeating the request is safe';
		return createFailure(isReadOnly ? EXIT_CODES.refused : EXIT_CODES.unknownOutcome, {code: 'invalid_answer', message, retryable: true}, [message]);
	});
}

/**
 * Formats a refusal.
 *
 * @param refusal - The refusal.
 * @returns Lines with code and message, each conflict and problem, then outcome and whether repeating helps.
 */
export function formatRefusal(refusal: ApiRefusal): readonly string[] {
	return [
		`${refusal.code}: ${refusal.message}`,
		...(refusal.conflicts ?? []).map(({field, owner, currentValue, submittedValue}) =>
			`  ${field}: ${formatValue(currentValue)} by ${owner}, submitted ${formatValue(submittedValue)}`),
		...(refusal.problems ?? []).map(({path, expectation}) => `  ${path || 'document'}: ${expectation}`),
		`${refusal.outcome === undefined ? '' : `outcome ${refusal.outcome}; `}repeating ${refusal.retryable ? 'may help' : 'does not help'}`,
	];
}

/**
 * Formats the value of a field.
 *
 * @param value - The value; undefined if the field is not set.
 * @returns JSON, or `(none)`.
 */
export function formatValue(value: unknown): string {
	return value === undefined ? '(none)' : JSON.stringify(value);
}

/**
 * Selects the exit code of a refusal.
 *
 * @param status - The HTTP status.
 * @param outcome - The outcome of the request, if known.
 * @returns The exit code.
 */
export function refusalExitCode(status: number, outcome: string | undefined): ExitCode {
	if (outcome === 'unknown') {
		return EXIT_CODES.unknownOutcome;
	}

	return status === CONFLICT_STATUS ? EXIT_CODES.conflict : EXIT_CODES.refused;
}

function createFailure(exitCode: ExitCode, json: unknown, lines: readonly string[]): CommandResult {
	return {exitCode, json, lines};
}

function parseRefusal(body: unknown, status: number): ApiRefusal {
	const fields = typeof body === 'object' && body !== null ? body as Partial<ApiRefusal> : {};
	return {
		...fields,
		code: fields.code ?? `http_${status}`,
		message: fields.message ?? `the entry answered status ${status} without a reason`,
		retryable: fields.retryable ?? false,
	};
}
