/** Set of ids that expire after a retention period. */
export class RecentIds {
	readonly #addedAtMs: Map<string, number>;

	/** @param retentionMs - How long an id is kept, in milliseconds. */
	constructor(readonly retentionMs: number) {
		this.#addedAtMs = new Map();
	}

	/**
	 * Adds an id and removes expired ones.
	 *
	 * @param id - The id.
	 * @param nowMs - Present time on the monotonic clock.
	 */
	add(id: string, nowMs: number): void {
		// A known id is inserted again, so that the insertion order is the order of time.
		this.#addedAtMs.delete(id);
		this.#addedAtMs.set(id, nowMs);
		for (const [other, addedAtMs] of this.#addedAtMs) {
			if (nowMs - addedAtMs < this.retentionMs) {
				return;
			}

			this.#addedAtMs.delete(other);
		}
	}

	/** @returns Whether the id was added within the retention period. */
	has(id: string, nowMs: number): boolean {
		const addedAtMs = this.#addedAtMs.get(id);
		return addedAtMs !== undefined && nowMs - addedAtMs < this.retentionMs;
	}
}
