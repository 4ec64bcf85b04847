import {expect} from 'chai';
import {err, ManualClock, silentLogger} from '@amaranthsail/core';
import {type PoolStore, type WorkerFacts, type WorkerPort, WORKER_STATES} from '@amaranthsail/pool';
import {PoolAgentCore, type WatchAnswer} from '@amaranthsail/pool-agent';

const HEARTBEAT_INTERVAL_MS = 1000;

const READY: WorkerFacts = {
	life: 'w1@5', id: 'w1', service: 'registry', failureDomain: 'catania', state: WORKER_STATES.ready, capacity: {cpuMillis: 1, memoryMb: 1, accelerators: 1}, labels: [],
};

const DRAINING: WorkerFacts = {...READY, state: WORKER_STATES.draining};

const WORKER: WorkerPort = {
	order: async () => ({outcome: {kind: 'done'}}),
	renewLease: async () => ({kind: 'lists', lists: {clockMs: 1000, bornMs: 5, running: [], ended: []}}),
};

const STORE: PoolStore = {
	transact: async () => err({kind: 'unavailable', message: 'down'}),
	read: async () => err({kind: 'unavailable', message: 'down'}),
	follow: async () => err({kind: 'unavailable', message: 'down'}),
};

class SequenceFixture {
	readonly #clock = new ManualClock(50_000);
	readonly #agent = new PoolAgentCore({
		clock: this.#clock, logger: silentLogger, store: STORE, worker: WORKER, leaseMs: 6000, incarnation: 'a/1', sleep: async () => undefined,
	});

	/** Delivers heartbeats at the usual interval. */
	async deliver(facts: WorkerFacts, ...sequences: readonly number[]): Promise<void> {
		for (const sequence of sequences) {
			this.#clock.advance(HEARTBEAT_INTERVAL_MS);
			this.#agent.onHeartbeat(facts, sequence, 5);
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	}

	async isDraining(): Promise<boolean> {
		const answer = await this.#agent.onWatch({epoch: 1, sinceVersion: -1, waitMs: 0}) as WatchAnswer;
		return answer.report!.facts.state === WORKER_STATES.draining;
	}
}

describe('Numbers of heartbeats', () => {
	const MAX = Number.MAX_SAFE_INTEGER;
	const cases: ReadonlyArray<{readonly title: string; readonly ready: readonly number[]; readonly draining: readonly number[]; readonly isSeen: boolean}> = [
		{title: 'sees the worker drain after a heartbeat with the highest number', ready: [1, 2, MAX], draining: [3], isSeen: true},
		{title: 'sees the worker drain after two such heartbeats, from its second one on', ready: [1, 2, MAX - 1, MAX], draining: [3, 4], isSeen: true},
		{title: 'sees the worker drain when the first heartbeat had such a number, from its second one on', ready: [MAX], draining: [3, 4], isSeen: true},
		{title: 'sees the worker drain after a number that is a little too high, from its third heartbeat on', ready: [1, 2, 500], draining: [3, 4, 5], isSeen: true},
		{title: 'follows a worker whose numbers increase by much', ready: [1], draining: [1e12, 1e12 + 1], isSeen: true},
		{title: 'leaves out a late heartbeat', ready: [1, 2, 3], draining: [2], isSeen: false},
		{title: 'leaves out two late heartbeats', ready: [1, 2, 3], draining: [1, 2], isSeen: false},
		{title: 'leaves out a repeated heartbeat', ready: [1, 2, 3], draining: [3, 3, 3, 3], isSeen: false},
		{title: 'leaves out one heartbeat with the highest number', ready: [1, 2, 3], draining: [MAX], isSeen: false},
	];
	for (const {title, ready, draining, isSeen} of cases) {
		it(title, async () => {
			const fixture = new SequenceFixture();
			await fixture.deliver(READY, ...ready);
			await fixture.deliver(DRAINING, ...draining);
			expect(await fixture.isDraining()).to.equal(isSeen);
		});
	}
});
