import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {JsonClient, type JsonRequest} from '@amaranthsail/core';

const PART_INTERVAL_MS = 60;

/** Above the interval between two parts, below the time of the whole answer. */
const TIMEOUT_MS = 300;

const PART_COUNT = 10;

describe('large answers over a slow link', () => {
	let server: Server;
	let address = '';

	before(async () => {
		server = createServer((message, response) => {
			const stalls = message.url === '/stalls';
			let sent = 0;
			response.write('[0');
			const timer = setInterval(() => {
				sent++;
				if (sent === PART_COUNT) {
					clearInterval(timer);
					response.end(']');
				} else if (!stalls || sent === 1) {
					response.write(',0');
				}

				if (stalls && sent === 1) {
					clearInterval(timer);
				}
			}, PART_INTERVAL_MS);
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	});

	after(() => {
		server.close();
		server.closeAllConnections();
	});

	const receive = async (request: Pick<JsonRequest, 'path' | 'transferTimeoutMs' | 'onProgress'>): Promise<boolean> => {
		const client = new JsonClient(address);
		const answer = await client.call({method: 'GET', timeoutMs: TIMEOUT_MS, ...request});
		client.close();
		return answer.ok;
	};

	const cases: ReadonlyArray<{readonly title: string; readonly request: Pick<JsonRequest, 'path' | 'transferTimeoutMs' | 'onProgress'>; readonly isOk: boolean}> = [
		{title: 'fails after the timeout without a time for the transfer', request: {path: '/flows'}, isOk: false},
		{title: 'receives an answer that keeps arriving', request: {path: '/flows', transferTimeoutMs: 20_000}, isOk: true},
		{title: 'fails if the answer stops arriving', request: {path: '/stalls', transferTimeoutMs: 20_000}, isOk: false},
		{title: 'fails if the transfer takes too long', request: {path: '/flows', transferTimeoutMs: TIMEOUT_MS + 10}, isOk: false},
		{title: 'fails once the answer is not needed any more', request: {path: '/flows', transferTimeoutMs: 20_000, onProgress: (_status, receivedBytes) => receivedBytes < 4}, isOk: false},
		{title: 'receives an answer whose progress is reported', request: {path: '/flows', transferTimeoutMs: 20_000, onProgress: status => status === 200}, isOk: true},
	];
	for (const {title, request, isOk} of cases) {
		it(title, async () => {
			expect(await receive(request)).to.equal(isOk);
		});
	}
});
