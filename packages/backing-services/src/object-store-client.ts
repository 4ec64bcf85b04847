import {err, ok, type Result} from '@amaranthsail/core/result.js';
import type {ObjectError, ObjectStore} from './object-store.js';
import {parseResponse} from './parse-response.js';
import type {ServiceResponse, ServiceClient} from './service-call.js';

/** Client of the object store over any {@link ServiceClient}. */
export class ObjectStoreClient implements ObjectStore {
	readonly #service: ServiceClient;

	/**
	 * @param service - Sends the requests.
	 */
	constructor(service: ServiceClient) {
		this.#service = service;
	}

	/**
	 * Stores bytes under a key.
	 *
	 * @param key - The object key.
	 * @param content - The bytes.
	 * @returns Nothing, or `outcome_unknown` when the request was sent and no complete response was received.
	 */
	async put(key: string, content: Uint8Array): Promise<Result<undefined, ObjectError>> {
		return readChange(await this.#service.call({
			method: 'PUT', path: pathOf(key), contentType: 'application/octet-stream', body: content,
		}));
	}

	/**
	 * Reads an object.
	 *
	 * @param key - The object key.
	 * @returns The bytes, or undefined when there is no such object. A read without a response is `unavailable`, as it has no effect.
	 */
	async get(key: string): Promise<Result<Uint8Array | undefined, ObjectError>> {
		const response = await this.#service.call({method: 'GET', path: pathOf(key)});
		if (response.kind === 'response' && response.status === 200) {
			return ok(response.body);
		}

		const parsed = parseResponse(response);
		if (parsed.kind === 'error' && parsed.status === 404 && parsed.error.kind === 'not_found') {
			return ok(undefined);
		}

		if (parsed.kind === 'error' && parsed.status === 400 && parsed.error.kind === 'rejected') {
			return err({kind: 'rejected', message: parsed.error.message});
		}

		return err({kind: 'unavailable', message: messageOf(response)});
	}

	/**
	 * Deletes an object; deleting an absent one succeeds.
	 *
	 * @param key - The object key.
	 * @returns Nothing, or `outcome_unknown` when the request was sent and no complete response was received.
	 */
	async delete(key: string): Promise<Result<undefined, ObjectError>> {
		return readChange(await this.#service.call({method: 'DELETE', path: pathOf(key)}));
	}

	/** Closes all connections; calls in flight end without a response. */
	async close(): Promise<void> {
		await this.#service.close();
	}
}

function pathOf(key: string): string {
	return `/v1/objects/${encodeURIComponent(key)}`;
}

function readChange(response: ServiceResponse): Result<undefined, ObjectError> {
	const parsed = parseResponse(response);
	if (parsed.kind === 'value') {
		return ok(undefined);
	}

	if (parsed.kind === 'not_sent' || (parsed.kind === 'error' && parsed.status === 503 && parsed.error.kind === 'unavailable')) {
		return err({kind: 'unavailable', message: messageOf(response)});
	}

	return parsed.kind === 'error' && parsed.status === 400 && parsed.error.kind === 'rejected'
		? err({kind: 'rejected', message: parsed.error.message})
		: err({kind: 'outcome_unknown', message: messageOf(response)});
}

function messageOf(response: ServiceResponse): string {
	return response.kind === 'response' ? `status ${response.status}` : response.message;
}
