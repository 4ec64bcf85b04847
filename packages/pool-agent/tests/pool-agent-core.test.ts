import {expect} from 'chai';
import {err, ManualClock, ok, silentLogger, type Result} from '@amaranthsail/core';
import {
	type LeaseRenewal, type OrderOutcome, type PoolStore, REFUSALS, type RowPage, RUN_OUTCOMES, type StoredRow, type StoreError, TABLES, type WorkerFacts, type WorkerLists,
	type WorkerPort, WORKER_STATES,
} from '@amaranthsail/pool';
import {PoolAgentCore, type StaleEpochAnswer, type WatchAnswer} from '@amaranthsail/pool-agent';

class FakeWorkerPort implements WorkerPort {
	readonly renewalRequests: LeaseRenewal[] = [];
	readonly orders: string[] = [];
	outcome: OrderOutcome = {kind: 'done'};
	lists: WorkerLists = {clockMs: 1000, bornMs: 5, running: [], ended: []};
	isListening = true;

	async order(order: {kind: string; task: string}): Promise<{outcome: OrderOutcome}> {
		this.orders.push(`${order.kind} ${order.task}`);
		return {outcome: this.outcome};
	}

	async renewLease(request: LeaseRenewal): Promise<{kind: 'lists'; lists: WorkerLists} | {kind: 'gone'}> {
		this.renewalRequests.push(request);
		return this.isListening ? {kind: 'lists', lists: this.lists} : {kind: 'gone'};
	}
}

class FakeStore implements PoolStore {
	rows: StoredRow[] = [];
	isUp = true;

	async transact(): Promise<Result<{version: number}, StoreError>> {
		return ok({version: 1});
	}

	async read(table: string): Promise<Result<RowPage, StoreError>> {
		return this.isUp ? ok({rows: this.rows.filter(row => row.table === table), version: 9, hasMore: false}) : err({kind: 'unavailable', message: 'down'});
	}

	async follow(): Promise<Result<RowPage, StoreError>> {
		return ok({rows: [], version: 9, hasMore: false});
	}
}

const FACTS: WorkerFacts = {
	life: 'w1@5', id: 'w1', service: 'registry', failureDomain: 'catania', state: WORKER_STATES.ready, capacity: {cpuMillis: 1, memoryMb: 1, accelerators: 1}, labels: [],
};

const RUN = {task: 'j.0.0.0', run: 1, checkpoint: '', percent: 0};

class AgentFixture {
	readonly clock = new ManualClock(50_000);
	readonly port = new FakeWorkerPort();
	readonly store = new FakeStore();
	readonly pausesMs: number[] = [];
	agent = this.#createAgent();

	/** Replaces the agent by a new incarnation. */
	restart(): void {
		this.agent = this.#createAgent();
	}

	/** Runs the agent's loop for one poll of the worker. */
	async pollOnce(): Promise<void> {
		const before = this.port.renewalRequests.length;
		const run = this.agent.run();
		while (this.port.renewalRequests.length === before) {
			await Promise.resolve();
		}

		this.agent.stop();
		await run;
	}

	async watch(epoch: number, request: Record<string, unknown> = {}): Promise<WatchAnswer & StaleEpochAnswer> {
		return await this.agent.onWatch({epoch, sinceVersion: -1, waitMs: 0, ...request}) as WatchAnswer & StaleEpochAnswer;
	}

	#createAgent(): PoolAgentCore {
		return new PoolAgentCore({
			clock: this.clock,
			logger: silentLogger,
			store: this.store,
			worker: this.port,
			leaseMs: 6000,
			incarnation: 'a/1',
			sleep: async ms => {
				this.pausesMs.push(ms);
			},
		});
	}
}

/** Lets the polls that a heartbeat causes be answered. */
async function settle(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

describe('PoolAgentCore', () => {
	it('reports the worker with its lists', async () => {
		const fixture = new AgentFixture();
		fixture.port.lists = {clockMs: 1000, bornMs: 5, running: [RUN], ended: []};
		fixture.agent.onHeartbeat(FACTS, 1, 5);
		await fixture.pollOnce();
		const answer = await fixture.watch(3);
		expect(answer.report?.facts.life).to.equal('w1@5');
		expect(answer.report?.lists?.running).to.deep.equal([RUN]);
	});

	it('does not report lists of another incarnation than the announced one', async () => {
		const fixture = new AgentFixture();
		fixture.port.lists = {clockMs: 1000, bornMs: 6, running: [RUN], ended: []};
		fixture.agent.onHeartbeat(FACTS, 1, 5);
		await fixture.pollOnce();
		const answer = await fixture.watch(3);
		expect(answer.report?.lists).to.equal(undefined);
	});

	const heartbeatCases = [
		{title: 'an older sequence', sequence: 1, startedAtMs: 5, isAccepted: false},
		{title: 'an earlier incarnation', sequence: 9, startedAtMs: 4, isAccepted: false},
		{title: 'a newer sequence', sequence: 3, startedAtMs: 5, isAccepted: true},
		{title: 'a later incarnation that starts a new sequence', sequence: 1, startedAtMs: 6, isAccepted: true},
	];
	for (const {title, sequence, startedAtMs, isAccepted} of heartbeatCases) {
		it(`${isAccepted ? 'accepts' : 'ignores'} a heartbeat with ${title}`, async () => {
			const fixture = new AgentFixture();
			fixture.agent.onHeartbeat(FACTS, 2, 5);
			await settle();
			fixture.port.lists = {...fixture.port.lists, clockMs: 1001, bornMs: Math.max(5, startedAtMs)};
			fixture.agent.onHeartbeat({...FACTS, life: `w1@${startedAtMs}`, state: WORKER_STATES.draining}, sequence, startedAtMs);
			await settle();
			const answer = await fixture.watch(1);
			expect(answer.report?.facts.state).to.equal(isAccepted ? WORKER_STATES.draining : WORKER_STATES.ready);
		});
	}

	const changeCases = [
		{title: 'a changed capacity', facts: {...FACTS, capacity: {cpuMillis: 1, memoryMb: 1, accelerators: 0}}, isChange: true},
		{title: 'a changed state', facts: {...FACTS, state: WORKER_STATES.draining}, isChange: true},
		{title: 'no change', facts: {...FACTS, capacity: {...FACTS.capacity}}, isChange: false},
	];
	for (const {title, facts, isChange} of changeCases) {
		it(`${isChange ? 'answers waiting watches' : 'lets watches wait'} after a heartbeat with ${title}`, async () => {
			const fixture = new AgentFixture();
			fixture.agent.onHeartbeat(FACTS, 1, 5);
			await fixture.pollOnce();
			const before = await fixture.watch(1);
			fixture.agent.onHeartbeat(facts, 2, 5);
			const after = await fixture.watch(1);
			expect(after.version > before.version).to.equal(isChange);
			expect(after.report?.facts.capacity).to.deep.equal(facts.capacity);
		});
	}

	it('keeps its lists when other lists with the same clock reading arrive later', async () => {
		const fixture = new AgentFixture();
		fixture.port.lists = {clockMs: 1000, bornMs: 5, running: [RUN], ended: []};
		fixture.agent.onHeartbeat(FACTS, 1, 5);
		await fixture.pollOnce();
		fixture.port.lists = {clockMs: 1000, bornMs: 5, running: [], ended: []};
		await fixture.agent.onOrder({epoch: 1, life: 'w1@5', order: {kind: 'stop', task: 'other', run: 1}});
		await Promise.resolve();
		const answer = await fixture.watch(3);
		expect(answer.report?.lists?.running).to.deep.equal([RUN]);
	});

	it('refuses calls of a leader with a lower epoch than it has seen', async () => {
		const fixture = new AgentFixture();
		await fixture.watch(4);
		expect(await fixture.watch(3)).to.deep.equal({epoch: 4});
		expect(await fixture.agent.onOrder({epoch: 3, life: 'w1@5', order: {kind: 'stop', task: 't', run: 1}})).to.deep.equal({epoch: 4});
		expect(fixture.port.orders).to.deep.equal([]);
	});

	it('relays an order only to the worker incarnation that it names', async () => {
		const fixture = new AgentFixture();
		fixture.agent.onHeartbeat(FACTS, 1, 5);
		const refused = await fixture.agent.onOrder({epoch: 1, life: 'w1@4', order: {kind: 'stop', task: 't', run: 1}});
		expect(refused).to.deep.include({outcome: {kind: 'refused', reason: REFUSALS.otherLife}});
		await fixture.agent.onOrder({epoch: 1, life: 'w1@5', order: {kind: 'stop', task: 't', run: 1}});
		expect(fixture.port.orders).to.deep.equal(['stop t']);
	});

	const startCases: ReadonlyArray<{readonly title: string; readonly act: (fixture: AgentFixture) => void; readonly outcome: OrderOutcome}> = [
		{title: 'relays a start to the announced incarnation', act: () => undefined, outcome: {kind: 'done'}},
		{
			title: 'does not relay a start to a later incarnation that has not announced itself',
			act(fixture) {
				fixture.port.lists = {clockMs: 10, bornMs: 6, running: [], ended: []};
			},
			outcome: {kind: 'refused', reason: REFUSALS.otherLife},
		},
		{
			title: 'does not relay a start to a worker that has stopped answering',
			act(fixture) {
				fixture.port.isListening = false;
			},
			outcome: {kind: 'refused', reason: REFUSALS.unhealthy},
		},
	];
	for (const {title, act, outcome} of startCases) {
		it(title, async () => {
			const fixture = new AgentFixture();
			fixture.agent.onHeartbeat(FACTS, 1, 5);
			await fixture.pollOnce();
			fixture.clock.advance(1000);
			act(fixture);
			const answer = await fixture.agent.onOrder({
				epoch: 1, life: 'w1@5', order: {
					kind: 'start', task: 't', run: 1, payload: '', leaseUntilMs: 9000, checkpoint: '',
				},
			});
			expect(answer).to.deep.include({outcome});
			expect(fixture.port.orders).to.deep.equal(outcome.kind === 'done' ? ['start t'] : []);
		});
	}

	// A run whose stop was acknowledged through the previous incarnation of the agent was never seen to have ended.
	it('counts its orders on from those of its previous incarnation', async () => {
		const fixture = new AgentFixture();
		fixture.agent.onHeartbeat(FACTS, 1, 5);
		const stopped = await fixture.agent.onOrder({epoch: 1, life: 'w1@5', order: {kind: 'stop', task: 't', run: 1}});
		fixture.clock.advance(100);
		fixture.restart();
		fixture.agent.onHeartbeat(FACTS, 2, 5);
		await fixture.pollOnce();
		const {report} = await fixture.watch(1);
		expect(report!.lists!.ordersBefore).to.be.at.least('orderCount' in stopped ? stopped.orderCount : Number.NaN);
	});

	it('passes on the lease of the leader, and acknowledges only the ends that the leader has stored', async () => {
		const fixture = new AgentFixture();
		fixture.agent.onHeartbeat(FACTS, 1, 5);
		await fixture.pollOnce();
		await fixture.watch(2, {life: 'w1@5', leaseUntilMs: 9000, ackSequence: 7});
		expect(fixture.port.renewalRequests.at(-1)).to.deep.include({grant: {startedAtMs: 5, leaseUntilMs: 9000, ackSequence: 7}, epoch: 2});
	});

	for (const {title, isListening, waitMs} of [
		{title: 'lets the worker hold a poll after an answer', isListening: true, waitMs: 1000},
		{title: 'polls with a short wait after a poll without an answer, so that a lost renewal is repeated in time', isListening: false, waitMs: 200},
	]) {
		it(title, async () => {
			const fixture = new AgentFixture();
			fixture.port.isListening = isListening;
			fixture.agent.onHeartbeat(FACTS, 1, 5);
			await Promise.resolve();
			await fixture.pollOnce();
			expect(fixture.port.renewalRequests.map(request => request.waitMs).filter(ms => ms > 0)).to.deep.equal([waitMs]);
		});
	}

	it('does not send the acknowledgement and the lease of an incarnation to the next one that announces itself', async () => {
		const fixture = new AgentFixture();
		fixture.agent.onHeartbeat(FACTS, 1, 5);
		await fixture.pollOnce();
		await fixture.watch(2, {life: 'w1@5', leaseUntilMs: 9000, ackSequence: 57});
		const pollCount = fixture.port.renewalRequests.length;
		fixture.agent.onHeartbeat({...FACTS, life: 'w1@9'}, 1, 9);
		// The announced incarnation is believed once it has answered this call.
		expect(fixture.port.renewalRequests.slice(pollCount)).to.deep.equal([{epoch: 2, waitMs: 0, workerId: 'w1', startedAtMs: 5}]);
	});

	it('names the incarnation that acknowledgement and lease are for while the next one has not announced itself', async () => {
		const fixture = new AgentFixture();
		fixture.agent.onHeartbeat(FACTS, 1, 5);
		await fixture.pollOnce();
		await fixture.watch(2, {life: 'w1@5', leaseUntilMs: 9000, ackSequence: 57});
		fixture.port.lists = {clockMs: 10, bornMs: 9, running: [], ended: []};
		for (let count = 0; count < 2; count++) {
			await fixture.agent.onOrder({epoch: 2, life: 'w1@5', order: {kind: 'stop', task: 't', run: 1}});
			await Promise.resolve();
		}

		const grants = fixture.port.renewalRequests.map(request => request.grant).filter(grant => grant !== undefined);
		expect(grants.map(grant => grant.startedAtMs)).to.include(5).and.not.include(9);
		expect(fixture.port.renewalRequests.at(-1)?.grant).to.equal(undefined);
	});

	it('polls a worker that announces a new incarnation at once, instead of after the poll in progress', async () => {
		const fixture = new AgentFixture();
		fixture.port.lists = {clockMs: 1000, bornMs: 5, running: [RUN], ended: []};
		await fixture.pollOnce();
		const pollCount = fixture.port.renewalRequests.length;
		fixture.agent.onHeartbeat(FACTS, 1, 5);
		expect(fixture.port.renewalRequests.slice(pollCount)).to.deep.equal([{
			epoch: 0, waitMs: 0, workerId: 'w1', startedAtMs: 5,
		}]);
		await Promise.resolve();
		const answer = await fixture.watch(3);
		expect(answer.report?.lists?.running).to.deep.equal([RUN]);
	});

	const unacknowledgedCases = [
		{title: 'delays the next poll while the worker lists unacknowledged ends', ackSequence: 3, pausesMs: [100]},
		{title: 'polls again without a delay when all listed ends are acknowledged', ackSequence: 4, pausesMs: []},
	];
	for (const {title, ackSequence, pausesMs} of unacknowledgedCases) {
		it(title, async () => {
			const fixture = new AgentFixture();
			fixture.agent.onHeartbeat(FACTS, 1, 5);
			await Promise.resolve();
			fixture.port.lists = {...fixture.port.lists, clockMs: 1001};
			await fixture.watch(1, {life: 'w1@5', ackSequence});
			fixture.port.lists = {
				clockMs: 1002, bornMs: 5, running: [], ended: [{
					sequence: 4, task: RUN.task, run: 1, outcome: RUN_OUTCOMES.done, checkpoint: '',
				}],
			};
			await fixture.pollOnce();
			expect(fixture.pausesMs).to.deep.equal(pausesMs);
		});
	}

	const noLeaderCases = [
		{title: 'renews the lease itself while the store does not list the worker as suspected', suspects: [] as string[], isUp: true, leaseUntilMs: 7000},
		{title: 'does not renew the lease of a suspected worker', suspects: ['w1@5'], isUp: true, leaseUntilMs: undefined},
		{title: 'does not renew the lease when the store does not answer either', suspects: [] as string[], isUp: false, leaseUntilMs: undefined},
	];
	for (const {title, suspects, isUp, leaseUntilMs} of noLeaderCases) {
		it(`without a leader ${title}`, async () => {
			const fixture = new AgentFixture();
			fixture.port.lists = {clockMs: 1000, bornMs: 5, running: [RUN], ended: []};
			fixture.agent.onHeartbeat(FACTS, 1, 5);
			await fixture.watch(1);
			await fixture.agent.onOrder({epoch: 1, life: 'w1@5', order: {kind: 'start', task: RUN.task, run: 1, payload: '', leaseUntilMs: 1, checkpoint: ''}});
			await Promise.resolve();
			fixture.clock.advance(2500);
			fixture.store.isUp = isUp;
			fixture.store.rows = suspects.map(key => ({table: TABLES.suspects, key, value: {}, version: 3, isRemoved: false}));
			await fixture.pollOnce();
			expect(fixture.port.renewalRequests.at(-1)?.grant?.leaseUntilMs).to.equal(leaseUntilMs);
		});
	}
});
