/** Summary of the durations measured under one name. */
export type TimingSummary = {
	readonly name: string;
	readonly count: number;
	readonly minMs: number;
	readonly medianMs: number;
	readonly maxMs: number;
	/** Target of the longest duration, if there is one. */
	readonly targetMs?: number;
};

/** Targets by the name of the measurement, in milliseconds. */
export const TARGETS_MS: Readonly<Partial<Record<string, number>>> = {
	'configuration in force, no fault': 11_000,
	'configuration in force, owner killed': 11_000,
	'configuration in force, store slow': 11_000,
	'urgent start, idle': 1900,
	// Checkpoint grace period of 5,000 ms, stop within 1,000 ms, and the start.
	'urgent start, reclaim from short work': 7900,
	'urgent start, reclaim from long work': 7900,
	'last start after leaving, no fault': 4000,
	'last start after leaving, store down': 4000,
	'last start after leaving, silent': 4000,
};

/** Records measured durations by name. */
export class TimingRecorder {
	readonly #durationsMs = new Map<string, number[]>();

	/**
	 * Adds a duration.
	 *
	 * @param name - Name of the measurement.
	 * @param durationMs - The duration in milliseconds.
	 */
	record(name: string, durationMs: number): void {
		this.#durationsMs.set(name, [...this.#durationsMs.get(name) ?? [], durationMs]);
	}

	/**
	 * Summarizes the durations.
	 *
	 * @returns One summary for each name, in the order of first use.
	 */
	summarize(): readonly TimingSummary[] {
		return [...this.#durationsMs].map(([name, durationsMs]) => {
			const sortedMs = durationsMs.toSorted((left, right) => left - right).map(durationMs => Math.round(durationMs));
			return {
				name,
				count: sortedMs.length,
				minMs: sortedMs[0]!,
				medianMs: sortedMs[Math.floor((sortedMs.length - 1) / 2)]!,
				maxMs: sortedMs.at(-1)!,
				targetMs: TARGETS_MS[name],
			};
		});
	}
}

/**
 * Formats summaries as a table.
 *
 * @param summaries - The summaries.
 * @returns The lines.
 */
export function formatTimings(summaries: readonly TimingSummary[]): readonly string[] {
	const width = Math.max(6, ...summaries.map(({name}) => name.length));
	const formatRow = (name: string, cells: ReadonlyArray<string | number>): string =>
		`${name.padEnd(width)}${cells.map(cell => String(cell).padStart(10)).join('')}`;
	return [
		formatRow('time', ['runs', 'min ms', 'median ms', 'max ms', 'target ms']),
		...summaries.map(({name, count, minMs, medianMs, maxMs, targetMs}) => formatRow(name, [count, minMs, medianMs, maxMs, targetMs ?? '-'])),
	];
}
