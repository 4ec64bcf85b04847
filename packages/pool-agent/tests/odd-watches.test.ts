import {expect} from 'chai';
import {err, ManualClock, silentLogger} from '@amaranthsail/core';
import {
	type PoolStore, RUN_OUTCOMES, type WorkerFacts, type WorkerPort, WORKER_STATES,
} from '@amaranthsail/pool';
import {PoolAgentCore} from '@amaranthsail/pool-agent';

const HUGE = Number.MAX_SAFE_INTEGER;

const LEASE_MS = 6000;

const FACTS: WorkerFacts = {
	life: 'w1@5', id: 'w1', service: 'registry', failureDomain: 'catania', state: WORKER_STATES.ready, capacity: {cpuMillis: 1, memoryMb: 1, accelerators: 1}, labels: [],
};

const STORE: PoolStore = {
	transact: async () => err({kind: 'unavailable', message: 'down'}),
	read: async () => err({kind: 'unavailable', message: 'down'}),
	follow: async () => err({kind: 'unavailable', message: 'down'}),
};

type RenewalRequest = Parameters<WorkerPort['renewLease']>[0];

/** An agent whose worker lists the ends 1 to 4. */
async function startAgent(): Promise<{readonly agent: PoolAgentCore; readonly renewals: RenewalRequest[]; readonly pausesMs: number[]}> {
	const renewals: RenewalRequest[] = [];
	const pausesMs: number[] = [];
	const worker: WorkerPort = {
		order: async () => ({outcome: {kind: 'done'}}),
		async renewLease(request) {
			renewals.push(request);
			const ended = [1, 2, 3, 4].map(sequence => ({
				sequence, task: `j.0.0.${sequence}`, run: 1, outcome: RUN_OUTCOMES.done, checkpoint: '',
			}));
			return {kind: 'lists', lists: {clockMs: 1000 + renewals.length, bornMs: 5, running: [], ended}};
		},
	};
	const agent = new PoolAgentCore({
		clock: new ManualClock(50_000), logger: silentLogger, store: STORE, worker, leaseMs: LEASE_MS, incarnation: 'a/1', async sleep(ms) {
			pausesMs.push(ms);
		},
	});
	agent.onHeartbeat(FACTS, 1, 5);
	await settle();
	return {agent, renewals, pausesMs};
}

async function settle(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

describe('a watch with odd numbers', () => {
	it('acknowledges no end by a number far above those that the worker has listed', async () => {
		const {agent, renewals} = await startAgent();
		await agent.onWatch({epoch: 1, sinceVersion: -1, waitMs: 0, life: 'w1@5', leaseUntilMs: 3000, ackSequence: HUGE});
		await agent.onOrder({epoch: 1, life: 'w1@5', order: {kind: 'stop', task: 't', run: 1}});
		await settle();
		expect(renewals.at(-1)?.grant?.ackSequence).to.equal(0);
	});

	it('acknowledges the ends that a later watch names', async () => {
		const {agent, renewals} = await startAgent();
		await agent.onWatch({epoch: 1, sinceVersion: -1, waitMs: 0, life: 'w1@5', ackSequence: 3});
		await settle();
		expect(renewals.at(-1)?.grant?.ackSequence).to.equal(3);
	});

	it('grants no lease that never expires', async () => {
		const {agent, renewals} = await startAgent();
		await agent.onWatch({epoch: 1, sinceVersion: -1, waitMs: 0, life: 'w1@5', leaseUntilMs: HUGE, ackSequence: 1});
		await settle();
		expect(renewals.at(-1)?.grant?.leaseUntilMs).to.be.within(1000, 1100 + (2 * LEASE_MS));
	});

	it('is answered in the end', async () => {
		const {agent, pausesMs} = await startAgent();
		const first = await agent.onWatch({epoch: 1, sinceVersion: -1, waitMs: 0});
		await agent.onWatch({epoch: 1, sinceVersion: 'version' in first ? first.version : -1, waitMs: HUGE});
		expect(pausesMs.at(-1)).to.be.within(1000, 60_000);
	});
});
