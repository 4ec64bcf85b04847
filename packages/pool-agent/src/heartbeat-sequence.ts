/** A number that follows another one is higher by at most this, plus one for each millisecond between the heartbeats. */
const MAX_STEP = 1000;

/**
 * Number of heartbeats in a row, each of which follows the one before, after which they are the worker's own although
 * they don't follow the known number. A late heartbeat is rarely followed by two later ones that are late as well.
 */
const MIN_RUN = {
	/** Lower by what late heartbeats may be. */
	behind: 3,
	/** Too high for the time since the last one, or too low for a late one. */
	far: 2,
} as const;

type Numbered = {readonly sequence: number; readonly atMs: number};

/**
 * Checks the numbers of the heartbeats of one incarnation: late ones are left out, and one odd number from another
 * writer doesn't keep out the worker's own.
 */
export class HeartbeatSequence {
	#known: Numbered;
	/** Newest heartbeat that didn't follow the known one, and how many have followed each other so far. */
	#other: (Numbered & {readonly count: number}) | undefined;

	/**
	 * @param sequence - Number of the first heartbeat.
	 * @param atMs - Time at which it arrived.
	 */
	constructor(sequence: number, atMs: number) {
		this.#known = {sequence, atMs};
	}

	/** Number of the newest heartbeat that was taken. */
	get known(): number {
		return this.#known.sequence;
	}

	/**
	 * @param sequence - Number of a heartbeat.
	 * @param atMs - Time at which it arrived.
	 * @returns Whether its content is newer than what was taken before.
	 */
	take(sequence: number, atMs: number): boolean {
		const next = {sequence, atMs};
		if (!isFollowing(this.#known, next)) {
			const other = this.#other;
			const count = other && isFollowing(other, next) ? other.count + 1 : 1;
			this.#other = {...next, count};
			const isBehind = sequence <= this.#known.sequence && this.#known.sequence - sequence <= MAX_STEP;
			if (count < (isBehind ? MIN_RUN.behind : MIN_RUN.far)) {
				return false;
			}
		}

		this.#known = next;
		this.#other = undefined;
		return true;
	}
}

function isFollowing(previous: Numbered, next: Numbered): boolean {
	const step = next.sequence - previous.sequence;
	return step > 0 && step <= MAX_STEP + (next.atMs - previous.atMs);
}
