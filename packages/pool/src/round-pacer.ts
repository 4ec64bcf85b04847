/** Interval of rounds that no event has requested; they notice what changes with time alone, such as a wait that has expired. */
const IDLE_ROUND_INTERVAL_MS = 100;

/** Pause after a round, as a multiple of its duration. At most a third of the process's time is spent in rounds. */
const PAUSE_FACTOR = 2;

/** Longest pause between two requested rounds. It bounds the delay that pacing adds to a placement. */
const MAX_PAUSE_MS = 250;

/**
 * Decides when the leader's next scheduling round may run.
 *
 * After a takeover, hundreds of workers report within a second, and each report may allow a placement. A round for each
 * of them would keep the process from answering its peers, which would then replace a leader that is only busy.
 */
export class RoundPacer {
	#earliestAtMs = Number.NEGATIVE_INFINITY;
	#startedAtMs = Number.NEGATIVE_INFINITY;

	/**
	 * @param nowMs - Leader's clock.
	 * @param isRequested - Whether an event may allow a placement.
	 * @returns Whether a round may run now.
	 */
	isDue(nowMs: number, isRequested: boolean): boolean {
		return nowMs >= this.#earliestAtMs && (isRequested || nowMs - this.#startedAtMs >= IDLE_ROUND_INTERVAL_MS);
	}

	/**
	 * Records a round.
	 *
	 * @param startedAtMs - Leader's clock at its start.
	 * @param endedAtMs - Leader's clock at its end.
	 */
	recordRound(startedAtMs: number, endedAtMs: number): void {
		this.#startedAtMs = startedAtMs;
		this.#earliestAtMs = endedAtMs + Math.min(MAX_PAUSE_MS, PAUSE_FACTOR * (endedAtMs - startedAtMs));
	}
}
