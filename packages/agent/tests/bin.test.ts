import {type ChildProcess, spawn} from 'node:child_process';
import dgram from 'node:dgram';
import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {SimulatedPeers} from '@amaranthsail/agent/simulated-peers.js';

const SHARED_SECRET = 'a shared secret';
const WAIT_MS = 10_000;
const BIN = fileURLToPath(import.meta.resolve('@amaranthsail/agent/bin.js'));

async function freePort(): Promise<number> {
	const server = http.createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
}

describe('amaranthsail-agent', () => {
	const peers = new SimulatedPeers(SHARED_SECRET);
	let platformPort: number;
	let child: ChildProcess | undefined;

	function start(changes: Readonly<Record<string, string>> = {}): ChildProcess {
		const address = `127.0.0.1:${platformPort}`;
		child = spawn(process.execPath, [BIN], {
			env: {
				AMARANTHSAIL_WORKER_ID: 'worker-1',
				AMARANTHSAIL_FAILURE_DOMAIN: 'domain-1',
				AMARANTHSAIL_ENTRY_ADDRESSES: address,
				AMARANTHSAIL_WORKER_ADDRESS: address,
				AMARANTHSAIL_OBJECT_STORE_ADDRESS: address,
				AMARANTHSAIL_LISTEN_ADDRESS: '127.0.0.1:0',
				AMARANTHSAIL_DATAGRAM_ADDRESS: '127.0.0.1:0',
				AMARANTHSAIL_SHARED_SECRET: SHARED_SECRET,
				AMARANTHSAIL_LOG_LEVEL: 'error',
				...changes,
			},
			stdio: 'ignore',
		});
		return child;
	}

	async function exitCodeOf(agent: ChildProcess): Promise<unknown> {
		const [code] = await once(agent, 'exit', {signal: AbortSignal.timeout(WAIT_MS)}) as unknown[];
		return code;
	}

	before(async () => {
		platformPort = await peers.start();
	});

	afterEach(() => {
		child?.kill('SIGKILL');
	});

	after(() => {
		peers.close();
	});

	it('exits 2 on invalid settings', async () => {
		expect(await exitCodeOf(start({AMARANTHSAIL_SHARED_SECRET: 'short'}))).to.equal(2);
	});

	it('exits 3 when its HTTP address is in use', async () => {
		expect(await exitCodeOf(start({AMARANTHSAIL_LISTEN_ADDRESS: `127.0.0.1:${platformPort}`}))).to.equal(3);
	});

	it('exits 3 when its UDP address is in use', async () => {
		const socket = dgram.createSocket('udp4');
		socket.bind(0, '127.0.0.1');
		await once(socket, 'listening');
		expect(await exitCodeOf(start({AMARANTHSAIL_DATAGRAM_ADDRESS: `127.0.0.1:${socket.address().port}`}))).to.equal(3);
		socket.close();
	});

	it('exits 0 on SIGTERM when it has no task', async () => {
		const agent = start();
		await peers.nextHeartbeat(AbortSignal.timeout(WAIT_MS));
		agent.kill('SIGTERM');
		expect(await exitCodeOf(agent)).to.equal(0);
	});

	// Guards against a second signal that ends the process while its task still runs.
	it('checkpoints and stops its task on the second SIGTERM and exits 1', async () => {
		const httpPort = await freePort();
		const agent = start({AMARANTHSAIL_LISTEN_ADDRESS: `127.0.0.1:${httpPort}`});
		const signal = AbortSignal.timeout(WAIT_MS);
		await peers.nextHeartbeat(signal);
		await fetch(`http://127.0.0.1:${httpPort}/v1/announcements`, {
			method: 'POST', body: JSON.stringify({endpointId: 'endpoint-1', service: 'service', leaving: false}), signal,
		});
		peers.command('prepare', 0);
		while (peers.count('prepared') === 0) {
			await peers.nextHeartbeat(signal);
		}

		peers.command('release', 0);
		while (peers.count('running') === 0) {
			await peers.nextHeartbeat(signal);
		}

		agent.kill('SIGTERM');
		await peers.nextHeartbeat(signal);
		expect(agent.exitCode).to.equal(null);
		agent.kill('SIGTERM');
		expect(await exitCodeOf(agent)).to.equal(1);
		expect(peers.count('stopped')).to.equal(1);
	});
});
