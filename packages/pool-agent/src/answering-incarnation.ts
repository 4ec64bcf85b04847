/**
 * The incarnation that an order reaches is known from an answer of at most this age. A worker takes longer to start
 * again, and its new incarnation accepts the starts of earlier ones if it has the same id.
 */
const MAX_ANSWER_AGE_MS = 500;

/** Remembers which incarnation of a worker has answered last. */
export class AnsweringIncarnation {
	#answeredAtMs = Number.NEGATIVE_INFINITY;
	#startedAtMs: number | undefined;

	/** Start time of the incarnation that answered last; undefined if its answer did not include it. */
	get startedAtMs(): number | undefined {
		return this.#startedAtMs;
	}

	/**
	 * Records an answer of the worker.
	 *
	 * @param startedAtMs - Start time of the answering incarnation, if the answer includes it.
	 * @param nowMs - Time of the answer.
	 */
	recordAnswer(startedAtMs: number | undefined, nowMs: number): void {
		this.#startedAtMs = startedAtMs;
		this.#answeredAtMs = nowMs;
	}

	/** Records a call without an answer. */
	recordFailure(): void {
		this.#answeredAtMs = Number.NEGATIVE_INFINITY;
	}

	/** @returns Whether the last answer is recent enough to tell which incarnation the next call reaches. */
	isRecent(nowMs: number): boolean {
		return nowMs - this.#answeredAtMs <= MAX_ANSWER_AGE_MS;
	}

	/** @returns Whether the incarnation that answered last is the one with this start time. */
	isSame(startedAtMs: number): boolean {
		return this.#startedAtMs === undefined || this.#startedAtMs === startedAtMs;
	}
}
