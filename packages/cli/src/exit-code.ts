/** Exit codes of the command line. */
export const EXIT_CODES = {
	done: 0,
	/** The service refused the request, or the job failed or was not run. */
	refused: 1,
	/** The command line or a file is invalid; no change was sent. */
	usage: 2,
	/** The request may have taken effect, or this program failed. */
	unknownOutcome: 3,
	/** No entry could be reached; nothing was sent. */
	noEntry: 4,
	/** Conflict with fields of other operators, or an idempotency key that was used with another body. */
	conflict: 5,
} as const;

/** One of {@link EXIT_CODES}. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** From the least to the most severe, for commands that send several requests. */
const EXIT_CODES_BY_SEVERITY: readonly ExitCode[] = [
	EXIT_CODES.done, EXIT_CODES.refused, EXIT_CODES.conflict, EXIT_CODES.noEntry, EXIT_CODES.unknownOutcome, EXIT_CODES.usage,
];

/**
 * Selects the exit code of a command that sent several requests.
 *
 * @param codes - Exit codes of the requests.
 * @returns The most severe one; `done` if there are none.
 */
export function worstExitCode(codes: readonly ExitCode[]): ExitCode {
	return EXIT_CODES_BY_SEVERITY[Math.max(0, ...codes.map(code => EXIT_CODES_BY_SEVERITY.indexOf(code)))]!;
}
