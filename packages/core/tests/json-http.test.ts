import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {JsonClient, type JsonRequest} from '@amaranthsail/core';

/** JSON.parse accepts this depth, JSON.stringify does not. */
const NESTING = 100_000;

describe('JsonClient', () => {
	let server: Server;
	let address = '';
	let requestCount = 0;

	before(async () => {
		server = createServer((message, response) => {
			requestCount++;
			message.resume();
			message.on('end', () => {
				response.end('{}');
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	});

	beforeEach(() => {
		requestCount = 0;
	});

	after(() => {
		server.close();
		server.closeAllConnections();
	});

	const circular: Record<string, unknown> = {};
	circular.self = circular;
	const clientOfServer = (): JsonClient => new JsonClient(address);
	const requestsReceived = (): number => requestCount;
	const unsendable: ReadonlyArray<{readonly title: string; readonly request: Partial<JsonRequest>}> = [
		{title: 'a header with a line feed', request: {headers: {'x-id': 'a\nb'}}},
		{title: 'a header with a NUL', request: {headers: {'x-id': 'a\0b'}}},
		{title: 'a header with a letter beyond Latin-1', request: {headers: {'x-id': 'aŁb'}}},
		{title: 'an invalid header name', request: {headers: {'x id': 'a'}}},
		{title: 'a path with a line feed', request: {path: '/a\nb'}},
		{title: 'an invalid method', request: {method: 'GE T'}},
		{title: 'a body that is too deeply nested', request: {body: JSON.parse(`${'['.repeat(NESTING)}${']'.repeat(NESTING)}`)}},
		{title: 'a circular body', request: {body: circular}},
		{title: 'a body with a bigint', request: {body: {run: 1n}}},
	];
	for (const {title, request} of unsendable) {
		it(`returns an error for ${title}, and sends later requests`, async () => {
			const client = clientOfServer();
			const answer = await client.call({method: 'POST', path: '/', timeoutMs: 1000, ...request});
			expect(answer).to.deep.include({ok: false});
			expect(answer.ok ? undefined : answer.error.kind).to.equal('not_sent');
			expect(requestsReceived()).to.equal(0);
			const next = await client.call({method: 'POST', path: '/', body: {}, timeoutMs: 1000});
			expect(next.ok).to.equal(true);
			client.close();
		});
	}

	it('waits for an answer when the timeout is longer than a timer can hold', async () => {
		const client = new JsonClient(address);
		const answer = await client.call({method: 'GET', path: '/', timeoutMs: 9e15});
		expect(answer).to.deep.include({ok: true});
		client.close();
	});

	for (const invalid of ['a\nb:80', 'a\0b:80', 'a:0', 'a:65536', 'a:', ':80', '80']) {
		it(`returns an error for the address ${JSON.stringify(invalid)}`, async () => {
			const client = new JsonClient(invalid);
			const answer = await client.call({method: 'GET', path: '/', timeoutMs: 1000});
			expect(answer.ok ? undefined : answer.error.kind).to.equal('not_sent');
			client.close();
		});
	}
});
