import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness} from './support/pool-harness.js';
import {DEFAULT_LIMITS, type PoolLimits, type StepSpec, type WorkerFacts} from '@amaranthsail/pool';

const EVACUATION_MS = 5000;

const LIMITS: PoolLimits = {...DEFAULT_LIMITS, evacuationMs: EVACUATION_MS};

const NO_CAPACITY = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

const CAPACITY = new FakeWorker('any').facts.capacity;

const WIDE_GANG: Partial<StepSpec> = {taskCount: 2, isGang: true, shape: {cpuMillis: 1000, memoryMb: 1000, accelerators: 5}};

const LARGE = {cpuMillis: 64_000, memoryMb: 131_072, accelerators: 16};

function enlarge(worker: FakeWorker, capacity = CAPACITY): void {
	worker.facts = {...worker.facts, capacity};
}

function countStarts(workers: readonly FakeWorker[]): readonly number[] {
	return workers.map(worker => worker.started.length);
}

type Fixture = {readonly harness: PoolHarness; readonly workers: readonly FakeWorker[]};

function makeHarness(facts: ReadonlyArray<Partial<WorkerFacts>>, limits = LIMITS): Fixture {
	const workers = facts.map((fields, index) => new FakeWorker(`w${index}`, {failureDomain: 'east', labels: ['a', `r${index}`], ...fields}));
	const harness = new PoolHarness(workers, limits);
	harness.runCycle();
	return {harness, workers};
}

type Action = 'request' | 'withdraw' | 'follow' | 'unfollow' | 'submit' | 'submitUrgent'
	| 'tick' | 'commit' | 'wait' | 'waitLong' | 'failThere' | 'loseOrders' | 'deliverOrders' | 'replaceLeader' | 'recoverLeader';

function perform(action: Action, {harness, workers: [there]}: Fixture, step: Partial<StepSpec>): void {
	switch (action) {
		case 'request':
		case 'withdraw': {
			harness.evacuated[action === 'request' ? 'add' : 'delete']('west');
			break;
		}

		case 'submit':
		case 'submitUrgent': {
			harness.submit(action, action === 'submit' ? 'normal' : 'urgent', [makeStep(action === 'submit' ? step : {taskCount: 8, isGang: true})]);
			break;
		}

		case 'loseOrders':
		case 'deliverOrders': {
			there!.areOrdersLost = action === 'loseOrders';
			break;
		}

		case 'failThere': {
			there!.end([...there!.runs.keys()][0]!, 'failed');
			break;
		}

		case 'follow':
		case 'unfollow': {
			harness.areEvacuationsFollowed = action === 'follow';
			break;
		}

		case 'wait':
		case 'waitLong': {
			harness.advance(action === 'wait' ? 300 : 2400);
			break;
		}

		case 'tick': {
			harness.core.tick();
			break;
		}

		case 'commit':
		case 'replaceLeader':
		case 'recoverLeader': {
			harness[action]();
		}
	}
}

describe('the evacuation of a failure domain', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly actions: readonly Action[]; readonly run: number}> = [
		{title: 'before a placement', actions: ['request', 'submit', 'wait'], run: 1},
		{title: 'while a placement is being stored', actions: ['submit', 'tick', 'request', 'wait'], run: 2},
		{title: 'while a start is not answered', actions: ['loseOrders', 'submit', 'wait', 'request', 'wait', 'deliverOrders'], run: 2},
		{title: 'while a start waits for the permit of the leader', actions: ['submit', 'tick', 'commit', 'request', 'wait'], run: 2},
		{title: 'before a new leader sends a stored start', actions: ['loseOrders', 'submit', 'wait', 'deliverOrders', 'replaceLeader', 'request', 'recoverLeader'], run: 2},
		{title: 'before the first placement of a new leader', actions: ['replaceLeader', 'request', 'submit', 'recoverLeader'], run: 1},
	];
	for (const {title, actions, run} of cases) {
		it(`that is requested ${title} keeps the task from being started there; it runs elsewhere`, () => {
			const fixture = makeHarness([{failureDomain: 'west'}, {capacity: NO_CAPACITY}]);
			for (const action of actions) {
				perform(action, fixture, {estimatedMs: 500});
			}

			enlarge(fixture.workers[1]!);
			fixture.harness.advance(2000);
			expect(fixture.workers.map(worker => worker.started)).to.deep.equal([[], [`submit.0.0.0#${run}`]]);
		});
	}

	it('lets running work continue to its end, with leases and acknowledgements', () => {
		const {harness, workers: [worker]} = makeHarness([{failureDomain: 'west'}, {}]);
		harness.submit('j1', 'normal', [makeStep({taskCount: 1, requiredLabel: 'r0'})]);
		harness.advance(500);
		harness.evacuated.add('west');
		harness.advance(20_000);
		expect([...worker!.runs.keys()]).to.deep.equal(['j1.0.0.0']);
		worker!.end('j1.0.0.0', 'done');
		harness.advance(500);
		expect(harness.core.jobView('j1')?.state).to.equal('completed');
		expect(worker!.ackSequence).to.equal(1);
	});

	type Case = {
		readonly title: string; readonly step?: Partial<StepSpec>; readonly limits?: PoolLimits; readonly actions: readonly Action[]; readonly starts: readonly [number, number]; readonly placed?: 0;
	};
	const placements: readonly Case[] = [
		{title: 'places a gang elsewhere whose member fails there', step: WIDE_GANG, actions: ['submit', 'wait', 'request', 'failThere', 'wait', 'wait'], starts: [1, 3]},
		{title: 'places a step that prefers a rack there on another rack at once', step: {estimatedMs: 60_000, preferredRack: 'r0'}, actions: ['request', 'submit', 'wait'], starts: [0, 1]},
		{title: 'has a step wait whose label exists only there', step: {requiredLabel: 'r0'}, actions: ['request', 'submit', 'wait', 'wait'], starts: [0, 0]},
		{title: 'has that step start after its end', step: {requiredLabel: 'r0'}, actions: ['request', 'submit', 'wait', 'withdraw', 'wait'], starts: [1, 0]},
		{title: 'keeps a gang with a member there from being preempted', step: {taskCount: 24, isGang: true}, actions: ['submit', 'wait', 'request', 'submitUrgent', 'wait', 'wait'], starts: [8, 16]},
		{title: 'sends starts for the bound less 2 s without a confirmation', actions: ['unfollow', 'waitLong', 'submit', 'wait'], starts: [1, 0]},
		{title: 'sends no starts after that', actions: ['unfollow', 'waitLong', 'wait', 'wait', 'submit', 'wait'], starts: [0, 0]},
		{title: 'sends them once the requests are confirmed', actions: ['unfollow', 'waitLong', 'wait', 'wait', 'submit', 'wait', 'follow', 'wait'], starts: [1, 0]},
		{title: 'needs no confirmation without the bound', limits: DEFAULT_LIMITS, actions: ['unfollow', 'waitLong', 'waitLong', 'submit', 'wait'], starts: [1, 0]},
		{title: 'has a new leader place nothing before it knows the requests', actions: ['unfollow', 'replaceLeader', 'submit', 'recoverLeader', 'wait'], starts: [0, 0], placed: 0},
	];
	for (const {title, step = {}, limits, actions, starts, placed} of placements) {
		it(title, () => {
			const fixture = makeHarness([{failureDomain: 'west'}, {capacity: LARGE}], limits);
			for (const action of actions) {
				perform(action, fixture, step);
			}

			expect(countStarts(fixture.workers)).to.deep.equal(starts);
			expect(fixture.harness.events('preemption')).to.deep.equal([]);
			expect(fixture.harness.events('task placed').length).to.equal(placed ?? fixture.harness.events('task placed').length);
		});
	}

	it('places the tasks of a step that prefers one rack near those that run outside', () => {
		const {harness, workers} = makeHarness([{failureDomain: 'west'}, ...['r1', 'r1', 'r2'].map(rack => ({labels: ['a', rack], capacity: NO_CAPACITY}))]);
		const shape = {...CAPACITY, cpuMillis: 20_000, accelerators: 1};
		harness.submit('j1', 'normal', [makeStep({taskCount: 3, prefersOneRack: true, estimatedMs: 60_000, shape})]);
		harness.advance(300);
		harness.evacuated.add('west');
		enlarge(workers[1]!);
		harness.advance(300);
		enlarge(workers[2]!);
		// Fits best.
		enlarge(workers[3]!, shape);
		harness.advance(300);
		expect(countStarts(workers)).to.deep.equal([1, 1, 1, 0]);
	});

	it('leaves another evacuation in force when it is withdrawn, and logs once what waits and which name is unknown', () => {
		const {harness, workers} = makeHarness([{failureDomain: 'west'}, {failureDomain: 'north', capacity: NO_CAPACITY}, {capacity: NO_CAPACITY}]);
		for (const failureDomain of ['west', 'north', 'nowhere']) {
			harness.evacuated.add(failureDomain);
		}

		harness.submit('j1', 'normal', [makeStep({requiredLabel: 'a'})]);
		harness.submit('j2', 'normal', [makeStep({requiredLabel: 'r0'})]);
		harness.advance(12_000);
		enlarge(workers[1]!);
		harness.advance(300);
		expect(workers.flatMap(worker => worker.started)).to.deep.equal([]);
		harness.evacuated.delete('west');
		harness.advance(300);
		expect(countStarts(workers)).to.deep.equal([2, 0, 0]);
		expect(harness.events('step waits for evacuated workers')).to.deep.equal([{job: 'j2', step: 0, label: 'r0', failureDomains: ['west']}]);
		expect(harness.events('evacuated failure domain unknown')).to.deep.equal([{failureDomain: 'nowhere'}]);
	});

	it('counts its idle workers neither as free capacity nor as headroom', () => {
		const facts = Array.from({length: 10}, (_, index) => ({failureDomain: index < 5 ? 'west' : 'east'}));
		const {harness, workers} = makeHarness(facts);
		harness.evacuated.add('west');
		harness.submit('urgent', 'urgent', [makeStep({taskCount: 8, isGang: true, estimatedMs: 60_000})]);
		harness.submit('normal', 'normal', [makeStep({taskCount: 40, estimatedMs: 60_000})]);
		harness.advance(1000);
		// 8 accelerators of the 40 that are left are kept free for the next urgent job.
		expect(workers.flatMap(worker => worker.started).length).to.equal(32);
	});

	it('limits the time for which a start without an answer may still be carried out', () => {
		const {harness, workers: [worker]} = makeHarness([{}]);
		const deadlines: number[] = [];
		worker!.areOrdersLost = true;
		harness.onLostOrder = (_worker, order) => {
			if (order.kind === 'start') {
				deadlines.push(order.leaseUntilMs);
			}
		};

		harness.areEvacuationsFollowed = false;
		const confirmedAtMs = harness.clock.monotonicMs();
		harness.advance(2000);
		harness.submit('j1', 'normal', [makeStep()]);
		harness.advance(900);
		expect(deadlines).to.have.length.above(0);
		expect(Math.max(...deadlines)).to.be.below(confirmedAtMs + EVACUATION_MS);
	});
});
