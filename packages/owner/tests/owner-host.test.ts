import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'chai';
import {MessageCodec, SystemClock, silentLogger, type Command, type HeartbeatAck, type JobRow} from '@amaranthsail/core';
import type {SchedulerConfig} from '@amaranthsail/scheduler';
import {SPEC} from './core-simulation.js';
import {FakeAgent} from './fake-agent.js';
import {FirstFitScheduler} from './first-fit-scheduler.js';
import {MemoryTables} from './memory-tables.js';
import {OwnerHost, openJobKey} from '@amaranthsail/owner';

const CONFIG: SchedulerConfig = {
	policy: {
		ordering: 'firstFit', weights: {completion: 1, fragmentation: 1, peak: 1, shortWork: 1}, shortLaneShare: 0, maxWaitingPerAccount: 100, checkpointGraceMs: 5000, stragglerFactor: 0,
	},
	guarantees: [],
	accounts: [],
};

async function waitUntil(condition: () => boolean, timeoutMs: number): Promise<void> {
	const clock = new SystemClock();
	const endMs = clock.monotonicMs() + timeoutMs;
	while (!condition()) {
		if (clock.monotonicMs() > endMs) {
			throw new Error(`the condition did not hold within ${timeoutMs} ms`);
		}

		await delay(5);
	}
}

describe('OwnerHost', () => {
	const clock = new SystemClock();
	const codec = new MessageCodec('a shared secret');
	let tables: MemoryTables;
	let agent: FakeAgent;
	let hosts: OwnerHost[];

	function createHost(processId: string): OwnerHost {
		const host: OwnerHost = new OwnerHost({
			processId, region: 'sicily', failureDomain: 'palermo', controlAddress: {host: processId, port: 1}, datagramAddress: {host: processId, port: 2},
			tables, clock, logger: silentLogger, codec, createScheduler: () => new FirstFitScheduler(),
			send(datagram) {
				const message = codec.decode(datagram);
				if (message.ok && agent.receive(message.value as Command | HeartbeatAck, clock.monotonicMs())) {
					report(host);
				}
			},
		});
		host.configure([{
			failureDomain: 'catania', region: 'sicily', scheduler: CONFIG, revision: 1,
		}]);
		host.start();
		hosts.push(host);
		return host;
	}

	function report(host: OwnerHost): void {
		host.handleDatagram(codec.encode(agent.heartbeat(clock.monotonicMs())), {host: 'worker-1', port: 9});
	}

	function accept(jobId: string): void {
		const row: JobRow = {
			jobId, spec: SPEC, bodyDigest: '', failureDomain: 'catania', state: 'waiting', acceptedAtMs: clock.wallMs(), attempt: 0, members: [],
			startConsumed: false, failedWorkers: [], cancelRequested: false, answers: [], writeId: 'accept',
		};
		tables.apply({
			writeId: 'accept', conditions: [], writes: [
				{table: 'jobs', key: jobId, value: row}, {table: 'open_jobs', key: openJobKey('catania', jobId), value: {jobId}},
			],
		});
	}

	beforeEach(() => {
		tables = new MemoryTables();
		agent = new FakeAgent('worker-1');
		hosts = [];
	});

	afterEach(async () => {
		await Promise.all(hosts.map(async host => host.stop()));
	});

	// Guards against a shutdown that leaves the failure domain without an owner until the claim time has passed, and against lost jobs in between.
	it('runs a job, and hands over the failure domain and a running job on shutdown', async () => {
		const first = createHost('entry-1');
		await waitUntil(() => first.driverOf('catania')?.status().isRecovered ?? false, 3000);
		report(first);
		accept('job');
		first.driverOf('catania')!.notify(['job']);
		await waitUntil(() => agent.running.length === 1, 1900);

		const second = createHost('entry-2');
		await first.stop();
		await waitUntil(() => second.driverOf('catania')?.status().isRecovered ?? false, 2900);
		expect(second.ownerOf('catania')).to.deep.equal({
			ownerId: 'entry-2', epoch: 2, host: 'entry-2', port: 2, control: {host: 'entry-2', port: 1},
		});
		agent.finish('job');
		const rowPromise = second.driverOf('catania')!.waitForJob('job', 3000);
		report(second);
		expect(await rowPromise).to.include({state: 'completed', attempt: 1});
		expect(agent.starts).to.deep.equal(['job/1/0']);
	});

	// Guards against a cancellation that arrives before the notification of the job.
	it('cancels a job that it has not read yet', async () => {
		const host = createHost('entry-1');
		await waitUntil(() => host.driverOf('catania')?.status().isRecovered ?? false, 3000);
		accept('job');
		const [row] = await host.driverOf('catania')!.cancel(['job']);
		expect(row).to.include({state: 'cancelled', outcome: 'not_run'});
	});

	// Guards against a worker that gets no answer because its first heartbeat, with the facts, was lost.
	it('answers heartbeats without facts when it owns several failure domains', async () => {
		const host = createHost('entry-1');
		host.configure(['catania', 'siracusa'].map(failureDomain => ({failureDomain, region: 'sicily', scheduler: CONFIG, revision: 1})));
		await waitUntil(() => host.drivers().length === 2, 3000);
		const heartbeat = {...agent.heartbeat(clock.monotonicMs()), facts: undefined};
		host.handleDatagram(codec.encode(heartbeat), {host: 'worker-1', port: 9});
		await waitUntil(() => agent.acks.length === 1, 1000);
		expect(agent.acks[0]).to.include({wantFacts: true});
	});

	// Guards against a former owner that confirms a step-down and still sends.
	it('steps down for a higher epoch only', async () => {
		const host = createHost('entry-1');
		await waitUntil(() => host.driverOf('catania') !== undefined, 3000);
		expect(await host.stepDown('catania', 1)).to.equal(false);
		expect(await host.stepDown('catania', 2)).to.equal(true);
		expect(host.driverOf('catania')).to.equal(undefined);
	});
});
