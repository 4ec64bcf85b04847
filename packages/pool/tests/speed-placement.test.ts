import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness, TEST_CONFIG} from './support/pool-harness.js';
import type {StepSpec} from '@amaranthsail/pool';
import type {CandidateWorker} from '@amaranthsail/pool/placement.js';
import {planPreemption} from '@amaranthsail/pool/preemption.js';

const FAST = ['w0', 'w1', 'w2', 'w3'];
const SLOW = ['w4', 'w5', 'w6', 'w7', 'w8', 'w9', 'w10', 'w11'];

const WHOLE = {cpuMillis: 1000, memoryMb: 1000, accelerators: 8};
const HALF = {cpuMillis: 1000, memoryMb: 1000, accelerators: 4};

/** `occupied` workers run another job; `expected` are the workers of the job, or their number. */
type PlacementCase = {
	readonly title: string;
	readonly occupied?: readonly string[];
	readonly occupiedShape?: typeof WHOLE;
	readonly queue: string;
	readonly step: Partial<StepSpec>;
	readonly expected: readonly string[] | number;
	readonly within: readonly string[];
};

/** A pool of four fast and eight slow workers, whose speeds a gang has shown unless `fastPercent` is that of slow ones. */
function createPool(fastPercent = 5): PoolHarness {
	const workers = [...FAST, ...SLOW].map(agent => new FakeWorker(agent));
	for (const worker of workers) {
		worker.percentPerReport = FAST.includes(worker.agent) ? fastPercent : 2;
	}

	const harness = new PoolHarness(workers);
	harness.runCycle();
	harness.submit('learn', 'normal', [makeStep({shape: WHOLE, taskCount: 12, isGang: true})]);
	harness.advance(1500);
	harness.cancel('learn');
	harness.advance(300);
	expect(harness.events('worker speeds').length).to.equal(fastPercent === 5 ? 1 : 0);
	return harness;
}

function placesOf(harness: PoolHarness, job: string): readonly string[] {
	return harness.workers.filter(worker => [...worker.runs.keys()].some(task => task.startsWith(`${job}.`))).map(({agent}) => agent);
}

/** Occupies workers by one job each, from now on until they end. */
function occupy(harness: PoolHarness, agents: readonly string[], step: Partial<StepSpec>): void {
	for (const agent of agents) {
		harness.submit(`on-${agent}`, 'normal', [makeStep({shape: WHOLE, estimatedMs: 60_000, requiredLabel: agent, ...step})]);
	}

	harness.runCycle();
}

function createLabelledPool(fastPercent = 5): PoolHarness {
	const harness = createPool(fastPercent);
	for (const worker of harness.workers) {
		worker.facts = {...worker.facts, labels: ['a', 'r1', worker.agent]};
	}

	harness.runCycle();
	return harness;
}

describe('placement on workers of different speeds', () => {
	const gangOf = (taskCount: number, shape = WHOLE): Partial<StepSpec> => ({taskCount, isGang: true, shape});
	const cases: readonly PlacementCase[] = [
		{title: 'an urgent gang goes to fast workers', queue: 'urgent', step: gangOf(4), expected: 4, within: FAST},
		{title: 'an urgent gang passes over half used slow workers', occupied: SLOW, occupiedShape: HALF, queue: 'urgent', step: gangOf(2, HALF), expected: 1, within: FAST},
		{title: 'an urgent task passes over half used slow workers', occupied: SLOW, occupiedShape: HALF, queue: 'urgent', step: {shape: HALF}, expected: 1, within: FAST},
		{title: 'an urgent gang that is too wide for the fast workers goes to slow ones at once', queue: 'urgent', step: gangOf(5), expected: 5, within: SLOW},
		{title: 'an urgent gang goes to slow workers at once while fast ones are busy for long', occupied: FAST, queue: 'urgent', step: gangOf(2), expected: 2, within: SLOW},
		{title: 'less urgent work passes over half used fast workers', occupied: FAST, occupiedShape: HALF, queue: 'normal', step: {shape: HALF}, expected: 1, within: SLOW},
		{title: 'a less urgent gang passes over half used fast workers', occupied: FAST, occupiedShape: HALF, queue: 'batch', step: gangOf(3, HALF), expected: 2, within: SLOW},
		{title: 'less urgent work goes to a fast worker rather than wait', occupied: SLOW, queue: 'normal', step: {shape: WHOLE}, expected: 1, within: FAST},
		{title: 'a less urgent gang goes to fast workers alone if slow ones are too few', occupied: SLOW.slice(1), queue: 'normal', step: gangOf(2), expected: 2, within: FAST},
		{title: 'a less urgent gang uses both rather than wait', occupied: [...SLOW.slice(1), ...FAST.slice(1)], queue: 'normal', step: gangOf(2), expected: ['w0', 'w4'], within: ['w0', 'w4']},
	];
	for (const {title, occupied = [], occupiedShape = WHOLE, queue, step, expected, within} of cases) {
		it(title, () => {
			const harness = createLabelledPool();
			occupy(harness, occupied, {shape: occupiedShape});
			harness.submit('j', queue, [makeStep({estimatedMs: 3000, ...step})]);
			harness.runCycle();
			const places = placesOf(harness, 'j');
			expect(within).to.include.members([...places]);
			expect(typeof expected === 'number' ? places.length : places).to.deep.equal(expected);
		});
	}

	/** Objectives of urgent jobs that slow workers miss without any wait. */
	const TIGHT_CONFIG = {...TEST_CONFIG, queues: TEST_CONFIG.queues.map(queue => ({...queue, stretch: 1}))};

	it('an urgent gang that slow workers make late waits for fast ones that are free soon, but not for long', () => {
		const harness = createLabelledPool();
		harness.configure(TIGHT_CONFIG);
		occupy(harness, FAST, {estimatedMs: 2200});
		harness.advance(1500);
		harness.submit('j', 'urgent', [makeStep({taskCount: 2, isGang: true, shape: WHOLE})]);
		harness.advance(300);
		expect(placesOf(harness, 'j')).to.deep.equal([]);
		for (const agent of FAST.slice(0, 2)) {
			harness.workers.find(worker => worker.agent === agent)!.end(`on-${agent}.0.0.0`, 'done');
		}

		harness.runCycle();
		expect(placesOf(harness, 'j')).to.deep.equal(['w0', 'w1']);
		harness.submit('j2', 'urgent', [makeStep({taskCount: 2, isGang: true, shape: WHOLE})]);
		// Guards against an urgent gang that waits on and on for runs that take longer than predicted.
		harness.advance(1500);
		expect(placesOf(harness, 'j2').length).to.equal(2);
	});

	it('an urgent gang that is on time on slow workers does not wait for fast ones', () => {
		const harness = createLabelledPool();
		occupy(harness, FAST, {estimatedMs: 2200});
		harness.advance(1500);
		harness.submit('j', 'urgent', [makeStep({taskCount: 2, isGang: true, shape: WHOLE})]);
		harness.runCycle();
		expect(placesOf(harness, 'j')).to.deep.equal(['w4', 'w5']);
	});

	it('stops no work only to place an urgent gang on fast workers', () => {
		const harness = createLabelledPool();
		occupy(harness, FAST, {});
		harness.submit('j', 'urgent', [makeStep({taskCount: 2, isGang: true, shape: WHOLE})]);
		harness.advance(1000);
		expect(harness.events('preemption')).to.deep.equal([]);
	});

	const preemptions = [
		{title: 'of fast workers if little less is lost on slow ones', slowLoss: 60, expected: ['f1', 'f2']},
		{title: 'of slow workers if much less is lost there', slowLoss: 40, expected: ['s1', 's2']},
	];
	for (const {title, slowLoss, expected} of preemptions) {
		it(`preempts for an urgent gang without room the work ${title}`, () => {
			const workers: readonly CandidateWorker[] = ['s1', 's2', 'f1', 'f2'].map(incarnation => ({
				incarnation, rack: 'r', labels: [], capacity: WHOLE, free: {...WHOLE, accelerators: 0}, isFast: incarnation.startsWith('f'),
				slowness: 1, sameStepCount: 0, hasFailedHere: false, isTooRisky: false, crashExposure: 0, speedPenalty: 0, interference: 0,
			}));
			const victims = workers.map(({incarnation, isFast}) => ({id: incarnation, shapes: new Map([[incarnation, WHOLE]]), lostCoreSeconds: isFast ? 100 : slowLoss}));
			const request = {step: makeStep(gangOf(2)), count: 2, mayBeRemote: false, mayBeRisky: false, isLastAttempt: false, prefersFast: true, ownInterference: 0};
			expect(planPreemption(request, workers, victims)?.incarnations).to.deep.equal(expected);
		});
	}

	it('keeps a task that failed on a slow worker off it while a fast one is free', () => {
		const harness = createLabelledPool();
		occupy(harness, SLOW.slice(1), {});
		harness.submit('j', 'normal', [makeStep({shape: WHOLE})]);
		harness.runCycle();
		expect(placesOf(harness, 'j')).to.deep.equal(['w4']);
		harness.advance(600);
		harness.workers.find(({agent}) => agent === 'w4')!.end('j.0.0.0', 'failed');
		harness.runCycle();
		expect(FAST).to.include.members([...placesOf(harness, 'j')]);
	});

	it('is known to the next leader before any run has ended there', () => {
		const harness = createLabelledPool();
		harness.advance(10_000);
		expect(harness.rowsOf('speeds').length).to.equal(1);
		harness.replaceLeader();
		harness.recoverLeader();
		harness.advance(600);
		harness.submit('j', 'urgent', [makeStep({taskCount: 4, isGang: true, shape: WHOLE})]);
		harness.runCycle();
		expect(placesOf(harness, 'j')).to.deep.equal(FAST);
	});

	for (const value of [undefined, null, [], {workers: []}, {workers: {w0: ['fast', 1], w1: [99, 1], w2: [0.5, -1], w3: [0.5]}}, {workers: {w0: [0.8, 1e300]}}]) {
		it(`works without the row ${JSON.stringify(value)}`, () => {
			const harness = createLabelledPool();
			harness.replaceLeader();
			harness.write('speeds', 'region', value);
			harness.recoverLeader();
			harness.advance(600);
			harness.submit('j', 'urgent', [makeStep({taskCount: 4, isGang: true, shape: WHOLE})]);
			harness.runCycle();
			expect(placesOf(harness, 'j').length).to.equal(4);
			expect(harness.events('worker speeds').length).to.equal(1);
		});
	}

	it('writes the row at most every 10 s, only if a speed has moved, and never while speeds do not count', () => {
		for (const {fastPercent, expected} of [{fastPercent: 5, expected: 1}, {fastPercent: 2, expected: 0}]) {
			const harness = createLabelledPool(fastPercent);
			const versions = new Set<number>();
			for (let second = 0; second < 40; second++) {
				harness.advance(1000);
				for (const {version} of harness.rowsOf('speeds')) {
					versions.add(version);
				}
			}

			expect(versions.size).to.equal(expected);
		}
	});

	it('changes nothing among workers of one speed', () => {
		const harness = createLabelledPool(2);
		occupy(harness, SLOW.slice(0, 1), {shape: HALF});
		harness.submit('j', 'urgent', [makeStep({shape: HALF})]);
		harness.runCycle();
		expect(placesOf(harness, 'j')).to.deep.equal(['w4']);
	});
});
