import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolWorld} from './support/pool-world.js';

const WHOLE_WORKER = {cpuMillis: 1000, memoryMb: 1000, accelerators: 8};

/** Plays jobs that each take a whole worker for their estimated time, and returns what callers saw. */
function playCrest(world: PoolWorld, workers: readonly FakeWorker[], forMs: number): Map<string, number> {
	const startedAtMs = new Map<string, number>();
	const endedAtMs = new Map<string, number>();
	for (let passedMs = 0; passedMs < forMs; passedMs += 100) {
		world.advance(100);
		const nowMs = world.clock.monotonicMs();
		for (const worker of workers) {
			for (const task of [...worker.runs.keys()]) {
				const startMs = startedAtMs.get(task) ?? nowMs;
				startedAtMs.set(task, startMs);
				if (nowMs - startMs >= 3000) {
					worker.end(task, 'done');
					endedAtMs.set(task.split('.')[0]!, nowMs);
				}
			}
		}
	}

	return endedAtMs;
}

describe('a crest', () => {
	// By arrival alone, jobs that are late already keep the fresh ones waiting until all are late.
	it('serves jobs that can still be on time before jobs that cannot', () => {
		const worker = new FakeWorker('w1');
		const world = new PoolWorld([worker]);
		world.step();
		const step = makeStep({shape: WHOLE_WORKER});
		for (let number = 0; number < 6; number++) {
			world.submit(`old${number}`, 'normal', [step]);
		}

		playCrest(world, [worker], 9500);
		const freshAtMs = world.clock.monotonicMs();
		world.submit('fresh', 'normal', [step]);
		const ends = playCrest(world, [worker], 9000);
		expect(ends.get('fresh')! - freshAtMs).to.be.at.most((3 * 3000) + 250);
	});

	it('serves every job in the end', () => {
		const worker = new FakeWorker('w1');
		const world = new PoolWorld([worker]);
		world.step();
		for (let number = 0; number < 6; number++) {
			world.submit(`job${number}`, 'normal', [makeStep({shape: WHOLE_WORKER})]);
		}

		expect(playCrest(world, [worker], 22_000).size).to.equal(6);
	});
});
