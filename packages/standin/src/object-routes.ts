import type {ObjectStore} from '@amaranthsail/backing-services';
import type {Counters} from './counters.js';
import {json, type AppRequest, type Reply, type Route} from './http-server.js';
import {decodeRest, replyOf} from './replies.js';

const PATTERN = '/v1/objects/*';
const PREFIX = '/v1/objects/';

/**
 * Makes the routes of the object store.
 *
 * @param store - Holds the objects.
 * @param counters - Counts what is served.
 * @returns The routes.
 */
export function objectRoutes(store: ObjectStore, counters: Counters): readonly Route[] {
	const withKey = async (request: AppRequest, handle: (key: string) => Promise<Reply>): Promise<Reply> => {
		const key = decodeRest(request.path, PREFIX);
		if (key === undefined) {
			return json({kind: 'rejected', message: 'expected /v1/objects/{key}, URL-encoded'}, 400);
		}

		counters.objects += 1;
		return handle(key);
	};

	return [
		['PUT', PATTERN, async request => withKey(request, async key => replyOf(await store.put(key, request.body), () => json({})))],
		['GET', PATTERN, async request => withKey(request, async key => replyOf(await store.get(key), body =>
			body ? {kind: 'bytes', body} : json({kind: 'not_found', message: 'no such object'}, 404)))],
		['DELETE', PATTERN, async request => withKey(request, async key => replyOf(await store.delete(key), () => json({})))],
	];
}
