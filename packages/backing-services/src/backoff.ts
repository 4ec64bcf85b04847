/** Settings of a jittered exponential backoff. */
export type BackoffOptions = {
	/** Gives a number from 0 up to but not including 1. */
	readonly random: () => number;
	/** Longest delay after the first attempt; 50 ms when absent. */
	readonly firstDelayMs?: number;
	/** Longest delay after any attempt; 1,000 ms when absent. */
	readonly maxDelayMs?: number;
};

/**
 * Picks the delay before the next attempt: half of the exponential bound and a random part of the other half,
 * so that callers which failed together do not return together.
 *
 * @param attempt - Number of the attempt that has just failed, from 1.
 * @param options - Randomness and bounds.
 * @returns Milliseconds to wait.
 */
export function backoffDelayMs(attempt: number, options: BackoffOptions): number {
	const boundMs = Math.min(options.maxDelayMs ?? 1000, (options.firstDelayMs ?? 50) * (2 ** (attempt - 1)));
	return (boundMs / 2) + ((boundMs / 2) * options.random());
}
