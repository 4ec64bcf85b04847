import type {Clock} from '@amaranthsail/core';

type Unanswered = {readonly atMs: number; readonly configRowVersion: number};

/**
 * Keeps account of writes that may still take effect: calls in progress, and calls that ended without an answer. While a
 * row has one, "not stored" is not known to be true.
 */
export class UnsettledWrites {
	readonly #clock: Clock;
	readonly #retentionMs: number;
	readonly #callsInProgress = new Map<string, number>();
	/** In the order of time. */
	readonly #unanswered = new Map<string, Unanswered>();

	/**
	 * @param clock - Source of time.
	 * @param retentionMs - Time after which a call without an answer can no longer take effect, in milliseconds.
	 */
	constructor(clock: Clock, retentionMs: number) {
		this.#clock = clock;
		this.#retentionMs = retentionMs;
	}

	/**
	 * Counts a call as in progress until it ends.
	 *
	 * @param rowKey - Key of the row that the call writes.
	 * @param call - The call.
	 * @returns The result of the call.
	 */
	async track<Result>(rowKey: string, call: Promise<Result>): Promise<Result> {
		this.#callsInProgress.set(rowKey, (this.#callsInProgress.get(rowKey) ?? 0) + 1);
		try {
			return await call;
		} finally {
			const remaining = this.#callsInProgress.get(rowKey)! - 1;
			if (remaining > 0) {
				this.#callsInProgress.set(rowKey, remaining);
			} else {
				this.#callsInProgress.delete(rowKey);
			}
		}
	}

	/**
	 * Records that a write got no answer.
	 *
	 * @param rowKey - Key of the row.
	 * @param configRowVersion - Version of the configuration row on which the write was conditional; a write without such
	 * a condition is not settled by a change of the configuration.
	 */
	recordUnanswered(rowKey: string, configRowVersion = Number.POSITIVE_INFINITY): void {
		const nowMs = this.#clock.monotonicMs();
		const earlier = this.#unanswered.get(rowKey);
		// A known row is inserted again, so that the insertion order is the order of time.
		this.#unanswered.delete(rowKey);
		this.#unanswered.set(rowKey, {atMs: nowMs, configRowVersion: Math.max(configRowVersion, earlier?.configRowVersion ?? 0)});
		for (const [other, {atMs}] of this.#unanswered) {
			if (nowMs - atMs < this.#retentionMs) {
				return;
			}

			this.#unanswered.delete(other);
		}
	}

	/** @param rowKey - A row whose present content is known to be final for all earlier writes. */
	settle(rowKey: string): void {
		this.#unanswered.delete(rowKey);
	}

	/**
	 * Records that the store has no such row and has a newer configuration, so that conditional writes no longer take effect.
	 *
	 * @param rowKey - Key of the row.
	 * @param configRowVersion - Highest version of the configuration row that has been replaced.
	 */
	settleReplaced(rowKey: string, configRowVersion: number): void {
		const unanswered = this.#unanswered.get(rowKey);
		if (unanswered && unanswered.configRowVersion <= configRowVersion) {
			this.#unanswered.delete(rowKey);
		}
	}

	/** @returns Whether a write of the row is in progress, or has ended without an answer and may still take effect. */
	mayTakeEffect(rowKey: string): boolean {
		if (this.#callsInProgress.has(rowKey)) {
			return true;
		}

		const unanswered = this.#unanswered.get(rowKey);
		return unanswered !== undefined && this.#clock.monotonicMs() - unanswered.atMs < this.#retentionMs;
	}
}
