import type {ObjectStore} from '@amaranthsail/backing-services';
import type {Counters} from './counters.js';
import {jsonReply, type HttpRequest, type Reply, type Route} from './http-server.js';
import {decodePathRemainder, createReply} from './replies.js';

const OBJECT_PATTERN = '/v1/objects/*';
const OBJECT_PREFIX = '/v1/objects/';

/**
 * Creates the routes of the object store.
 *
 * @param store - The object store.
 * @param counters - Counts the requests.
 * @returns The routes.
 */
export function createObjectRoutes(store: ObjectStore, counters: Counters): readonly Route[] {
	const withKey = async (request: HttpRequest, handle: (key: string) => Promise<Reply>): Promise<Reply> => {
		const key = decodePathRemainder(request.path, OBJECT_PREFIX);
		if (key === undefined) {
			return jsonReply({kind: 'rejected', message: 'expected /v1/objects/{key}, URL-encoded'}, 400);
		}

		counters.objects += 1;
		return handle(key);
	};

	return [
		['PUT', OBJECT_PATTERN, async request => withKey(request, async key => createReply(await store.put(key, request.body), () => jsonReply({})))],
		['GET', OBJECT_PATTERN, async request => withKey(request, async key => createReply(await store.get(key), body =>
			body ? {kind: 'bytes', body} : jsonReply({kind: 'not_found', message: 'no such object'}, 404)))],
		['DELETE', OBJECT_PATTERN, async request => withKey(request, async key => createReply(await store.delete(key), () => jsonReply({})))],
	];
}
