import {build, type Histogram} from 'hdr-histogram-js';

const MICROSECONDS_PER_MS = 1000;
const LONGEST_MS = 60_000;

/** Summary of measured times. */
export type LatencySummary = {
	readonly count: number;
	readonly medianMs: number;
	readonly p99Ms: number;
	readonly maxMs: number;
};

/** Collects times in a histogram with a resolution of a microsecond and three digits. */
export class Latency {
	readonly #histogram: Histogram = build({highestTrackableValue: LONGEST_MS * MICROSECONDS_PER_MS, numberOfSignificantValueDigits: 3});

	/**
	 * Adds a time.
	 *
	 * @param tookMs - The time; longer ones than a minute count as a minute.
	 */
	record(tookMs: number): void {
		this.#histogram.recordValue(Math.round(Math.min(tookMs, LONGEST_MS) * MICROSECONDS_PER_MS));
	}

	/**
	 * Sums up all times so far.
	 *
	 * @returns Count and quantiles.
	 */
	summary(): LatencySummary {
		const histogram = this.#histogram;
		return {
			count: histogram.totalCount,
			medianMs: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
			p99Ms: Math.min(histogram.getValueAtPercentile(99), histogram.maxValue) / MICROSECONDS_PER_MS,
			maxMs: histogram.maxValue / MICROSECONDS_PER_MS,
		};
	}
}
