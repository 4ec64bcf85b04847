import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {queryOwner} from '@amaranthsail/agent/owner-query.js';

const OWNER = {
	ownerId: 'owner-1', epoch: 4, host: '10.0.0.1', port: 7500,
};

// Guards against an entry whose faulty answer ends the agent or is taken for an owner.
const CASES: ReadonlyArray<readonly [name: string, status: number, body: string, end: 'whole' | 'cut' | 'stalled', expected?: unknown]> = [
	['an owner', 200, JSON.stringify(OWNER), 'whole', {ownerId: 'owner-1', epoch: 4, address: {host: '10.0.0.1', port: 7500}}],
	['no owner', 404, JSON.stringify(OWNER), 'whole'],
	['an entry that is not ready', 503, '', 'whole'],
	['text that is not JSON', 200, 'owner-1', 'whole'],
	['null', 200, 'null', 'whole'],
	['an owner without an epoch', 200, JSON.stringify({...OWNER, epoch: undefined}), 'whole'],
	['an answer that is too long', 200, ' '.repeat(100_000), 'whole'],
	['a connection that ends within the answer', 200, JSON.stringify(OWNER), 'cut'],
	['an answer that stalls', 200, JSON.stringify(OWNER), 'stalled'],
];

describe('queryOwner', () => {
	const options = {failureDomain: 'catania', sharedSecret: 'a shared secret'};
	const entry = http.createServer((request, response) => {
		const [, status, body, end] = CASES[current]!;
		response.writeHead(status, {'content-length': body.length + (end === 'whole' ? 0 : 100)});
		response.write(body, () => {
			if (end === 'cut') {
				response.destroy();
			}
		});
	});
	let current = 0;
	let port: number;

	before(async () => {
		entry.listen(0, '127.0.0.1');
		await once(entry, 'listening');
		({port} = entry.address() as AddressInfo);
	});

	after(() => {
		entry.close();
		entry.closeAllConnections();
	});

	it('takes only a whole answer that names an owner', async () => {
		for (const [index, testCase] of CASES.entries()) {
			const [name] = testCase;
			current = index;
			expect(await queryOwner({host: '127.0.0.1', port}, options), name).to.deep.equal(testCase[4]);
		}
	});

	it('takes a refused connection for no answer', async () => {
		expect(await queryOwner({host: '127.0.0.1', port: 1}, options)).to.equal(undefined);
	});
});
