/** Identifies a task: job, occurrence, step and index within the step. */
export type TaskName = {
	readonly jobId: string;
	readonly occurrence: number;
	readonly step: number;
	readonly index: number;
};

/**
 * Formats the name of a task.
 *
 * @param name - The parts of the name.
 * @returns `JOB.OCCURRENCE.STEP.INDEX`.
 */
export function formatTaskName({jobId, occurrence, step, index}: TaskName): string {
	return `${jobId}.${occurrence}.${step}.${index}`;
}

/**
 * Parses the name of a task.
 *
 * @param text - A name that {@link formatTaskName} formatted.
 * @returns The parts, or undefined when the text is not such a name.
 */
export function parseTaskName(text: string): TaskName | undefined {
	const match = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/v.exec(text);
	if (!match) {
		return undefined;
	}

	return {jobId: match[1]!, occurrence: Number(match[2]), step: Number(match[3]), index: Number(match[4])};
}
