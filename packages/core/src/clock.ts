import process from 'node:process';
/** Time source; injected so that tests and benchmarks can run on virtual time. */
export interface Clock {
	/**
	 * Reads the monotonic clock that all processes of one VM share.
	 *
	 * @returns Milliseconds since an arbitrary point, never decreasing.
	 */
	monotonicMs(): number;

	/**
	 * Reads the wall clock, which serves only for display and for callers' deadlines.
	 *
	 * @returns Milliseconds since the Unix epoch.
	 */
	wallMs(): number;
}

/** Clock of the operating system. `hrtime` reads CLOCK_MONOTONIC, which all processes of a VM share. */
export class SystemClock implements Clock {
	monotonicMs(): number {
		return Number(process.hrtime.bigint() / 1000n) / 1000;
	}

	wallMs(): number {
		return Date.now();
	}
}

/** Clock that advances only through {@link ManualClock.advance}. */
export class ManualClock implements Clock {
	#nowMs: number;

	/**
	 * @param startMs - Initial reading in milliseconds.
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
	 * Advances the clock.
	 *
	 * @param byMs - Milliseconds to add; must not be negative.
	 * @throws RangeError when `byMs` is negative.
	 */
	advance(byMs: number): void {
		if (byMs < 0) {
			throw new RangeError(`cannot set the clock back by ${-byMs} ms`);
		}

		this.#nowMs += byMs;
	}
}
