import {NodeHttpService} from './node-http-service.js';
import {RemoteObjectStore} from './object-store-client.js';
import type {HttpServiceOptions} from './service-call.js';

/** Client of the object store over node:http, for processes with little memory. */
export class NodeHttpObjectStore extends RemoteObjectStore {
	/**
	 * @param options - Address and bounds; 4 calls at once when they name no number.
	 */
	constructor(options: HttpServiceOptions) {
		super(new NodeHttpService(options));
	}
}
