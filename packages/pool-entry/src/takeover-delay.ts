/** Longest random part of the delay, so that standbys rarely compete. */
const MAX_JITTER_MS = 200;

/** Additional delay of an entry on a small VM; longer than the random part, so that entries on larger VMs go first. */
const SMALL_VM_DELAY_MS = 300;

/** An entry is small if it has less than this share of the processor capacity of the largest known entry. */
const SMALL_VM_SHARE = 0.75;

/** Capacity below which an entry that knows no other entry counts as small. */
const MIN_LEADER_CORES = 0.5;

/**
 * Decides how long a standby waits before it replaces a leader that has failed.
 *
 * Right after a takeover the leader reconnects to every worker. On a pool of hundreds of workers this takes a small VM
 * longer than the other entries wait for an answer, so larger VMs take over first.
 */
export class TakeoverDelay {
	readonly #ownCores: number;
	#largestKnownCores = 0;

	/** @param ownCores - Processor capacity of this VM. */
	constructor(ownCores: number) {
		this.#ownCores = ownCores;
	}

	/** @param largestCores - Processor capacity of the largest entry that the leader knows. */
	recordLargest(largestCores: number): void {
		this.#largestKnownCores = largestCores;
	}

	/**
	 * @param random - Random number from 0 to 1.
	 * @returns Milliseconds to wait.
	 */
	nextMs(random: number): number {
		const isSmall = this.#largestKnownCores > 0
			? this.#ownCores < this.#largestKnownCores * SMALL_VM_SHARE
			: this.#ownCores < MIN_LEADER_CORES;
		return (random * MAX_JITTER_MS) + (isSmall ? SMALL_VM_DELAY_MS : 0);
	}
}
