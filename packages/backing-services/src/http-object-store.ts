import {HttpService} from './http-service.js';
import {ObjectStoreClient} from './object-store-client.js';
import type {HttpServiceOptions} from './service-call.js';

/** Client of the object store, over undici. */
export class HttpObjectStore extends ObjectStoreClient {
	/**
	 * @param options - Address and limits; 32 parallel calls by default.
	 */
	constructor(options: HttpServiceOptions) {
		super(new HttpService(options));
	}
}
