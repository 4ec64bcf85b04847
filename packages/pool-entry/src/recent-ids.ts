/** Ids that were added within a period. */
export class RecentIds {
	readonly #addedAtMs: Map<string, number>;

	/** @param keepMs - How long an id is remembered, in milliseconds. */
	constructor(readonly keepMs: number) {
		this.#addedAtMs = new Map();
	}

	/**
	 * Remembers an id, and forgets those whose time has passed.
	 *
	 * @param id - The id.
	 * @param nowMs - Monotonic clock.
	 */
	add(id: string, nowMs: number): void {
		// Insertion order is the order of time, as a known id is inserted anew.
		this.#addedAtMs.delete(id);
		this.#addedAtMs.set(id, nowMs);
		for (const [other, addedAtMs] of this.#addedAtMs) {
			if (nowMs - addedAtMs < this.keepMs) {
				return;
			}

			this.#addedAtMs.delete(other);
		}
	}

	/** @returns Whether the id was added within the period. */
	has(id: string, nowMs: number): boolean {
		const addedAtMs = this.#addedAtMs.get(id);
		return addedAtMs !== undefined && nowMs - addedAtMs < this.keepMs;
	}
}
