/** Counts changes and wakes those who wait for the next one. */
export class ChangeSignal {
	#version = 0;
	#waiters: Array<() => void> = [];

	/** Number of changes so far. */
	get version(): number {
		return this.#version;
	}

	/** Records a change. */
	notify(): void {
		this.#version++;
		const waiters = this.#waiters;
		this.#waiters = [];
		for (const waiter of waiters) {
			waiter();
		}
	}

	/** @returns Once the next change has been recorded. */
	async next(): Promise<void> {
		return new Promise(resolve => {
			this.#waiters.push(resolve);
		});
	}
}
