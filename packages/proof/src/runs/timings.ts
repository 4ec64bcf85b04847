/** A measured time and what is allowed. */
export type Figure = {
	readonly name: string;
	readonly count: number;
	readonly minMs: number;
	readonly medianMs: number;
	readonly maxMs: number;
	/** The stated target; absent for times that have none. */
	readonly targetMs?: number;
};

/** Stated targets by the name of the figure, in milliseconds. */
export const TARGETS_MS: Readonly<Partial<Record<string, number>>> = {
	'configuration in force, no fault': 11_000,
	'configuration in force, owner killed': 11_000,
	'configuration in force, store slow': 11_000,
	'urgent start, idle': 1900,
	// Checkpoint grace 5,000 ms, stop 1,000 ms and the start.
	'urgent start, reclaim from short work': 7900,
	'urgent start, reclaim from long work': 7900,
	'last start after leaving, no fault': 4000,
	'last start after leaving, store down': 4000,
	'last start after leaving, silent': 4000,
};

/** Collects measured times by name. */
export class Figures {
	readonly #valuesMs = new Map<string, number[]>();

	/**
	 * Adds a time.
	 *
	 * @param name - What was measured.
	 * @param valueMs - The time in milliseconds.
	 */
	record(name: string, valueMs: number): void {
		this.#valuesMs.set(name, [...this.#valuesMs.get(name) ?? [], valueMs]);
	}

	/**
	 * Summarizes the times.
	 *
	 * @returns One figure for each name, in the order of first use.
	 */
	summarize(): readonly Figure[] {
		return [...this.#valuesMs].map(([name, values]) => {
			const sorted = values.toSorted((left, right) => left - right).map(value => Math.round(value));
			return {
				name,
				count: sorted.length,
				minMs: sorted[0]!,
				medianMs: sorted[Math.floor((sorted.length - 1) / 2)]!,
				maxMs: sorted.at(-1)!,
				targetMs: TARGETS_MS[name],
			};
		});
	}
}

/**
 * Formats figures as a table.
 *
 * @param figures - The figures.
 * @returns The lines.
 */
export function formatFigures(figures: readonly Figure[]): readonly string[] {
	const width = Math.max(6, ...figures.map(({name}) => name.length));
	const row = (name: string, cells: ReadonlyArray<string | number>): string =>
		`${name.padEnd(width)}${cells.map(cell => String(cell).padStart(10)).join('')}`;
	return [
		row('time', ['runs', 'min ms', 'median ms', 'max ms', 'target ms']),
		...figures.map(({name, count, minMs, medianMs, maxMs, targetMs}) => row(name, [count, minMs, medianMs, maxMs, targetMs ?? '-'])),
	];
}
