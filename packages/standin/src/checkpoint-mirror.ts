import {Buffer} from 'node:buffer';
import type {ObjectStore} from '@amaranthsail/backing-services';

/** Keeps the checkpoints of a worker in the object store, so that a worker in another process can continue from them. */
export class CheckpointMirror {
	readonly #checkpoints: Map<string, number>;
	readonly #store: ObjectStore;
	/** Progress by checkpoint key, as the object store has it. */
	readonly #stored = new Map<string, number>();
	#storing = false;

	/**
	 * @param checkpoints - Progress by checkpoint key, as the worker has it.
	 * @param store - The object store.
	 */
	constructor(checkpoints: Map<string, number>, store: ObjectStore) {
		this.#checkpoints = checkpoints;
		this.#store = store;
	}

	/**
	 * Fetches a checkpoint that this worker did not write. One that is absent or cannot be read is left out, and the task starts anew.
	 *
	 * @param key - The checkpoint's object key.
	 */
	async load(key: string): Promise<void> {
		if (this.#checkpoints.has(key)) {
			return;
		}

		const result = await this.#store.get(key);
		const progressMs = result.ok && result.value ? Number(Buffer.from(result.value).toString('utf8')) : Number.NaN;
		if (Number.isFinite(progressMs)) {
			this.#checkpoints.set(key, progressMs);
			this.#stored.set(key, progressMs);
		}
	}

	/** Stores the checkpoints that changed; one that fails is stored again on the next call. */
	async store(): Promise<void> {
		if (this.#storing) {
			return;
		}

		this.#storing = true;
		for (const [key, progressMs] of this.#checkpoints) {
			if (this.#stored.get(key) !== progressMs) {
				const result = await this.#store.put(key, Buffer.from(String(progressMs)));
				if (result.ok) {
					this.#stored.set(key, progressMs);
				}
			}
		}

		this.#storing = false;
	}
}
