import {HttpService} from './http-service.js';
import {RemoteObjectStore} from './object-store-client.js';
import type {HttpServiceOptions} from './service-call.js';

/** Client of the object store over undici. */
export class HttpObjectStore extends RemoteObjectStore {
	/**
	 * @param options - Address and bounds; 32 calls at once when they name no number.
	 */
	constructor(options: HttpServiceOptions) {
		super(new HttpService(options));
	}
}
