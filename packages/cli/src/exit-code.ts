/** Exit codes of the command line. */
export const EXIT_CODES = {
	done: 0,
	/** The service refused, or the job failed or was not run. */
	refused: 1,
	/** The command line or a file is wrong; no change was sent. */
	usage: 2,
	/** The request may have taken effect, or this program failed. */
	unknownOutcome: 3,
	/** No entry could be reached; nothing was sent. */
	noEntry: 4,
	/** Fields of other operators, or an idempotency key with another body. */
	conflict: 5,
} as const;

/** One of {@link EXIT_CODES}. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** From the least to the most serious, for commands that send several requests. */
const SEVERITY: readonly ExitCode[] = [
	EXIT_CODES.done, EXIT_CODES.refused, EXIT_CODES.conflict, EXIT_CODES.noEntry, EXIT_CODES.unknownOutcome, EXIT_CODES.usage,
];

/**
 * Selects the exit code of a command that sent several requests.
 *
 * @param codes - The codes of the requests.
 * @returns The most serious one; `done` when there is none.
 */
export function worstExitCode(codes: readonly ExitCode[]): ExitCode {
	return SEVERITY[Math.max(0, ...codes.map(code => SEVERITY.indexOf(code)))]!;
}
