/** An answer in time brings the timeout down to this multiple of what it took. */
const ANSWER_FACTOR = 3;

/** What a missing answer multiplies the timeout by. */
const BACK_OFF_FACTOR = 2;

/**
 * Timeout that grows while answers are slow.
 *
 * Answers a store that carries out few transactions at a time: attempts that are given up stay in its queue, so
 * repeating them early keeps every attempt from being answered.
 */
export class AdaptiveTimeout {
	#currentMs: number;

	/**
	 * @param leastMs - Timeout while answers are fast, in milliseconds.
	 * @param mostMs - Largest timeout, in milliseconds.
	 */
	constructor(readonly leastMs: number, readonly mostMs: number) {
		this.#currentMs = leastMs;
	}

	/** Timeout for the next call, in milliseconds. */
	get currentMs(): number {
		return this.#currentMs;
	}

	/** @param tookMs - Time that an answer took. */
	noteAnswer(tookMs: number): void {
		this.#currentMs = Math.min(this.mostMs, Math.max(this.leastMs, tookMs * ANSWER_FACTOR));
	}

	/** @param timeoutMs - Timeout of a call that got no answer. */
	noteTimeout(timeoutMs: number): void {
		this.#currentMs = Math.min(this.mostMs, Math.max(this.#currentMs, timeoutMs * BACK_OFF_FACTOR));
	}
}
