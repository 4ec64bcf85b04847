import type {ManualClock} from '@amaranthsail/core';

type Timer = {readonly atMs: number; readonly run: () => void};

/** Timers on a manual clock. Between two timers all pending promises are settled, so that a run is the same each time. */
export class VirtualTime {
	readonly clock: ManualClock;
	readonly #timers: Timer[] = [];

	/** @param clock - The clock; advanced by {@link VirtualTime.advance} alone. */
	constructor(clock: ManualClock) {
		this.clock = clock;
	}

	/** Milliseconds of the clock. */
	get nowMs(): number {
		return this.clock.monotonicMs();
	}

	/**
	 * Calls a function later.
	 *
	 * @param delayMs - Whole milliseconds from now.
	 * @param run - The function.
	 */
	after(delayMs: number, run: () => void): void {
		const timer: Timer = {atMs: this.nowMs + Math.max(0, Math.ceil(delayMs)), run};
		const index = this.#timers.findIndex(other => other.atMs > timer.atMs);
		this.#timers.splice(index === -1 ? this.#timers.length : index, 0, timer);
	}

	/** Waits on this clock. */
	readonly sleep = async (ms: number): Promise<void> => new Promise(resolve => {
		this.after(ms, resolve);
	});

	/**
	 * Advances the clock and runs the timers that become due, in order.
	 *
	 * @param byMs - Whole milliseconds.
	 */
	async advance(byMs: number): Promise<void> {
		const endMs = this.nowMs + byMs;
		await settle();
		while ((this.#timers[0]?.atMs ?? Number.POSITIVE_INFINITY) <= endMs) {
			const timer = this.#timers.shift()!;
			this.clock.advance(timer.atMs - this.nowMs);
			timer.run();
			await settle();
		}

		this.clock.advance(endMs - this.nowMs);
	}
}

/** Lets all promises settle that wait for no timer. */
async function settle(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}
