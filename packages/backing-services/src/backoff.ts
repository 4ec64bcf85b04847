/** Settings of a jittered exponential backoff. */
export type BackoffOptions = {
	/** Returns a number from 0 up to but not including 1. */
	readonly random: () => number;
	/** Maximum delay after the first attempt; 50 ms when absent. */
	readonly firstDelayMs?: number;
	/** Maximum delay after any attempt; 1,000 ms when absent. */
	readonly maxDelayMs?: number;
};

/**
 * Computes the delay before the next attempt: half of the exponential bound plus a random part of the other half,
 * so that callers that failed at the same time do not retry at the same time.
 *
 * @param attempt - Number of the attempt that failed, from 1.
 * @param options - Randomness and bounds.
 * @returns The delay in milliseconds.
 */
export function backoffDelayMs(attempt: number, options: BackoffOptions): number {
	const boundMs = Math.min(options.maxDelayMs ?? 1000, (options.firstDelayMs ?? 50) * (2 ** (attempt - 1)));
	return (boundMs / 2) + ((boundMs / 2) * options.random());
}
