import {Buffer} from 'node:buffer';
import type {ObjectStore} from '@amaranthsail/backing-services';

/** Copies the checkpoints of a worker to the object store, so that a worker in another process can continue from them. */
export class CheckpointMirror {
	readonly #progressMsByKey: Map<string, number>;
	readonly #objectStore: ObjectStore;
	/** Progress by checkpoint key in the object store. */
	readonly #storedProgressMsByKey = new Map<string, number>();
	#isStoring = false;

	/**
	 * @param progressMsByKey - Progress by checkpoint key on the worker; loaded checkpoints are added to it.
	 * @param objectStore - The object store.
	 */
	constructor(progressMsByKey: Map<string, number>, objectStore: ObjectStore) {
		this.#progressMsByKey = progressMsByKey;
		this.#objectStore = objectStore;
	}

	/**
	 * Loads a checkpoint that this worker did not write. If it is absent or cannot be read, the task starts from the beginning.
	 *
	 * @param key - The object key of the checkpoint.
	 */
	async load(key: string): Promise<void> {
		if (this.#progressMsByKey.has(key)) {
			return;
		}

		const result = await this.#objectStore.get(key);
		const progressMs = result.ok && result.value ? Number(Buffer.from(result.value).toString('utf8')) : Number.NaN;
		if (Number.isFinite(progressMs)) {
			this.#progressMsByKey.set(key, progressMs);
			this.#storedProgressMsByKey.set(key, progressMs);
		}
	}

	/** Stores the changed checkpoints; a failed one is retried on the next call. */
	async store(): Promise<void> {
		if (this.#isStoring) {
			return;
		}

		this.#isStoring = true;
		for (const [key, progressMs] of this.#progressMsByKey) {
			if (this.#storedProgressMsByKey.get(key) !== progressMs) {
				const result = await this.#objectStore.put(key, Buffer.from(String(progressMs)));
				if (result.ok) {
					this.#storedProgressMsByKey.set(key, progressMs);
				}
			}
		}

		this.#isStoring = false;
	}
}
