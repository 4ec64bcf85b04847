import type {Result} from '@amaranthsail/core';

/** Errors of the object store. */
export type ObjectError
	= | {readonly kind: 'unavailable'; readonly message: string}
	/** A put or delete was sent and no response was received. Both are idempotent, so they can be repeated safely. */
		| {readonly kind: 'outcome_unknown'; readonly message: string}
		| {readonly kind: 'rejected'; readonly message: string};

/** The platform's object store. */
export interface ObjectStore {
	/** Stores bytes under a key, replacing an existing object. */
	put(key: string, content: Uint8Array): Promise<Result<undefined, ObjectError>>;

	/**
	 * Reads an object.
	 *
	 * @returns The bytes, or undefined when there is no such object.
	 */
	get(key: string): Promise<Result<Uint8Array | undefined, ObjectError>>;

	/** Deletes an object; deleting an absent one succeeds. */
	delete(key: string): Promise<Result<undefined, ObjectError>>;
}
