import {build, type Histogram} from 'hdr-histogram-js';

const MICROSECONDS_PER_MS = 1000;
const MAX_RECORDED_MS = 60_000;

/** Summary of measured durations. */
export type LatencySummary = {
	readonly count: number;
	readonly medianMs: number;
	readonly p99Ms: number;
	readonly maxMs: number;
};

/** Histogram of durations with a resolution of one microsecond and three significant digits. */
export class LatencyHistogram {
	readonly #histogram: Histogram = build({highestTrackableValue: MAX_RECORDED_MS * MICROSECONDS_PER_MS, numberOfSignificantValueDigits: 3});

	/**
	 * Records a duration.
	 *
	 * @param durationMs - The duration; more than a minute counts as a minute.
	 */
	record(durationMs: number): void {
		this.#histogram.recordValue(Math.round(Math.min(durationMs, MAX_RECORDED_MS) * MICROSECONDS_PER_MS));
	}

	/**
	 * Summarizes all durations recorded so far.
	 *
	 * @returns Count, quantiles and maximum.
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
