import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness} from './support/pool-harness.js';
import {DEFAULT_LIMITS, type PoolLimits, type WorkerFacts} from '@amaranthsail/pool';

const EVACUATION_MS = 5000;

const LIMITS: PoolLimits = {...DEFAULT_LIMITS, evacuationMs: EVACUATION_MS};

const NO_CAPACITY = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

const SHORT_STEP = makeStep({estimatedMs: 500});

function makeHarness(facts: ReadonlyArray<Partial<WorkerFacts>>, limits = LIMITS): {readonly harness: PoolHarness; readonly workers: readonly FakeWorker[]} {
	const workers = facts.map((fields, index) => new FakeWorker(`w${index}`, {failureDomain: 'east', labels: ['a', `r${index}`], ...fields}));
	const harness = new PoolHarness(workers, limits);
	harness.runCycle();
	return {harness, workers};
}

describe('the evacuation of a failure domain', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly act: (harness: PoolHarness, worker: FakeWorker) => void; readonly run: number}> = [
		{
			title: 'before a placement',
			act(harness) {
				harness.evacuated.add('west');
				harness.submit('j1', 'normal', [SHORT_STEP]);
				harness.advance(300);
			},
			run: 1,
		},
		{
			title: 'while a placement is being stored',
			act(harness) {
				harness.submit('j1', 'normal', [SHORT_STEP]);
				harness.core.tick();
				harness.evacuated.add('west');
				harness.advance(300);
			},
			run: 2,
		},
		{
			title: 'while a start is not answered',
			act(harness, worker) {
				worker.areOrdersLost = true;
				harness.submit('j1', 'normal', [SHORT_STEP]);
				harness.advance(300);
				harness.evacuated.add('west');
				harness.advance(300);
				worker.areOrdersLost = false;
			},
			run: 2,
		},
		{
			title: 'while a start waits for the permit of the leader',
			act(harness) {
				harness.submit('j1', 'normal', [SHORT_STEP]);
				harness.core.tick();
				harness.commit();
				harness.evacuated.add('west');
				harness.advance(300);
			},
			run: 2,
		},
		{
			title: 'before a new leader sends a stored start',
			act(harness, worker) {
				worker.areOrdersLost = true;
				harness.submit('j1', 'normal', [SHORT_STEP]);
				harness.advance(300);
				worker.areOrdersLost = false;
				harness.replaceLeader();
				harness.evacuated.add('west');
				harness.recoverLeader();
			},
			run: 2,
		},
		{
			title: 'before the first placement of a new leader',
			act(harness) {
				harness.replaceLeader();
				harness.evacuated.add('west');
				harness.submit('j1', 'normal', [SHORT_STEP]);
				harness.recoverLeader();
			},
			run: 1,
		},
	];
	for (const {title, act, run} of cases) {
		it(`that is requested ${title} keeps the task from being started there; it runs elsewhere`, () => {
			const {harness, workers: [worker, other]} = makeHarness([{failureDomain: 'west'}, {capacity: NO_CAPACITY}]);
			act(harness, worker!);
			other!.facts = {...other!.facts, capacity: worker!.facts.capacity};
			harness.advance(2000);
			expect(worker!.started).to.deep.equal([]);
			expect(other!.started).to.deep.equal([`j1.0.0.0#${run}`]);
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

	it('places a gang elsewhere whose member fails there', () => {
		const {harness, workers} = makeHarness([{failureDomain: 'west', capacity: {cpuMillis: 1000, memoryMb: 1000, accelerators: 1}}, {}]);
		harness.submit('j1', 'normal', [makeStep({taskCount: 2, isGang: true})]);
		harness.advance(300);
		expect(workers.map(worker => worker.started.length)).to.deep.equal([1, 1]);
		harness.evacuated.add('west');
		harness.advance(1000);
		const [failing] = workers[0]!.runs.keys();
		workers[0]!.end(failing!, 'failed');
		harness.advance(1000);
		expect(workers.map(worker => worker.started.length)).to.deep.equal([1, 3]);
	});

	it('places a step that prefers a rack there on another rack without waiting', () => {
		const {harness, workers: [, other]} = makeHarness([{failureDomain: 'west'}, {}]);
		harness.evacuated.add('west');
		harness.submit('j1', 'normal', [makeStep({estimatedMs: 60_000, preferredRack: 'r0'})]);
		harness.advance(300);
		expect(other!.started).to.have.length(1);
	});

	it('places the tasks of a step that prefers one rack near those that run outside', () => {
		const {capacity} = new FakeWorker('any').facts;
		const {harness, workers} = makeHarness([{failureDomain: 'west'}, ...['r1', 'r1', 'r2'].map(rack => ({labels: ['a', rack], capacity: NO_CAPACITY}))]);
		const shape = {...capacity, cpuMillis: 20_000, accelerators: 1};
		harness.submit('j1', 'normal', [makeStep({taskCount: 3, prefersOneRack: true, estimatedMs: 60_000, shape})]);
		harness.advance(300);
		harness.evacuated.add('west');
		workers[1]!.facts = {...workers[1]!.facts, capacity};
		harness.advance(300);
		workers[2]!.facts = {...workers[2]!.facts, capacity};
		// Fits best.
		workers[3]!.facts = {...workers[3]!.facts, capacity: shape};
		harness.advance(300);
		expect(workers.map(worker => worker.started.length)).to.deep.equal([1, 1, 1, 0]);
	});

	it('has a step wait whose label exists only there, and logs it once', () => {
		const {harness, workers: [worker, other]} = makeHarness([{failureDomain: 'west'}, {}]);
		harness.evacuated.add('west');
		harness.submit('j1', 'normal', [makeStep({requiredLabel: 'r0'})]);
		harness.advance(12_000);
		expect(harness.events('step waits for evacuated workers')).to.deep.equal([{job: 'j1', step: 0, label: 'r0', failureDomains: ['west']}]);
		harness.evacuated.delete('west');
		harness.advance(500);
		expect([worker!.started, other!.started]).to.deep.equal([['j1.0.0.0#1'], []]);
	});

	it('leaves another evacuation in force when it is withdrawn, and logs a failure domain without workers once', () => {
		const {harness, workers} = makeHarness([{failureDomain: 'west'}, {failureDomain: 'north', capacity: NO_CAPACITY}, {capacity: NO_CAPACITY}]);
		for (const failureDomain of ['west', 'north', 'nowhere']) {
			harness.evacuated.add(failureDomain);
		}

		harness.submit('j1', 'normal', [SHORT_STEP]);
		harness.advance(12_000);
		workers[1]!.facts = {...workers[1]!.facts, capacity: workers[0]!.facts.capacity};
		harness.advance(300);
		expect(workers.flatMap(worker => worker.started)).to.deep.equal([]);
		harness.evacuated.delete('west');
		harness.advance(300);
		expect(workers.map(worker => worker.started.length)).to.deep.equal([1, 0, 0]);
		expect(harness.events('evacuated failure domain unknown')).to.deep.equal([{failureDomain: 'nowhere'}]);
	});

	it('keeps work there and gangs with a member there from being preempted', () => {
		const {harness, workers} = makeHarness([{failureDomain: 'west'}, {}]);
		harness.submit('gang', 'normal', [makeStep({taskCount: 16, isGang: true, estimatedMs: 60_000})]);
		harness.advance(300);
		harness.evacuated.add('west');
		harness.submit('urgent', 'urgent', [makeStep({taskCount: 8, isGang: true})]);
		harness.advance(3000);
		expect(workers.map(worker => worker.started.length)).to.deep.equal([8, 8]);
		expect(harness.events('preemption')).to.deep.equal([]);
	});

	it('counts its idle workers neither as free capacity nor as headroom', () => {
		const facts = Array.from({length: 10}, (_, index) => ({failureDomain: index < 5 ? 'west' : 'east'}));
		const {harness, workers} = makeHarness(facts);
		harness.evacuated.add('west');
		harness.submit('urgent', 'urgent', [makeStep({taskCount: 8, isGang: true, estimatedMs: 60_000})]);
		harness.submit('normal', 'normal', [makeStep({taskCount: 40, estimatedMs: 60_000})]);
		harness.advance(1000);
		// 8 accelerators of the 40 that are left are kept free for the next urgent job.
		expect(workers.map(worker => worker.started.length).reduce((sum, count) => sum + count, 0)).to.equal(32);
	});

	describe('without a confirmation of the requests', () => {
		const confirmationCases: ReadonlyArray<{readonly title: string; readonly limits: PoolLimits; readonly silentMs: number; readonly started: number}> = [
			{title: 'sends starts for the bound minus 2 s', limits: LIMITS, silentMs: 2500, started: 1},
			{title: 'sends no starts after that', limits: LIMITS, silentMs: 3000, started: 0},
			{title: 'sends starts at any time in a deployment without the bound', limits: DEFAULT_LIMITS, silentMs: 60_000, started: 1},
		];
		for (const {title, limits, silentMs, started} of confirmationCases) {
			it(title, () => {
				const {harness, workers: [worker]} = makeHarness([{}], limits);
				harness.areEvacuationsFollowed = false;
				harness.advance(silentMs);
				harness.submit('j1', 'normal', [makeStep()]);
				harness.advance(300);
				expect(worker!.started).to.have.length(started);
				harness.areEvacuationsFollowed = true;
				harness.advance(300);
				expect(worker!.started).to.have.length(1);
			});
		}

		it('a new leader places nothing before it has read the requests', () => {
			const {harness} = makeHarness([{}]);
			harness.areEvacuationsFollowed = false;
			harness.replaceLeader();
			harness.submit('j1', 'normal', [makeStep()]);
			harness.recoverLeader();
			harness.advance(2000);
			expect(harness.events('task placed')).to.deep.equal([]);
		});
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
