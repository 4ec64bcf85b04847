import type {ApiAnswer} from './entry-client.js';
import {EXIT_CODES, type ExitCode} from './exit-code.js';

/** What a command prints and returns. */
export type CommandResult = {
	readonly exitCode: ExitCode;
	/** Printed with `--json`. */
	readonly json: unknown;
	/** Printed otherwise. */
	readonly lines: readonly string[];
};

/** A conflict as the API reports it. */
type ApiConflict = {readonly field: string; readonly owner: string; readonly currentValue?: unknown; readonly submittedValue?: unknown};

/** A refusal as the API reports it. */
export type ApiRefusal = {
	readonly code: string;
	readonly message: string;
	readonly retryable: boolean;
	/** Absent when the answer to a read does not state one. */
	readonly outcome?: string;
	readonly conflicts?: readonly ApiConflict[];
	readonly problems?: ReadonlyArray<{readonly path: string; readonly expectation: string}>;
};

const CONFLICT_STATUS = 409;

const SUCCESS_STATUS_LIMIT = 300;

/**
 * Turns an answer into a result. A request without an answer, and a refusal after a try that may have taken effect,
 * have an unknown outcome; only the service itself reports that something was not run.
 *
 * @param answer - The answer.
 * @param onSuccess - Formats the body of a success.
 * @returns What to print and the exit code.
 */
export function resultOf(answer: ApiAnswer, onSuccess: (body: unknown) => CommandResult): CommandResult {
	if (answer.kind !== 'answered') {
		const tries = answer.tries.map(({address, message}) => `  ${address}: ${message}`);
		return answer.kind === 'no_entry'
			? failureOf(EXIT_CODES.noEntry, {code: 'no_entry', message: 'no entry could be reached', retryable: true, tries: answer.tries}, ['no entry could be reached', ...tries])
			: failureOf(EXIT_CODES.unknownOutcome, {
				code: 'unknown_outcome', message: 'no entry answered', retryable: true, outcome: 'unknown', tries: answer.tries,
			}, ['no entry answered; the request may have taken effect, and repeating it is safe', ...tries]);
	}

	if (answer.status < SUCCESS_STATUS_LIMIT) {
		return onSuccess(answer.body);
	}

	const refusal = refusalIn(answer.body, answer.status);
	// A body without an outcome, for example of a proxy, leaves that of a write unknown.
	const outcome = answer.isRepeat ? 'unknown' : refusal.outcome ?? (answer.readOnly ? undefined : 'unknown');
	return failureOf(exitCodeOf(answer.status, outcome), {...refusal, outcome}, refusalLines({...refusal, outcome}));
}

/**
 * Turns an answer whose success has a JSON object as body into a result. Another body counts as no answer.
 *
 * @param answer - The answer.
 * @param onSuccess - Formats the object.
 * @returns What to print and the exit code.
 */
export function objectResultOf(answer: ApiAnswer, onSuccess: (body: Record<string, unknown>) => CommandResult): CommandResult {
	return resultOf(answer, body => {
		if (typeof body === 'object' && body !== null) {
			return onSuccess(body as Record<string, unknown>);
		}

		const isRead = answer.kind === 'answered' && answer.readOnly;
		const message = 'the entry answered without a JSON object; repeating the request is safe';
		return failureOf(isRead ? EXIT_CODES.refused : EXIT_CODES.unknownOutcome, {code: 'invalid_answer', message, retryable: true}, [message]);
	});
}

/**
 * Formats a refusal.
 *
 * @param refusal - The refusal.
 * @returns Its lines: code, message, outcome, then each conflict and problem.
 */
export function refusalLines(refusal: ApiRefusal): readonly string[] {
	return [
		`${refusal.code}: ${refusal.message}`,
		...(refusal.conflicts ?? []).map(({field, owner, currentValue, submittedValue}) =>
			`  ${field}: ${valueText(currentValue)} by ${owner}, submitted ${valueText(submittedValue)}`),
		...(refusal.problems ?? []).map(({path, expectation}) => `  ${path || 'document'}: ${expectation}`),
		`${refusal.outcome === undefined ? '' : `outcome ${refusal.outcome}; `}repeating ${refusal.retryable ? 'may help' : 'does not help'}`,
	];
}

/**
 * Formats the value of a field.
 *
 * @param value - The value; undefined for a field that is not set.
 * @returns JSON, or `(none)`.
 */
export function valueText(value: unknown): string {
	return value === undefined ? '(none)' : JSON.stringify(value);
}

/**
 * Selects the exit code of a refusal.
 *
 * @param status - The HTTP status.
 * @param outcome - The outcome that the service reported.
 * @returns The code.
 */
export function exitCodeOf(status: number, outcome: string | undefined): ExitCode {
	if (outcome === 'unknown') {
		return EXIT_CODES.unknownOutcome;
	}

	return status === CONFLICT_STATUS ? EXIT_CODES.conflict : EXIT_CODES.refused;
}

function failureOf(exitCode: ExitCode, json: unknown, lines: readonly string[]): CommandResult {
	return {exitCode, json, lines};
}

function refusalIn(body: unknown, status: number): ApiRefusal {
	const candidate = typeof body === 'object' && body !== null ? body as Partial<ApiRefusal> : {};
	return {
		...candidate,
		code: candidate.code ?? `http_${status}`,
		message: candidate.message ?? `the entry answered status ${status} without a reason`,
		retryable: candidate.retryable ?? false,
	};
}
