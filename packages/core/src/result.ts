/** Outcome of an operation that can fail in an expected way. */
export type Result<Value, Failure>
	= | {readonly ok: true; readonly value: Value}
		| {readonly ok: false; readonly error: Failure};

/**
 * Wraps a value as a successful result.
 *
 * @param value - The operation's value.
 * @returns A successful result.
 */
export function ok<Value>(value: Value): {readonly ok: true; readonly value: Value} {
	return {ok: true, value};
}

/**
 * Wraps a tagged error as a failed result.
 *
 * @param error - The error, a member of a tagged union.
 * @returns A failed result.
 */
export function err<Failure>(error: Failure): {readonly ok: false; readonly error: Failure} {
	return {ok: false, error};
}
