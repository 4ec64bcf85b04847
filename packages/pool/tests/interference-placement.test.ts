import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness} from './support/pool-harness.js';
import {decodeJobRow, TABLES} from '@amaranthsail/pool';
import {kindOf} from '@amaranthsail/pool/interference/task-kind.js';
import type {StepState} from '@amaranthsail/pool/job-model.js';
import {type CandidateWorker, placeUnit} from '@amaranthsail/pool/placement.js';

const CAPACITY = {cpuMillis: 32_000, memoryMb: 65_536, accelerators: 8};

function candidate(incarnation: string, options: Partial<CandidateWorker> = {}): CandidateWorker {
	return {
		incarnation, rack: 'r1', labels: ['a', 'r1'], capacity: CAPACITY, free: CAPACITY, slowness: 1, sameStepCount: 0, hasFailedHere: false, isTooRisky: false, crashExposure: 0, interference: 0, isFast: false, speedPenalty: 0, ...options,
	};
}

describe('placeUnit with interference', () => {
	const nearlyFull = {cpuMillis: 2000, memoryMb: 2000, accelerators: 1};
	const cases: ReadonlyArray<{title: string; workers: readonly CandidateWorker[]; count?: number; ownInterference?: number; expected: readonly string[] | undefined}> = [
		{title: 'prefers an empty worker to the best fit beside a kind that slows it down', workers: [candidate('fit', {free: nearlyFull, interference: 0.2}), candidate('empty')], expected: ['empty']},
		{title: 'starts beside such a kind where there is no other room', workers: [candidate('beside', {interference: 1}), candidate('full', {free: {...CAPACITY, accelerators: 0}})], expected: ['beside']},
		{title: 'chooses the smallest slowdown where all workers have some', workers: [candidate('worse', {interference: 1}), candidate('better', {interference: 0.3})], expected: ['better']},
		{title: 'prefers such a kind to a worker on which the task failed', workers: [candidate('failed', {hasFailedHere: true}), candidate('beside', {interference: 9})], expected: ['beside']},
		{
			title: 'spreads a gang whose members slow each other down', workers: [candidate('w1'), candidate('w2')], count: 2, ownInterference: 1, expected: ['w1', 'w2'],
		},
		{title: 'packs a gang whose members do not', workers: [candidate('w1'), candidate('w2')], count: 2, expected: ['w1', 'w1']},
	];
	// A worker that is excluded leaves work waiting; one that is not ranked behind the others slows it down.
	for (const {title, workers, count = 1, ownInterference = 0, expected} of cases) {
		it(title, () => {
			expect(placeUnit({
				step: makeStep({isGang: count > 1}), count, mayBeRemote: true, mayBeRisky: false, isLastAttempt: false, ownInterference,
			}, workers)).to.deep.equal(expected);
		});
	}
});

describe('kindOf', () => {
	const cases: ReadonlyArray<{title: string; image: unknown; expected: string}> = [
		{title: 'is the image', image: 'encode', expected: 'image encode'},
		{title: 'is queue and shape without an image', image: undefined, expected: 'queue normal 1000/1000/1'},
		{title: 'is queue and shape if a damaged row has no text there', image: {toString: 1}, expected: 'queue normal 1000/1000/1'},
	];
	for (const {title, image, expected} of cases) {
		it(title, () => {
			expect(kindOf({spec: {...makeStep(), image}, job: {queueName: 'normal'}} as unknown as StepState)).to.equal(expected);
		});
	}
});

/** Percent in 100 ms; beside the other kind the runs take twice as long. */
const PERCENT_PER_STEP = 3;

describe('a leader with kinds that slow each other down', () => {
	function startPool(): {harness: PoolHarness; workers: readonly FakeWorker[]; submit: (image: string) => void; work: (forMs: number) => void; countShared: () => number} {
		const workers = Array.from({length: 6}, (_, number) => new FakeWorker(`w${number}`));
		for (const worker of workers) {
			// The test sets the progress.
			worker.isStalled = true;
		}

		const harness = new PoolHarness(workers);
		harness.runCycle();
		const imageOf = (task: string): string => task.split('-')[0]!;
		const progress = new Map<string, number>();
		let jobs = 0;
		return {
			harness,
			workers,
			submit(image) {
				harness.submit(`${image}-${jobs++}`, 'normal', [makeStep({image, shape: {cpuMillis: 1000, memoryMb: 1000, accelerators: 2}})]);
			},
			work(forMs) {
				for (let passedMs = 0; passedMs < forMs; passedMs += 100) {
					for (const worker of workers) {
						const images = new Set([...worker.runs.keys()].map(task => imageOf(task)));
						for (const [task, run] of worker.runs) {
							const done = (progress.get(task) ?? 0) + (PERCENT_PER_STEP / images.size);
							progress.set(task, done);
							run.percent = Math.min(99, Math.floor(done));
							if (done >= 100) {
								worker.end(task, 'done');
							}
						}
					}

					harness.advance(100);
				}
			},
			countShared: () => workers.filter(worker => new Set([...worker.runs.keys()].map(task => imageOf(task))).size > 1).length,
		};
	}

	function learn({harness, submit, work}: ReturnType<typeof startPool>): void {
		for (let round = 0; round < 200 && harness.core.gauges().interfering_pairs !== 2; round++) {
			submit(round % 2 === 0 ? 'a' : 'b');
			work(300 + ((round % 5) * 170));
		}
	}

	// The evidence passes from lists to placements through several parts; any of them may lose it.
	it('finds them in the lists of its workers, keeps them apart, and starts them together where there is no room', () => {
		const pool = startPool();
		learn(pool);
		const [found] = pool.harness.events('interference found');
		expect([found!.kind, found!.neighbour]).to.have.members(['image a', 'image b']);
		pool.work(10_000);
		for (let count = 0; count < 6; count++) {
			pool.submit('a');
			pool.submit('b');
			pool.work(100);
		}

		expect(pool.countShared()).to.equal(0);
		expect(pool.harness.core.gauges()).to.include({interfering_pairs: 2, runs_slowed_by_neighbours: 0});
		for (let count = 0; count < 12; count++) {
			pool.submit(count < 9 ? 'a' : 'b');
		}

		pool.work(200);
		expect(pool.workers.reduce((sum, worker) => sum + worker.runs.size, 0)).to.equal(24);
		expect(pool.harness.core.gauges().runs_slowed_by_neighbours).to.be.above(0);
	});

	// The evidence is not stored: the next leader must place all work, and learn from the runs that it takes over.
	it('learns again after a change of the leader', () => {
		const pool = startPool();
		learn(pool);
		pool.harness.replaceLeader();
		pool.harness.recoverLeader();
		expect(pool.harness.core.gauges()).to.include({interfering_pairs: 0});
		pool.harness.log.length = 0;
		learn(pool);
		expect(pool.harness.events('interference found')).not.to.have.length(0);
		expect(pool.harness.core.gauges()).to.include({interfering_pairs: 2});
		pool.work(10_000);
		expect(pool.harness.core.gauges()).to.include({runs: 0});
	});

	// Without the image in the row, the kinds of jobs change with the leader.
	it('reads the image of a job from its row', () => {
		const {harness, submit} = startPool();
		submit('a');
		expect(decodeJobRow(structuredClone(harness.rowsOf(TABLES.jobs)[0]!.value))?.spec?.steps[0]?.image).to.equal('a');
	});
});
