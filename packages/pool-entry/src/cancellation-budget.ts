import type {Clock} from '@amaranthsail/core';

/** Cancellations of unknown jobs that an account may send at once. */
const MAX_TOKENS = 100;

/** Cancellations of unknown jobs that an account may send each second in the long run. */
const TOKENS_PER_S = 1;

/**
 * Limits how many unknown jobs a client account may cancel at this entry, as each of them adds a row to the store for a
 * while. Cancellations of known jobs are not limited.
 */
export class CancellationBudget {
	readonly #clock: Clock;
	/** By account; accounts are those of the configuration. */
	readonly #buckets = new Map<string, {readonly tokens: number; readonly atMs: number}>();

	/** @param clock - Source of time. */
	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/**
	 * Takes a token for one cancellation.
	 *
	 * @param account - Account of the caller.
	 * @returns Whether the account had one left.
	 */
	take(account: string): boolean {
		const nowMs = this.#clock.monotonicMs();
		const {tokens, atMs} = this.#buckets.get(account) ?? {tokens: MAX_TOKENS, atMs: nowMs};
		const available = Math.min(MAX_TOKENS, tokens + ((nowMs - atMs) / 1000 * TOKENS_PER_S));
		const isAvailable = available >= 1;
		this.#buckets.set(account, {tokens: isAvailable ? available - 1 : available, atMs: nowMs});
		return isAvailable;
	}
}
