/** Reads that may run at once; further requests share the next one. Ordinary load stays below. */
const MAX_CONCURRENT_READS = 8;

/** Bounds the reads of the configuration that requests without a route cause, however many of them there are. */
export class SharedRefresh {
	readonly #refresh: () => Promise<unknown>;
	readonly #running = new Set<Promise<unknown>>();
	#next: Promise<unknown> | undefined;

	/** @param refresh - Reads the configuration; never rejects. */
	constructor(refresh: () => Promise<unknown>) {
		this.#refresh = refresh;
	}

	/** Resolves after a read that has begun after this call. */
	async run(): Promise<void> {
		if (this.#running.size < MAX_CONCURRENT_READS) {
			await this.#start();
			return;
		}

		this.#next ??= (async () => {
			await Promise.race(this.#running);
			this.#next = undefined;
			await this.#start();
		})();
		await this.#next;
	}

	async #start(): Promise<void> {
		const read = this.#refresh();
		this.#running.add(read);
		try {
			await read;
		} finally {
			this.#running.delete(read);
		}
	}
}
