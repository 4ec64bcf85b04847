import process from 'node:process';
/** Source of time; injected so that tests and the bench can run on virtual time. */
export interface Clock {
	/**
	 * Reads the monotonic clock that all processes of one VM share.
	 *
	 * @returns Milliseconds since an arbitrary point, never decreasing.
	 */
	monotonicMs(): number;

	/**
	 * Reads the wall clock. Used only for display and for deadlines given by callers.
	 *
	 * @returns Milliseconds since the Unix epoch.
	 */
	wallMs(): number;
}

/** The clock of the machine. `hrtime` reads CLOCK_MONOTONIC, which is common to all processes of a VM. */
export class SystemClock implements Clock {
	monotonicMs(): number {
		return Number(process.hrtime.bigint() / 1000n) / 1000;
	}

	wallMs(): number {
		return Date.now();
	}
}

/** A clock that moves only when told to. */
export class ManualClock implements Clock {
	#nowMs: number;

	/**
	 * @param startMs - The first reading in milliseconds.
	 */
	constructor(startMs = 0) {
		this.#nowMs = startMs;
	}

	monotonicMs(): number {
		return this.#nowMs;
	}

	wallMs(): number {
		return this.#nowMs;
	}

	/**
	 * Moves the clock forward.
	 *
	 * @param byMs - Milliseconds to add; must not be negative.
	 * @throws RangeError when `byMs` is negative.
	 */
	advance(byMs: number): void {
		if (byMs < 0) {
			throw new RangeError(`a clock cannot go back by ${-byMs} ms`);
		}

		this.#nowMs += byMs;
	}
}
