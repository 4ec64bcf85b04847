import {expect} from 'chai';
import {err, ManualClock, ok, silentLogger, type Result} from '@amaranthsail/core';
import {
	type OrderOutcome, type PoolStore, REFUSALS, type RowPage, RUN_OUTCOMES, type StoredRow, type StoreError, TABLES, type WorkerFacts, type WorkerLists, type WorkerPort, WORKER_STATES,
} from '@amaranthsail/pool';
import {AgentCore, type StaleEpochAnswer, type WatchAnswer} from '@amaranthsail/pool-agent';

type HoldRequest = Parameters<WorkerPort['hold']>[0];

class FakePort implements WorkerPort {
	readonly holds: HoldRequest[] = [];
	readonly orders: string[] = [];
	outcome: OrderOutcome = {kind: 'done'};
	lists: WorkerLists = {clockMs: 1000, bornMs: 5, running: [], ended: []};

	async order(order: {kind: string; task: string}): Promise<{outcome: OrderOutcome}> {
		this.orders.push(`${order.kind} ${order.task}`);
		return {outcome: this.outcome};
	}

	async hold(request: HoldRequest): Promise<{kind: 'lists'; lists: WorkerLists}> {
		this.holds.push(request);
		return {kind: 'lists', lists: this.lists};
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

class AgentWorld {
	readonly clock = new ManualClock(50_000);
	readonly port = new FakePort();
	readonly store = new FakeStore();
	readonly pausesMs: number[] = [];
	readonly agent: AgentCore;

	constructor() {
		this.agent = new AgentCore({
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

	/** Runs the agent's loop for one look. */
	async look(): Promise<void> {
		const before = this.port.holds.length;
		const run = this.agent.run();
		while (this.port.holds.length === before) {
			await Promise.resolve();
		}

		this.agent.stop();
		await run;
	}

	async watch(epoch: number, request: Record<string, unknown> = {}): Promise<WatchAnswer & StaleEpochAnswer> {
		return await this.agent.onWatch({epoch, sinceVersion: -1, waitMs: 0, ...request}) as WatchAnswer & StaleEpochAnswer;
	}
}

describe('agent core', () => {
	it('reports the worker with its lists', async () => {
		const world = new AgentWorld();
		world.port.lists = {clockMs: 1000, bornMs: 5, running: [RUN], ended: []};
		world.agent.onHeartbeat(FACTS, 1, 5);
		await world.look();
		const answer = await world.watch(3);
		expect(answer.report?.facts.life).to.equal('w1@5');
		expect(answer.report?.lists?.running).to.deep.equal([RUN]);
	});

	it('reports no lists that belong to another life than the announced one', async () => {
		const world = new AgentWorld();
		world.port.lists = {clockMs: 1000, bornMs: 6, running: [RUN], ended: []};
		world.agent.onHeartbeat(FACTS, 1, 5);
		await world.look();
		const answer = await world.watch(3);
		expect(answer.report?.lists).to.equal(undefined);
	});

	const heartbeatCases = [
		{title: 'an older sequence', sequence: 1, bornMs: 5, isTaken: false},
		{title: 'an earlier life', sequence: 9, bornMs: 4, isTaken: false},
		{title: 'a newer sequence', sequence: 3, bornMs: 5, isTaken: true},
		{title: 'a later life that counts anew', sequence: 1, bornMs: 6, isTaken: true},
	];
	for (const {title, sequence, bornMs, isTaken} of heartbeatCases) {
		it(`${isTaken ? 'takes' : 'ignores'} a heartbeat with ${title}`, async () => {
			const world = new AgentWorld();
			world.agent.onHeartbeat(FACTS, 2, 5);
			world.agent.onHeartbeat({...FACTS, state: WORKER_STATES.draining}, sequence, bornMs);
			const answer = await world.watch(1);
			expect(answer.report?.facts.state).to.equal(isTaken ? WORKER_STATES.draining : WORKER_STATES.ready);
		});
	}

	it('keeps its lists when others of the same millisecond arrive after them', async () => {
		const world = new AgentWorld();
		world.port.lists = {clockMs: 1000, bornMs: 5, running: [RUN], ended: []};
		world.agent.onHeartbeat(FACTS, 1, 5);
		await world.look();
		world.port.lists = {clockMs: 1000, bornMs: 5, running: [], ended: []};
		await world.agent.onOrder({epoch: 1, life: 'w1@5', order: {kind: 'stop', task: 'other', run: 1}});
		await Promise.resolve();
		const answer = await world.watch(3);
		expect(answer.report?.lists?.running).to.deep.equal([RUN]);
	});

	it('refuses calls of a leader with a lower epoch than it has seen', async () => {
		const world = new AgentWorld();
		await world.watch(4);
		expect(await world.watch(3)).to.deep.equal({epoch: 4});
		expect(await world.agent.onOrder({epoch: 3, life: 'w1@5', order: {kind: 'stop', task: 't', run: 1}})).to.deep.equal({epoch: 4});
		expect(world.port.orders).to.deep.equal([]);
	});

	it('relays an order only to the life that it names', async () => {
		const world = new AgentWorld();
		world.agent.onHeartbeat(FACTS, 1, 5);
		const refused = await world.agent.onOrder({epoch: 1, life: 'w1@4', order: {kind: 'stop', task: 't', run: 1}});
		expect(refused).to.deep.include({outcome: {kind: 'refused', reason: REFUSALS.otherLife}});
		await world.agent.onOrder({epoch: 1, life: 'w1@5', order: {kind: 'stop', task: 't', run: 1}});
		expect(world.port.orders).to.deep.equal(['stop t']);
	});

	it('extends the lease as the leader says, and acknowledges only what the leader has stored', async () => {
		const world = new AgentWorld();
		world.agent.onHeartbeat(FACTS, 1, 5);
		await world.look();
		await world.watch(2, {life: 'w1@5', leaseUntilMs: 9000, ackSequence: 7});
		expect(world.port.holds.at(-1)).to.deep.include({leaseUntilMs: 9000, ackSequence: 7, epoch: 2});
	});

	it('looks at once at a worker that announces a new life, instead of after the look that is under way', async () => {
		const world = new AgentWorld();
		world.port.lists = {clockMs: 1000, bornMs: 5, running: [RUN], ended: []};
		await world.look();
		const looks = world.port.holds.length;
		world.agent.onHeartbeat(FACTS, 1, 5);
		expect(world.port.holds.slice(looks)).to.deep.equal([{
			epoch: 0, ackSequence: 0, waitMs: 0, workerId: 'w1',
		}]);
		await Promise.resolve();
		const answer = await world.watch(3);
		expect(answer.report?.lists?.running).to.deep.equal([RUN]);
	});

	const unacknowledgedCases = [
		{title: 'pauses between looks while the worker lists ends that are not acknowledged', ackSequence: 3, pausesMs: [100]},
		{title: 'looks again without a pause when all listed ends are acknowledged', ackSequence: 4, pausesMs: []},
	];
	for (const {title, ackSequence, pausesMs} of unacknowledgedCases) {
		it(title, async () => {
			const world = new AgentWorld();
			world.agent.onHeartbeat(FACTS, 1, 5);
			await Promise.resolve();
			world.port.lists = {...world.port.lists, clockMs: 1001};
			await world.watch(1, {life: 'w1@5', ackSequence});
			world.port.lists = {
				clockMs: 1002, bornMs: 5, running: [], ended: [{
					sequence: 4, task: RUN.task, run: 1, outcome: RUN_OUTCOMES.done, checkpoint: '',
				}],
			};
			await world.look();
			expect(world.pausesMs).to.deep.equal(pausesMs);
		});
	}

	const silenceCases = [
		{title: 'extends the lease itself while the store does not suspect the worker', suspects: [] as string[], isUp: true, leaseUntilMs: 7000},
		{title: 'does not extend the lease of a suspected worker', suspects: ['w1@5'], isUp: true, leaseUntilMs: undefined},
		{title: 'does not extend the lease when the store does not answer either', suspects: [] as string[], isUp: false, leaseUntilMs: undefined},
	];
	for (const {title, suspects, isUp, leaseUntilMs} of silenceCases) {
		it(`without a leader ${title}`, async () => {
			const world = new AgentWorld();
			world.port.lists = {clockMs: 1000, bornMs: 5, running: [RUN], ended: []};
			world.agent.onHeartbeat(FACTS, 1, 5);
			await world.watch(1);
			await world.agent.onOrder({epoch: 1, life: 'w1@5', order: {kind: 'start', task: RUN.task, run: 1, payload: '', leaseUntilMs: 1, checkpoint: ''}});
			await Promise.resolve();
			world.clock.advance(2500);
			world.store.isUp = isUp;
			world.store.rows = suspects.map(key => ({table: TABLES.suspects, key, value: {}, version: 3, isRemoved: false}));
			await world.look();
			expect(world.port.holds.at(-1)?.leaseUntilMs).to.equal(leaseUntilMs);
		});
	}
});
