/** Number of incarnations that are remembered; messages of older ones have arrived long ago. */
const MAX_REMEMBERED = 8;

/** Remembers which incarnations of the worker later ones have followed. Start times alone may mislead, as wall clocks jump. */
export class SupersededIncarnations {
	#startTimesMs: ReadonlyArray<number | undefined> = [];

	/**
	 * Records that one incarnation has followed another.
	 *
	 * @param earlierMs - Start time of the earlier one.
	 * @param laterMs - Start time of the later one.
	 */
	record(earlierMs: number | undefined, laterMs: number | undefined): void {
		this.#startTimesMs = [...this.#startTimesMs.filter(startedAtMs => startedAtMs !== laterMs), earlierMs].slice(-MAX_REMEMBERED);
	}

	/** @returns Whether, as far as the agent has seen, a message of one incarnation is older than the other incarnation. */
	isEarlier(startedAtMs: number | undefined, thanMs: number | undefined): boolean {
		return this.#startTimesMs.includes(startedAtMs) || (startedAtMs ?? 0) < (thanMs ?? 0);
	}
}
