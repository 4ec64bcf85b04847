/** One problem of a document. */
export type RecordProblem = {
	/** Path from the root of the document, for example `spec.weights.peak`; empty for the document itself. */
	readonly path: string;
	/** What was expected there. */
	readonly expectation: string;
};

/**
 * Formats problems for display, one on each line.
 *
 * @param problems - The problems.
 * @returns Lines of the form `path: expectation`.
 */
export function formatProblems(problems: readonly RecordProblem[]): string {
	return problems.map(({path, expectation}) => `${path || 'document'}: ${expectation}`).join('\n');
}
