import {expect} from 'chai';
import {ManualClock, ok, silentLogger} from '@amaranthsail/core';
import {
	type LeaseRenewal, type PoolStore, type WorkerFacts, type WorkerLists, type WorkerPort, WORKER_STATES, type WorkerState,
} from '@amaranthsail/pool';
import {PoolAgentCore, type WatchAnswer} from '@amaranthsail/pool-agent';

const RUN = {task: 'j.0.0.0', run: 1, checkpoint: '', percent: 0};

function factsOf(startedAtMs: number): WorkerFacts {
	return {
		life: `w1@${startedAtMs}`, id: 'w1', service: 's', failureDomain: 'z', state: WORKER_STATES.ready, capacity: {cpuMillis: 1, memoryMb: 1, accelerators: 1}, labels: [],
	};
}

function listsOf(bornMs: number, clockMs: number): WorkerLists {
	return {clockMs, bornMs, running: [RUN], ended: []};
}

/** An agent whose polls are answered one by one, in an order that the test chooses. */
class Fixture {
	readonly clock = new ManualClock(50_000);
	readonly requests: LeaseRenewal[] = [];
	life = 'w1@5';
	readonly agent = new PoolAgentCore({
		clock: this.clock,
		logger: silentLogger,
		store: {
			read: async () => {
				await this.onStoreRead();
				return ok({rows: [], version: 1, hasMore: false});
			},
		} as unknown as PoolStore,
		worker: {
			order: async () => ({outcome: {kind: 'done'}}),
			renewLease: async request => new Promise(resolve => {
				this.requests.push(request);
				this.#answers.push(lists => {
					resolve(lists ? {kind: 'lists', lists} : {kind: 'gone'});
				});
			}),
		} satisfies WorkerPort,
		leaseMs: 6000,
		incarnation: 'a/1',
		async sleep() {
			// The tests wait for nothing.
		},
	});

	readonly #answers: Array<(lists: WorkerLists | undefined) => void> = [];
	/** Runs while the agent reads the store. */
	onStoreRead: () => Promise<void> = async () => undefined;

	/** Lets the agent send a poll, which {@link Fixture.answer} answers by its number, counting from 0. */
	async poll(): Promise<void> {
		await this.agent.onOrder({epoch: 1, life: this.life, order: {kind: 'stop', task: 'other', run: 1}});
		await flush();
	}

	async answer(poll: number, lists: WorkerLists): Promise<void> {
		this.#answers[poll]!(lists);
		await flush();
	}

	/** Refuses the connection of the last poll. */
	async refuse(): Promise<void> {
		this.#answers.at(-1)!(undefined);
		await flush();
	}

	async report(): Promise<WatchAnswer['report']> {
		const answer = await this.agent.onWatch({epoch: 1, sinceVersion: -1, waitMs: 0});
		return 'report' in answer ? answer.report : undefined;
	}

	announce(startedAtMs: number, sequence = 1): void {
		this.agent.onHeartbeat(factsOf(startedAtMs), sequence, startedAtMs);
	}
}

async function flush(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(resolve);
	});
}

describe('PoolAgentCore with several incarnations of its worker', () => {
	it('does not discard lists of the newest incarnation because the clock of one that never announced itself was later', async () => {
		const fixture = new Fixture();
		fixture.announce(5);
		await fixture.answer(0, listsOf(5, 90_000));
		await fixture.poll();
		await fixture.answer(1, listsOf(9, 5000));
		await fixture.poll();
		await fixture.answer(2, listsOf(13, 10));
		fixture.announce(13);
		const report = await fixture.report();
		expect(report?.lists?.clockMs).to.equal(10);
	});

	it('calls an incarnation that has answered without an announcement again at once, so that it refuses late calls', async () => {
		const fixture = new Fixture();
		fixture.announce(5);
		await fixture.answer(0, listsOf(5, 1000));
		await fixture.poll();
		const pollCount = fixture.requests.length;
		await fixture.answer(1, listsOf(9, 10));
		expect(fixture.requests.length).to.equal(pollCount + 1);
		await fixture.answer(pollCount, listsOf(9, 20));
		expect(fixture.requests.length).to.equal(pollCount + 1);
	});

	it('keeps the lists of the newer incarnation when an answer of the earlier one arrives after them', async () => {
		const fixture = new Fixture();
		fixture.announce(5);
		await fixture.answer(0, listsOf(5, 1000));
		await fixture.poll();
		await fixture.poll();
		fixture.announce(9);
		await fixture.answer(2, listsOf(9, 10));
		await fixture.answer(1, listsOf(5, 2000));
		const report = await fixture.report();
		expect(report?.facts.life).to.equal('w1@9');
		expect(report?.lists?.clockMs).to.equal(10);
	});

	it('keeps the lists of the newer incarnation although the wall clock was set back before its start', async () => {
		const fixture = new Fixture();
		fixture.announce(5);
		await fixture.answer(0, listsOf(5, 1000));
		await fixture.poll();
		await fixture.answer(1, listsOf(3, 10));
		await fixture.poll();
		fixture.announce(3);
		const report = await fixture.report();
		expect(report?.facts.life).to.equal('w1@3');
		expect(report?.lists?.clockMs).to.equal(10);
	});

	it('ignores a delayed heartbeat of the earlier incarnation once the next one has answered', async () => {
		const fixture = new Fixture();
		fixture.announce(5);
		await fixture.answer(0, listsOf(5, 1000));
		fixture.announce(9);
		await fixture.answer(1, listsOf(9, 10));
		fixture.announce(5, 7);
		const report = await fixture.report();
		expect(report?.facts.life).to.equal('w1@9');
	});

	it('ignores a delayed heartbeat of an earlier incarnation that started at a later wall clock time', async () => {
		const fixture = new Fixture();
		fixture.announce(5);
		await fixture.answer(0, listsOf(5, 1000));
		await fixture.poll();
		await fixture.answer(1, listsOf(3, 10));
		fixture.announce(3);
		fixture.announce(5, 7);
		const report = await fixture.report();
		expect(report?.facts.life).to.equal('w1@3');
	});

	const leaveCases: ReadonlyArray<{readonly title: string; readonly state: WorkerState; readonly startedAtMs?: number; readonly hasEnded?: boolean; readonly hasLeft: boolean}> = [
		{title: 'of the earlier incarnation', state: WORKER_STATES.draining, startedAtMs: 5, hasLeft: false},
		{title: 'that names no incarnation while the newer one does not drain', state: WORKER_STATES.ready, hasLeft: false},
		{title: 'that names no incarnation while the newer one drains and answers', state: WORKER_STATES.draining, hasLeft: false},
		{title: 'that names no incarnation of the newer one, which has drained and ended', state: WORKER_STATES.draining, hasEnded: true, hasLeft: true},
		{title: 'of the newer incarnation while it still answers', state: WORKER_STATES.ready, startedAtMs: 9, hasLeft: false},
		{title: 'of the newer incarnation, which has ended', state: WORKER_STATES.ready, startedAtMs: 9, hasEnded: true, hasLeft: true},
	];
	for (const {title, state, startedAtMs, hasEnded, hasLeft} of leaveCases) {
		// Guards against starting the tasks of a worker again that is reported as left while it runs them.
		it(`${hasLeft ? 'takes' : 'ignores'} a deregistration ${title}`, async () => {
			const fixture = new Fixture();
			fixture.announce(5);
			fixture.agent.onHeartbeat({...factsOf(9), state}, 1, 9);
			await fixture.answer(0, listsOf(9, 10));
			fixture.agent.onLeave('w1', startedAtMs);
			if (hasEnded) {
				await fixture.refuse();
			}

			const report = await fixture.report();
			expect(report?.facts.life).to.equal(hasLeft ? undefined : 'w1@9');
		});
	}

	it('does not give a lease that was counted on the clock of one incarnation to the next one', async () => {
		const fixture = new Fixture();
		fixture.announce(5);
		await fixture.answer(0, listsOf(5, 90_000));
		await fixture.poll();
		fixture.clock.advance(2500);
		fixture.onStoreRead = async () => {
			fixture.onStoreRead = async () => undefined;
			fixture.announce(9);
			await fixture.answer(2, listsOf(9, 10));
		};

		const run = fixture.agent.run();
		await flush();
		await flush();
		fixture.agent.stop();
		expect(fixture.requests.length).to.be.above(3);
		expect(fixture.requests.map(request => request.grant?.leaseUntilMs).filter(leaseUntilMs => leaseUntilMs !== undefined)).to.deep.equal([]);
		for (let poll = 3; poll < fixture.requests.length; poll++) {
			await fixture.answer(poll, listsOf(9, 100 + poll));
		}

		await run;
	});
});
