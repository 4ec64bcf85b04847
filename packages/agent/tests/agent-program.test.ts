import dgram from 'node:dgram';
import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {
	type ControlMessage, type Heartbeat, MessageCodec, sha256Of, silentLogger, SystemClock,
} from '@amaranthsail/core';
import {MemoryObjectStore} from '@amaranthsail/backing-services/memory-object-store.js';
import {MemoryWorkerRuntime} from '@amaranthsail/backing-services/memory-worker-runtime.js';
import {ASSIGNMENT, TASK} from './agent-harness.js';
import {type RunningAgent, runAgent} from '@amaranthsail/agent/agent-program.js';

const SHARED_SECRET = 'a shared secret';
const WAIT_MS = 5000;

/** Simulated owner that acknowledges every heartbeat and sends commands. */
class SimulatedOwner {
	readonly socket = dgram.createSocket('udp4');
	readonly #codec = new MessageCodec(SHARED_SECRET);
	#latest: {readonly heartbeat: Heartbeat; readonly port: number} | undefined;

	constructor() {
		this.socket.on('message', (datagram, {port}) => {
			const decoded = this.#codec.decode(datagram);
			if (!decoded.ok || decoded.value.type !== 'heartbeat') {
				return;
			}

			const heartbeat = decoded.value;
			this.#latest = {heartbeat, port};
			const {sequence, sentAtMs} = heartbeat;
			this.#send({
				type: 'ack',
				ownerId: 'owner-1',
				epoch: 1,
				sequence,
				sentAtMs,
				degraded: false,
				revision: 5,
				wantFacts: false,
				renewed: heartbeat.reports,
			}, port);
		});
	}

	command(kind: 'prepare' | 'release' | 'forget'): void {
		const {heartbeat, port} = this.#latest!;
		const {incarnation} = heartbeat;
		const assignment = {...ASSIGNMENT, inlineInput: JSON.stringify({runMs: 300})};
		this.#send({
			type: 'command', kind, ownerId: 'owner-1', epoch: 1, workerId: 'worker-a', incarnation, task: TASK, assignment,
		}, port);
	}

	async waitForHeartbeat(isExpected: (heartbeat: Heartbeat) => boolean): Promise<Heartbeat> {
		const signal = AbortSignal.timeout(WAIT_MS);
		while (this.#latest === undefined || !isExpected(this.#latest.heartbeat)) {
			await once(this.socket, 'message', {signal});
		}

		return this.#latest.heartbeat;
	}

	#send(message: ControlMessage, port: number): void {
		this.socket.send(this.#codec.encode(message), port, '127.0.0.1');
	}
}

describe('runAgent', () => {
	const clock = new SystemClock();
	const runtime = new MemoryWorkerRuntime({
		clock, workerId: 'worker-a', rack: 'rack-1', capacity: {
			slots: 8, connections: 64, processors: 30, memoryMb: 64_000, accelerators: 8,
		},
	});
	const objects = new MemoryObjectStore();
	const owner = new SimulatedOwner();
	let authorization: string | undefined;
	const entry = http.createServer((request, response) => {
		authorization = request.headers.authorization;
		response.end(JSON.stringify({
			ownerId: 'owner-1', epoch: 1, host: '127.0.0.1', port: owner.socket.address().port,
		}));
	});
	let agent: RunningAgent;

	async function call(path: string, body?: unknown): Promise<{readonly status: number; readonly body: Record<string, unknown>}> {
		const response = await fetch(`http://127.0.0.1:${agent.httpPort}${path}`, body === undefined ? {} : {method: 'POST', body: JSON.stringify(body)});
		return {status: response.status, body: await response.json() as Record<string, unknown>};
	}

	async function statusOf(path: string, body?: unknown): Promise<number> {
		const {status} = await call(path, body);
		return status;
	}

	before(async () => {
		owner.socket.bind(0, '127.0.0.1');
		entry.listen(0, '127.0.0.1');
		await Promise.all([once(owner.socket, 'listening'), once(entry, 'listening')]);
		agent = await runAgent({
			workerId: 'worker-a',
			failureDomain: 'catania',
			rack: '',
			entryAddresses: [{host: '127.0.0.1', port: (entry.address() as AddressInfo).port}],
			workerAddress: {host: '127.0.0.1', port: 1},
			objectStoreAddress: {host: '127.0.0.1', port: 1},
			listenAddress: {host: '127.0.0.1', port: 0},
			datagramAddress: {host: '127.0.0.1', port: 0},
			sharedSecret: SHARED_SECRET,
			logLevel: 'error',
		}, {
			clock, runtime, objects, logger: silentLogger,
		});
	});

	after(() => {
		owner.socket.close();
		entry.close();
		entry.closeAllConnections();
	});

	it('queries the owner with the shared secret and reports its facts', async () => {
		const heartbeat = await owner.waitForHeartbeat(({facts}) => facts !== undefined);
		expect(heartbeat.facts?.rack).to.equal('rack-1');
		expect(heartbeat.replyPort).to.equal(agent.datagramPort);
		expect(authorization).to.equal(`Bearer ${SHARED_SECRET}`);
		expect(await statusOf('/readyz')).to.equal(200);
		expect(await statusOf('/healthz')).to.equal(200);
	});

	it('accepts announcements and rejects malformed ones', async () => {
		expect(await statusOf('/v1/announcements', {endpointId: 'endpoint-a', service: 'register', leaving: false})).to.equal(200);
		const refused = await call('/v1/announcements', {endpointId: 'endpoint-a'});
		expect([refused.status, refused.body.code]).to.deep.equal([400, 'invalid_announcement']);
		expect(await statusOf('/nowhere')).to.equal(404);
		await owner.waitForHeartbeat(({facts}) => facts?.endpoints.length === 1);
	});

	// Guards against a report of an answer that is not yet in the object store.
	it('runs a task and stores its answer before it reports it', async () => {
		owner.command('prepare');
		await owner.waitForHeartbeat(({reports}) => reports[0]?.state === 'prepared');
		owner.command('release');
		await owner.waitForHeartbeat(({reports}) => reports[0]?.state === 'running');
		const {reports} = await owner.waitForHeartbeat(heartbeat => heartbeat.reports[0]?.state === 'finished');
		const stored = await objects.get('answers/job-a/1/0');
		expect(stored.ok && stored.value && sha256Of(stored.value)).to.equal(reports[0]?.answer?.sha256);
		const {body} = await call('/v1/status');
		expect(body).to.deep.include({epoch: 1, revisionInForce: 5, ready: true});
		expect(body.memory).to.have.property('residentKb');
	});

	it('drains: reports leaving, waits for forget and exits 0', async () => {
		agent.shutDown();
		await owner.waitForHeartbeat(({leaving}) => leaving);
		expect(await statusOf('/readyz')).to.equal(503);
		owner.command('forget');
		expect(await agent.exited).to.equal(0);
	});
});
