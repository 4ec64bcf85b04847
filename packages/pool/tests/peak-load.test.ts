import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness} from './support/pool-harness.js';

const WHOLE_WORKER = {cpuMillis: 1000, memoryMb: 1000, accelerators: 8};

/** Start of each run, by harness; a run ends 3 s after it. */
const startsByHarness = new WeakMap<PoolHarness, Map<string, number>>();

/** Advances time while every run ends 3 s after its start, and returns the end of each job's last such run. */
function advanceEndingRuns(harness: PoolHarness, workers: readonly FakeWorker[], forMs: number): Map<string, number> {
	const startedAtMs = startsByHarness.get(harness) ?? new Map<string, number>();
	startsByHarness.set(harness, startedAtMs);
	const endedAtMs = new Map<string, number>();
	for (let passedMs = 0; passedMs < forMs; passedMs += 100) {
		harness.advance(100);
		const nowMs = harness.clock.monotonicMs();
		for (const worker of workers) {
			for (const [task, {run}] of worker.runs.entries()) {
				const startMs = startedAtMs.get(`${task}#${run}`) ?? nowMs;
				startedAtMs.set(`${task}#${run}`, startMs);
				if (nowMs - startMs >= 3000) {
					worker.end(task, 'done');
					endedAtMs.set(task.split('.')[0]!, nowMs);
				}
			}
		}
	}

	return endedAtMs;
}

describe('scheduling under peak load', () => {
	// If jobs are served in order of arrival alone, late jobs delay new ones until all are late.
	it('serves jobs that can still be on time before jobs that cannot', () => {
		const worker = new FakeWorker('w1');
		const harness = new PoolHarness([worker]);
		harness.runCycle();
		const step = makeStep({shape: WHOLE_WORKER});
		for (let number = 0; number < 6; number++) {
			harness.submit(`old${number}`, 'normal', [step]);
		}

		advanceEndingRuns(harness, [worker], 9500);
		const freshAtMs = harness.clock.monotonicMs();
		harness.submit('fresh', 'normal', [step]);
		const ends = advanceEndingRuns(harness, [worker], 9000);
		expect(ends.get('fresh')! - freshAtMs).to.be.at.most((3 * 3000) + 250);
	});

	// Without headroom, every urgent job waits until running work is stopped, and that work is lost.
	it('places urgent jobs on headroom that less urgent work has left free', () => {
		const workers = Array.from({length: 10}, (_, number) => new FakeWorker(`w${number}`));
		const harness = new PoolHarness(workers);
		harness.runCycle();
		for (let number = 0; number < 20; number++) {
			harness.submit(`batch${number}`, 'batch', [makeStep({shape: WHOLE_WORKER, taskCount: 6})]);
			if (number % 2 === 1) {
				harness.submit(`urgent${number}`, 'urgent', [makeStep({shape: WHOLE_WORKER})]);
			}

			advanceEndingRuns(harness, workers, 1500);
		}

		// The first urgent job arrives before any demand is known.
		expect(harness.events('preemption').length).to.be.at.most(1);
	});

	// A gang that needs several whole workers starved for 30 s while single tasks took every worker that became free.
	it('does not let small tasks starve a wide gang', () => {
		const workers = Array.from({length: 4}, (_, number) => new FakeWorker(`w${number}`));
		const harness = new PoolHarness(workers);
		harness.runCycle();
		let gangEndMs: number | undefined;
		for (let number = 0; number < 30 && gangEndMs === undefined; number++) {
			harness.submit(`small${number}`, 'normal', [makeStep({shape: {...WHOLE_WORKER, accelerators: 4}, taskCount: 3})]);
			if (number === 2) {
				harness.submit('wide', 'normal', [makeStep({shape: WHOLE_WORKER, taskCount: 4, isGang: true})]);
			}

			gangEndMs = advanceEndingRuns(harness, workers, 1000).get('wide');
		}

		expect(gangEndMs, 'end of the wide gang').not.to.equal(undefined);
		expect(gangEndMs! - 100_000).to.be.at.most(2000 + (3 * 3000) + 250);
	});

	// Preemption for urgent jobs beyond their guarantee lost several times the work of those jobs.
	it('stops no work for urgent jobs beyond their guarantee that is worth more than theirs', () => {
		const worker = new FakeWorker('w1');
		const harness = new PoolHarness([worker]);
		harness.runCycle();
		harness.submit('long', 'batch', [makeStep({shape: WHOLE_WORKER, estimatedMs: 60_000})]);
		harness.advance(20_000);
		harness.submit('beyond', 'urgent', [makeStep({shape: WHOLE_WORKER})], {account: 'nobody'});
		harness.advance(1000);
		expect(worker.started).to.deep.equal(['long.0.0.0#1']);
		harness.submit('within', 'urgent', [makeStep({shape: WHOLE_WORKER})], {account: 'north'});
		harness.advance(1000);
		expect(worker.started).to.deep.equal(['long.0.0.0#1', 'within.0.0.0#1']);
	});

	it('completes every job eventually', () => {
		const worker = new FakeWorker('w1');
		const harness = new PoolHarness([worker]);
		harness.runCycle();
		for (let number = 0; number < 6; number++) {
			harness.submit(`job${number}`, 'normal', [makeStep({shape: WHOLE_WORKER})]);
		}

		expect(advanceEndingRuns(harness, [worker], 22_000).size).to.equal(6);
	});

	it('starts a gang as wide as its service beside a stream of small jobs that uses less than half of it', () => {
		const workers = ['w0', 'w1', 'w2', 'w3'].map(name => new FakeWorker(name));
		const harness = new PoolHarness(workers);
		harness.runCycle();
		const dueAtMs = new Map<string, number>();
		for (let passedMs = 0; passedMs < 60_000 && !workers[0]!.runs.has('gang.0.0.0'); passedMs += 100) {
			if (passedMs % 1000 === 0) {
				harness.submit(`small${passedMs}`, 'normal', [makeStep({estimatedMs: 10_000})]);
			}

			if (passedMs === 15_000) {
				harness.submit('gang', 'normal', [makeStep({taskCount: 4, isGang: true, shape: WHOLE_WORKER, estimatedMs: 10_000})]);
			}

			harness.advance(100);
			for (const worker of workers) {
				for (const task of worker.runs.keys()) {
					dueAtMs.set(task, dueAtMs.get(task) ?? passedMs + 10_000);
					if (passedMs >= dueAtMs.get(task)!) {
						worker.end(task, 'done');
					}
				}
			}
		}

		expect(workers.flatMap(worker => worker.started).filter(start => start.startsWith('gang'))).to.have.length(4);
	});
});
