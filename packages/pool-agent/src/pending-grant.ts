import type {LeaseGrant} from '@amaranthsail/pool';

/** Acknowledgement and lease that have been granted to the incarnation whose lists the agent has. */
export class PendingGrant {
	#ackSequence = 0;
	#leaseUntilMs = 0;

	/** Number up to which ends are acknowledged. */
	get ackSequence(): number {
		return this.#ackSequence;
	}

	/**
	 * Extends the lease; one that ends later stays.
	 *
	 * @param leaseUntilMs - Its end on the worker's clock.
	 */
	extendLease(leaseUntilMs: number): void {
		this.#leaseUntilMs = Math.max(this.#leaseUntilMs, leaseUntilMs);
	}

	/**
	 * Acknowledges ends.
	 *
	 * @param ackSequence - Number up to which they are stored.
	 * @returns Whether further ends are acknowledged than before.
	 */
	acknowledge(ackSequence: number): boolean {
		const isHigher = ackSequence > this.#ackSequence;
		this.#ackSequence = Math.max(this.#ackSequence, ackSequence);
		return isHigher;
	}

	/** Drops what belongs to an earlier incarnation. */
	reset(): void {
		this.#ackSequence = 0;
		this.#leaseUntilMs = 0;
	}

	/** @returns The grant for the incarnation with this start time, or undefined if nothing has been granted. */
	for(startedAtMs: number): LeaseGrant | undefined {
		return this.#ackSequence === 0 && this.#leaseUntilMs === 0
			? undefined
			: {startedAtMs, ackSequence: this.#ackSequence, ...(this.#leaseUntilMs > 0 && {leaseUntilMs: this.#leaseUntilMs})};
	}
}
