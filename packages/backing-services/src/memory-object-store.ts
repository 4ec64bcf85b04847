import {ok, type Result} from '@amaranthsail/core';
import {type Fault, FaultPlan} from './fault-plan.js';
import type {ObjectError, ObjectStore} from './object-store.js';

type StoredObject = {
	readonly current: Uint8Array | undefined;
	/** The content before the last change, for stale reads. */
	readonly previous: Uint8Array | undefined;
};

/** In-memory object store with injected faults. */
export class MemoryObjectStore implements ObjectStore {
	/** The fault plan of this store. */
	readonly faults: FaultPlan;
	readonly #objects = new Map<string, StoredObject>();

	/**
	 * @param faults - Injects faults; none by default.
	 */
	constructor(faults: FaultPlan = new FaultPlan()) {
		this.faults = faults;
	}

	/**
	 * Stores a copy of the bytes under a key.
	 *
	 * @param key - The object key.
	 * @param content - The bytes.
	 * @returns Nothing, or the error of an injected fault.
	 */
	async put(key: string, content: Uint8Array): Promise<Result<undefined, ObjectError>> {
		return this.faults.run({
			service: 'objects', operation: 'put', key, hasEffect: true,
		}, () => this.#replace(key, Uint8Array.from(content)));
	}

	/**
	 * Reads an object.
	 *
	 * @param key - The object key.
	 * @returns A copy of the bytes, or undefined when there is no such object.
	 */
	async get(key: string): Promise<Result<Uint8Array | undefined, ObjectError>> {
		return this.faults.run({
			service: 'objects', operation: 'get', key, hasEffect: false,
		}, fault => ok(readObject(this.#objects.get(key), fault)));
	}

	/**
	 * Deletes an object; deleting an absent one succeeds.
	 *
	 * @param key - The object key.
	 * @returns Nothing, or the error of an injected fault.
	 */
	async delete(key: string): Promise<Result<undefined, ObjectError>> {
		return this.faults.run({
			service: 'objects', operation: 'delete', key, hasEffect: true,
		}, () => this.#replace(key, undefined));
	}

	#replace(key: string, content: Uint8Array | undefined): Result<undefined, ObjectError> {
		this.#objects.set(key, {current: content, previous: this.#objects.get(key)?.current});
		return ok(undefined);
	}
}

function readObject(stored: StoredObject | undefined, fault: Fault): Uint8Array | undefined {
	const content = fault.kind === 'stale_read' ? stored?.previous : stored?.current;
	return content?.slice(0, fault.kind === 'truncated' ? Math.floor(content.length / 2) : undefined);
}
