import type {VirtualTime} from './virtual-time.js';

/** A process or VM that can be frozen and killed. What reaches it while it is frozen waits, as in a socket's buffer. */
export class SimNode {
	readonly #time: VirtualTime;
	#isAlive = true;
	#isFrozen = false;
	#waiting: Array<() => void> = [];

	/**
	 * @param time - The virtual time.
	 */
	constructor(time: VirtualTime) {
		this.#time = time;
	}

	/** Whether it has not been killed. */
	get isAlive(): boolean {
		return this.#isAlive;
	}

	/** Whether it runs now. */
	get isRunning(): boolean {
		return this.#isAlive && !this.#isFrozen;
	}

	/**
	 * Runs a callback in this node: now, or when it is no longer frozen, or never when it is dead.
	 *
	 * @param run - The callback.
	 */
	deliver(run: () => void): void {
		if (!this.#isAlive) {
			return;
		}

		if (this.#isFrozen) {
			this.#waiting.push(run);
			return;
		}

		run();
	}

	/**
	 * Repeats a callback while the node lives. A frozen node misses the runs in between, as a timer does.
	 *
	 * @param delayMs - Gives the time until the next run.
	 * @param run - The callback.
	 */
	repeat(delayMs: () => number, run: () => void): void {
		this.#time.after(delayMs(), () => {
			this.deliver(() => {
				run();
				this.repeat(delayMs, run);
			});
		});
	}

	/** Stops the node as SIGSTOP does. */
	freeze(): void {
		this.#isFrozen = true;
	}

	/** Lets a frozen node go on; what has waited is handled first. */
	thaw(): void {
		this.#isFrozen = false;
		const waiting = this.#waiting;
		this.#waiting = [];
		for (const run of waiting) {
			this.deliver(run);
		}
	}

	/** Ends the node as SIGKILL does. */
	kill(): void {
		this.#isAlive = false;
		this.#waiting = [];
	}
}
