import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {expect} from 'chai';
import type {Address, Result} from '@amaranthsail/core';
import {HttpObjectStore, HttpTableStore} from '@amaranthsail/backing-services';
import {NodeHttpObjectStore} from '@amaranthsail/backing-services/node-http-object-store.js';
import {HttpWorkerRuntime} from '@amaranthsail/backing-services/worker-runtime-client.js';

/** Timeout of calls that get no response; all other cases use {@link LONG_TIMEOUT_MS}, so that their results do not depend on the load of the host. */
const SHORT_TIMEOUT_MS = 300;
const LONG_TIMEOUT_MS = 5000;

type ClientResult = Result<unknown, {readonly kind: string}>;

/** Opens a client with one change and one read. */
type Client = {
	readonly title: string;
	open(address: Address, timeoutMs: number): {change(): Promise<ClientResult>; read(): Promise<ClientResult>; close(): Promise<void>};
};

const NO_RESOURCES = {
	slots: 0, connections: 0, processors: 0, memoryMb: 0, accelerators: 0,
};

const CLIENTS: readonly Client[] = [
	{
		title: 'HttpTableStore',
		open(address, timeoutMs) {
			const store = new HttpTableStore({address, timeoutMs});
			return {
				change: async () => store.transact({writeId: 'w', conditions: [], writes: [{table: 't', key: 'k', value: {}}]}),
				read: async () => store.get('t', 'k'),
				close: async () => store.close(),
			};
		},
	},
	...[HttpObjectStore, NodeHttpObjectStore].map(Store => ({
		title: Store.name,
		open(address: Address, timeoutMs: number) {
			const store = new Store({address, timeoutMs});
			return {
				change: async () => store.put('k', new Uint8Array(3)),
				read: async () => store.get('k'),
				close: async () => store.close(),
			};
		},
	})),
	{
		title: 'HttpWorkerRuntime',
		open(address, timeoutMs) {
			const runtime = new HttpWorkerRuntime({address, timeoutMs});
			const key = {jobId: 'j', attempt: 1, taskIndex: 0};
			const assignment = {
				account: 'a', service: 's', operation: 'o', endpointId: 'e', shape: NO_RESOURCES, accelerators: [], taskCount: 1, repeatable: true, checkpointable: false,
			};
			return {
				change: async () => runtime.start(key, assignment, 1),
				read: async () => runtime.list(),
				close: async () => runtime.close(),
			};
		},
	},
];

function respondWith(status: string, body: string, lengthBytes = body.length): (socket: Socket) => void {
	return socket => {
		socket.once('data', () => {
			socket.end(`HTTP/1.1 ${status}\r\nContent-Length: ${lengthBytes}\r\nConnection: close\r\n\r\n${body}`);
		});
	};
}

/** The behaviour of a server, and the expected result of a change. */
const SERVER_CASES: ReadonlyArray<{readonly title: string; readonly expected: string; readonly timeoutMs?: number; readonly onConnection: (socket: Socket) => void}> = [
	{
		title: 'a connection closed without a response',
		expected: 'outcome_unknown',
		onConnection(socket) {
			socket.once('data', () => {
				socket.destroy();
			});
		},
	},
	{
		title: 'no response in time',
		expected: 'outcome_unknown',
		timeoutMs: SHORT_TIMEOUT_MS,
		onConnection(socket) {
			socket.resume();
		},
	},
	{title: 'a truncated response', expected: 'outcome_unknown', onConnection: respondWith('200 OK', '{"versions":[1', 40)},
	{title: 'a status 502 from a proxy', expected: 'outcome_unknown', onConnection: respondWith('502 Bad Gateway', '<html>')},
	{title: 'a status 503 from a proxy', expected: 'outcome_unknown', onConnection: respondWith('503 Service Unavailable', '<html>')},
	{title: 'a status 404 from another service', expected: 'outcome_unknown', onConnection: respondWith('404 Not Found', '<html>')},
	{title: 'a refusal by the service itself', expected: 'unavailable', onConnection: respondWith('503 Service Unavailable', '{"kind":"unavailable","message":"closed"}')},
];

async function withServer(onConnection: (socket: Socket) => void, run: (address: Address) => Promise<void>): Promise<void> {
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => {
			socket.destroy();
		});
		onConnection(socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	try {
		await run({host: '127.0.0.1', port: (server.address() as AddressInfo).port});
	} finally {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	}
}

async function resultKinds(client: Client, address: Address, timeoutMs = LONG_TIMEOUT_MS): Promise<readonly string[]> {
	const {change, read, close} = client.open(address, timeoutMs);
	try {
		const results = [await change(), await read()];
		return results.map(result => result.ok ? 'success' : result.error.kind);
	} finally {
		await close();
	}
}

describe('HTTP clients of the platform', () => {
	for (const client of CLIENTS) {
		// Each case guards against an error kind that states more than is known about the effect.
		for (const {title, expected, timeoutMs, onConnection} of SERVER_CASES) {
			it(`${client.title} maps ${title} to ${expected} for a change and to unavailable for a read`, async () => {
				await withServer(onConnection, async address => {
					expect(await resultKinds(client, address, timeoutMs)).to.deep.equal([expected, 'unavailable']);
				});
			});
		}

		// Guards against a refused connection that is reported as an unknown outcome and delays the caller.
		it(`${client.title} maps a refused connection to unavailable`, async () => {
			let closed: Address | undefined;
			await withServer(() => undefined, async address => {
				closed = address;
			});
			expect(await resultKinds(client, closed!)).to.deep.equal(['unavailable', 'unavailable']);
		});
	}

	// Guards against more parallel calls than configured, and against waiting calls that never time out or are reported as sent.
	// Counts requests, not connections: undici opens another connection after an aborted request, and sends nothing on it.
	it('HttpTableStore limits its calls and reports those that were never sent as unavailable', async () => {
		let received = '';
		await withServer(socket => {
			socket.on('data', (data: Uint8Array) => {
				received += Buffer.from(data).toString();
			});
		}, async address => {
			const store = new HttpTableStore({
				address, timeoutMs: SHORT_TIMEOUT_MS, maxParallelCalls: 2, maxWaitingCalls: 3,
			});
			const results = await Promise.all(Array.from({length: 6}, async (_, index) => store.transact({writeId: `${index}`, conditions: [], writes: []})));
			await store.close();
			expect(results.map(result => result.ok ? 'success' : result.error.kind)).to.deep.equal([
				'outcome_unknown', 'outcome_unknown', 'unavailable', 'unavailable', 'unavailable', 'unavailable',
			]);
			expect([...received.matchAll(/"writeId":"\d"/gv)].map(([text]) => text)).to.have.members(['"writeId":"0"', '"writeId":"1"']);
		});
	});
});
