/** What one run gives. */
export type Measures = {
	readonly completionMeanMs: number;
	readonly completionP99Ms: number;
	/** Part of all accelerator time of the arrival hour that is idle while a gang waits. */
	readonly fragmentation: number;
	/** Part of the jobs submitted in the peak window that finish in it. */
	readonly peakService: number;
	/** Accelerator time delivered in the peak window as a part of what there is. */
	readonly peakWork: number;
	/** 99th percentile of the wait of short work, from submission to its first start. */
	readonly shortWaitP99Ms: number;
	/** Longest time from a reclaim to the start of its job. */
	readonly reclaimMaxMs: number;
	/** Longest time for which an account without running work waited for a job that fits one of its shapes. */
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
 * @param part - From 0 to 1.
 * @returns The smallest value that is not exceeded by that part of the values; 0 without values.
 */
export function quantile(values: readonly number[], part: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.max(0, Math.ceil(sorted.length * part) - 1)] ?? 0;
}

/**
 * Computes a mean.
 *
 * @param values - The values.
 * @returns The mean; 0 without values.
 */
export function mean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return values.length === 0 ? 0 : sum / values.length;
}
