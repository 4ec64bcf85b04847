import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {queryOwner} from '@amaranthsail/agent/owner-query.js';

const OWNER = {
	ownerId: 'owner-1', epoch: 4, host: '10.0.0.1', port: 7500,
};

// Guards against a faulty answer of an entry that crashes the agent or is accepted as an owner.
const CASES: ReadonlyArray<readonly [name: string, status: number, body: string, end: 'complete' | 'truncated' | 'stalled', expected?: unknown]> = [
	['an owner', 200, JSON.stringify(OWNER), 'complete', {ownerId: 'owner-1', epoch: 4, address: {host: '10.0.0.1', port: 7500}}],
	['no owner', 404, JSON.stringify(OWNER), 'complete'],
	['an entry that is not ready', 503, '', 'complete'],
	['text that is not JSON', 200, 'owner-1', 'complete'],
	['null', 200, 'null', 'complete'],
	['an owner without an epoch', 200, JSON.stringify({...OWNER, epoch: undefined}), 'complete'],
	['an answer that is too long', 200, ' '.repeat(100_000), 'complete'],
	['a connection that ends within the answer', 200, JSON.stringify(OWNER), 'truncated'],
	['an answer that stalls', 200, JSON.stringify(OWNER), 'stalled'],
];

describe('queryOwner', () => {
	const options = {failureDomain: 'catania', sharedSecret: 'a shared secret'};
	const entry = http.createServer((request, response) => {
		const [, status, body, end] = CASES[current]!;
		response.writeHead(status, {'content-length': body.length + (end === 'complete' ? 0 : 100)});
		response.write(body, () => {
			if (end === 'truncated') {
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

	it('accepts only a complete answer with an owner', async () => {
		for (const [index, testCase] of CASES.entries()) {
			const [name] = testCase;
			current = index;
			expect(await queryOwner({host: '127.0.0.1', port}, options), name).to.deep.equal(testCase[4]);
		}
	});

	it('returns undefined when the connection is refused', async () => {
		expect(await queryOwner({host: '127.0.0.1', port: 1}, options)).to.equal(undefined);
	});
});
