/** Results of one simulation. */
export type Measures = {
	readonly completionMeanMs: number;
	readonly completionP99Ms: number;
	/** Fraction of all accelerator time of the arrival period that is idle while a gang waits. */
	readonly fragmentation: number;
	/** Fraction of the jobs submitted in the peak window that finish in it. */
	readonly peakService: number;
	/** Fraction of the accelerator time of the peak window that is spent on jobs. */
	readonly peakWork: number;
	/** 99th percentile of the wait of short jobs, from submission to the first start. */
	readonly shortWaitP99Ms: number;
	/** Longest time from the first preemption of a reclaim to the start of the job that it is for. */
	readonly reclaimMaxMs: number;
	/** Longest time for which an account without running jobs waited for a job that fits one of its guaranteed shapes. */
	readonly claimWaitMaxMs: number;
	readonly reclaims: number;
	readonly completed: number;
	readonly failed: number;
	readonly refused: number;
	readonly cancelled: number;
	readonly unfinished: number;
};

/**
 * Computes a quantile.
 *
 * @param values - The values.
 * @param fraction - From 0 to 1.
 * @returns The smallest value that is at least as large as that fraction of the values; 0 if there are none.
 */
export function quantile(values: readonly number[], fraction: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.max(0, Math.ceil(sorted.length * fraction) - 1)] ?? 0;
}

/**
 * Computes a mean.
 *
 * @param values - The values.
 * @returns The mean; 0 if there are no values.
 */
export function mean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return values.length === 0 ? 0 : sum / values.length;
}
