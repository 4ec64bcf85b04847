import {NodeHttpService} from './node-http-service.js';
import {ObjectStoreClient} from './object-store-client.js';
import type {HttpServiceOptions} from './service-call.js';

/** Client of the object store, over node:http, for processes with little memory. */
export class NodeHttpObjectStore extends ObjectStoreClient {
	/**
	 * @param options - Address and limits; 4 parallel calls by default.
	 */
	constructor(options: HttpServiceOptions) {
		super(new NodeHttpService(options));
	}
}
