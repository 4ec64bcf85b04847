import type {VirtualTime} from './virtual-time.js';

/** A process or VM that can be paused and killed. Callbacks delivered during a pause are queued, as in a socket's buffer. */
export class SimNode {
	readonly #time: VirtualTime;
	#isAlive = true;
	#isPaused = false;
	#deferredCallbacks: Array<() => void> = [];

	/**
	 * @param time - The virtual time.
	 */
	constructor(time: VirtualTime) {
		this.#time = time;
	}

	/** Whether the node has not been killed. */
	get isAlive(): boolean {
		return this.#isAlive;
	}

	/** Whether the node is neither killed nor paused. */
	get isRunning(): boolean {
		return this.#isAlive && !this.#isPaused;
	}

	/**
	 * Runs a callback in this node: at once, after the resume if the node is paused, or never if it has been killed.
	 *
	 * @param callback - The callback.
	 */
	deliver(callback: () => void): void {
		if (!this.#isAlive) {
			return;
		}

		if (this.#isPaused) {
			this.#deferredCallbacks.push(callback);
			return;
		}

		callback();
	}

	/**
	 * Repeats a callback until the node is killed. Runs that would fall into a pause are missed, as with a timer of a paused process.
	 *
	 * @param nextDelayMs - Returns the delay until the next run.
	 * @param callback - The callback.
	 */
	repeat(nextDelayMs: () => number, callback: () => void): void {
		this.#time.schedule(nextDelayMs(), () => {
			this.deliver(() => {
				callback();
				this.repeat(nextDelayMs, callback);
			});
		});
	}

	/** Pauses the node, as SIGSTOP does. */
	pause(): void {
		this.#isPaused = true;
	}

	/** Resumes a paused node, as SIGCONT does, and first runs the queued callbacks. */
	resume(): void {
		this.#isPaused = false;
		const deferredCallbacks = this.#deferredCallbacks;
		this.#deferredCallbacks = [];
		for (const callback of deferredCallbacks) {
			this.deliver(callback);
		}
	}

	/** Ends the node, as SIGKILL does. */
	kill(): void {
		this.#isAlive = false;
		this.#deferredCallbacks = [];
	}
}
