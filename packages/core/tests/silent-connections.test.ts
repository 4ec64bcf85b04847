import {createServer, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {expect} from 'chai';
import {JsonClient} from '@amaranthsail/core';

const CONNECTIONS = 6;

const TIMEOUT_MS = 100;

/** Server whose open connections can go silent for good, without a reset; new ones are served. */
class SilencingServer {
	readonly #silent = new Set<Socket>();
	readonly #open = new Set<Socket>();
	readonly #server: Server = createServer((message, response) => {
		message.resume();
		message.on('end', () => {
			setTimeout(() => {
				if (!this.#silent.has(message.socket)) {
					response.end('{}');
				}
			}, 5);
		});
	});

	async listen(): Promise<string> {
		this.#server.on('connection', socket => {
			this.#open.add(socket);
			socket.once('close', () => {
				this.#open.delete(socket);
			});
		});
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** @returns The number of connections that have gone silent. */
	silence(): number {
		for (const socket of this.#open) {
			this.#silent.add(socket);
		}

		return this.#open.size;
	}

	close(): void {
		this.#server.closeAllConnections();
		this.#server.close();
	}
}

describe('JsonClient whose connections go silent', () => {
	let server: SilencingServer;
	let client: JsonClient;

	beforeEach(async () => {
		server = new SilencingServer();
		client = new JsonClient(await server.listen());
		await Promise.all(Array.from({length: CONNECTIONS}, async () => call()));
	});

	afterEach(() => {
		client.close();
		server.close();
	});

	const call = async (timeoutMs = 1000): Promise<boolean> => {
		const answer = await client.call({method: 'POST', path: '/', body: {}, timeoutMs});
		return answer.ok;
	};

	// Each further request waited for its own timeout on the next silent connection.
	it('loses one request, however many connections were idle', async () => {
		expect(server.silence()).to.equal(CONNECTIONS);
		expect(await call(TIMEOUT_MS)).to.equal(false);
		expect(await call(TIMEOUT_MS)).to.equal(true);
	});

	it('loses no request on a connection that still answers', async () => {
		const [lost, answered] = await Promise.all([client.call({method: 'POST', path: '/', timeoutMs: 1}), call()]);
		expect([lost.ok, answered]).to.deep.equal([false, true]);
	});
});
