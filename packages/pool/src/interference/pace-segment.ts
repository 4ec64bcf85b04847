/** State of a neighbour kind: one of its runs works, or all of them wait for the rest of their gangs. */
export type NeighbourState = 'working' | 'waiting';

/** The kinds beside a run; absent kinds are not in the map. */
export type Neighbours = ReadonlyMap<string, NeighbourState>;

/** Standard deviation of the difference between two percentages that are each rounded down. */
const ROUNDING_PERCENT = 0.41;

/** Standard deviation of the time of a reading. */
const READING_JITTER_MS = 30;

/** Shorter segments, or ones with less progress, are mostly rounding. */
const MIN_SEGMENT_MS = 400;
const MIN_SEGMENT_PERCENT = 3;

/** Progress from which two intervals of a segment can be compared; below it, rounding alone changes the pace by half. */
const MIN_COMPARED_PERCENT = 5;

/** Difference of the logarithmic pace within a segment from which something else has disturbed the run. */
const MAX_SPREAD = 0.35;

/** Part of a run during which the same kinds were beside it. */
export class PaceSegment {
	readonly #startMs: number;
	readonly #startPercent: number;
	#endMs: number;
	#endPercent: number;
	/** End of the newest interval whose pace has been compared with the others. */
	#comparedMs: number;
	#comparedPercent: number;
	#minLogPace = Number.POSITIVE_INFINITY;
	#maxLogPace = Number.NEGATIVE_INFINITY;

	/**
	 * @param neighbours - The kinds beside the run.
	 * @param atMs - Worker's clock at the first reading.
	 * @param percent - The first reading.
	 */
	constructor(readonly neighbours: Neighbours, atMs: number, percent: number) {
		this.#startMs = atMs;
		this.#endMs = atMs;
		this.#startPercent = percent;
		this.#endPercent = percent;
		this.#comparedMs = atMs;
		this.#comparedPercent = percent;
	}

	/** Worker's clock at the first reading. */
	get startMs(): number {
		return this.#startMs;
	}

	/** Worker's clock at the newest reading. */
	get endMs(): number {
		return this.#endMs;
	}

	/** Logarithm of the pace. */
	get logPace(): number {
		return Math.log((this.#endPercent - this.#startPercent) / (this.#endMs - this.#startMs));
	}

	/** Variance of the logarithm of the pace due to rounding and jitter. */
	get variance(): number {
		return ((ROUNDING_PERCENT / (this.#endPercent - this.#startPercent)) ** 2) + ((READING_JITTER_MS / (this.#endMs - this.#startMs)) ** 2);
	}

	/** Whether the segment is long enough, and its pace has not changed within it. */
	get isUsable(): boolean {
		return this.#endMs - this.#startMs >= MIN_SEGMENT_MS
			&& this.#endPercent - this.#startPercent >= MIN_SEGMENT_PERCENT
			&& this.#maxLogPace - this.#minLogPace <= MAX_SPREAD;
	}

	/**
	 * Adds a reading.
	 *
	 * @param atMs - Worker's clock.
	 * @param percent - The reading.
	 */
	extend(atMs: number, percent: number): void {
		this.#endMs = atMs;
		this.#endPercent = percent;
		const intervalMs = atMs - this.#comparedMs;
		const progress = percent - this.#comparedPercent;
		const expected = (percent - this.#startPercent) / (atMs - this.#startMs) * intervalMs;
		if (intervalMs >= MIN_SEGMENT_MS && Math.max(progress, expected) >= MIN_COMPARED_PERCENT) {
			const logPace = Math.log(Math.max(progress, ROUNDING_PERCENT) / intervalMs);
			this.#minLogPace = Math.min(this.#minLogPace, logPace);
			this.#maxLogPace = Math.max(this.#maxLogPace, logPace);
			this.#comparedMs = atMs;
			this.#comparedPercent = percent;
		}
	}
}
