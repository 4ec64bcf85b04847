import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {expect} from 'chai';
import type {Address, Result} from '@amaranthsail/core';
import {HttpObjectStore, HttpTableStore} from '@amaranthsail/backing-services';
import {NodeHttpObjectStore} from '@amaranthsail/backing-services/node-http-object-store.js';
import {HttpWorkerRuntime} from '@amaranthsail/backing-services/worker-runtime-client.js';

/** Time for calls that get no answer; all other cases take {@link LONG_TIMEOUT_MS}, so that a busy machine does not change their result. */
const TIMEOUT_MS = 300;
const LONG_TIMEOUT_MS = 5000;

type Failure = Result<unknown, {readonly kind: string}>;

/** A change and a read of each client. */
type Client = {
	readonly title: string;
	open(address: Address, timeoutMs: number): {change(): Promise<Failure>; read(): Promise<Failure>; close(): Promise<void>};
};

const noResources = {
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
				account: 'a', service: 's', operation: 'o', endpointId: 'e', shape: noResources, accelerators: [], taskCount: 1, repeatable: true, checkpointable: false,
			};
			return {
				change: async () => runtime.start(key, assignment, 1),
				read: async () => runtime.list(),
				close: async () => runtime.close(),
			};
		},
	},
];

function answerWith(status: string, body: string, lengthBytes = body.length): (socket: Socket) => void {
	return socket => {
		socket.once('data', () => {
			socket.end(`HTTP/1.1 ${status}\r\nContent-Length: ${lengthBytes}\r\nConnection: close\r\n\r\n${body}`);
		});
	};
}

/** What a server does with a connection, and what may then be said of a change. */
const SERVER_CASES: ReadonlyArray<{readonly title: string; readonly expected: string; readonly timeoutMs?: number; readonly onConnection: (socket: Socket) => void}> = [
	{
		title: 'a connection closed without an answer',
		expected: 'outcome_unknown',
		onConnection(socket) {
			socket.once('data', () => {
				socket.destroy();
			});
		},
	},
	{
		title: 'no answer in time',
		expected: 'outcome_unknown',
		timeoutMs: TIMEOUT_MS,
		onConnection(socket) {
			socket.resume();
		},
	},
	{title: 'an answer cut short', expected: 'outcome_unknown', onConnection: answerWith('200 OK', '{"versions":[1', 40)},
	{title: 'a status 502 from a proxy', expected: 'outcome_unknown', onConnection: answerWith('502 Bad Gateway', '<html>')},
	{title: 'a status 503 from a proxy', expected: 'outcome_unknown', onConnection: answerWith('503 Service Unavailable', '<html>')},
	{title: 'a status 404 from another service', expected: 'outcome_unknown', onConnection: answerWith('404 Not Found', '<html>')},
	{title: 'the refusal of the service itself', expected: 'unavailable', onConnection: answerWith('503 Service Unavailable', '{"kind":"unavailable","message":"closed"}')},
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

async function errorKinds(client: Client, address: Address, timeoutMs = LONG_TIMEOUT_MS): Promise<readonly string[]> {
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
		// Each case guards against an error tag that promises more than is known of the effect.
		for (const {title, expected, timeoutMs, onConnection} of SERVER_CASES) {
			it(`${client.title} maps ${title} to ${expected} for a change and to unavailable for a read`, async () => {
				await withServer(onConnection, async address => {
					expect(await errorKinds(client, address, timeoutMs)).to.deep.equal([expected, 'unavailable']);
				});
			});
		}

		// Guards against a refused connection that counts as an unknown outcome and holds up a caller.
		it(`${client.title} maps a refused connection to unavailable`, async () => {
			let closed: Address | undefined;
			await withServer(() => undefined, async address => {
				closed = address;
			});
			expect(await errorKinds(client, closed!)).to.deep.equal(['unavailable', 'unavailable']);
		});
	}

	// Guards against more calls at once than the service allows, and against calls that wait without end or count as sent.
	// Counts requests and not connections: undici opens one more connection after an aborted request, and sends nothing on it.
	it('HttpTableStore bounds its calls, and reports those that were never sent as unavailable', async () => {
		let received = '';
		await withServer(socket => {
			socket.on('data', (data: Uint8Array) => {
				received += Buffer.from(data).toString();
			});
		}, async address => {
			const store = new HttpTableStore({
				address, timeoutMs: TIMEOUT_MS, maxParallelCalls: 2, maxWaitingCalls: 3,
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
