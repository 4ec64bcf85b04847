/** After an answer the timeout is this multiple of the time that the answer took. */
const ANSWER_TIME_FACTOR = 3;

/** Factor by which the timeout grows after a call without an answer. */
const BACKOFF_FACTOR = 2;

/**
 * Timeout that grows while answers are slow.
 *
 * A store that runs few transactions at a time keeps timed-out calls in its queue, so early retries would keep every
 * call from being answered.
 */
export class AdaptiveTimeout {
	#currentMs: number;

	/**
	 * @param minMs - Timeout while answers are fast, in milliseconds.
	 * @param maxMs - Largest timeout, in milliseconds.
	 */
	constructor(readonly minMs: number, readonly maxMs: number) {
		this.#currentMs = minMs;
	}

	/** Timeout for the next call, in milliseconds. */
	get currentMs(): number {
		return this.#currentMs;
	}

	/** @param tookMs - Time that the answer took. */
	recordAnswer(tookMs: number): void {
		this.#currentMs = Math.min(this.maxMs, Math.max(this.minMs, tookMs * ANSWER_TIME_FACTOR));
	}

	/** @param timeoutMs - Timeout of the call that timed out. */
	recordTimeout(timeoutMs: number): void {
		this.#currentMs = Math.min(this.maxMs, Math.max(this.#currentMs, timeoutMs * BACKOFF_FACTOR));
	}
}
