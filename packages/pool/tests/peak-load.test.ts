import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolWorld} from './support/pool-harness.js';

const WHOLE_WORKER = {cpuMillis: 1000, memoryMb: 1000, accelerators: 8};

/** Start of each run, by world; a run ends 3 s after it. */
const starts = new WeakMap<PoolWorld, Map<string, number>>();

/** Plays jobs whose tasks take 3 s each, and returns when callers saw them end. */
function playCrest(world: PoolWorld, workers: readonly FakeWorker[], forMs: number): Map<string, number> {
	const startedAtMs = starts.get(world) ?? new Map<string, number>();
	starts.set(world, startedAtMs);
	const endedAtMs = new Map<string, number>();
	for (let passedMs = 0; passedMs < forMs; passedMs += 100) {
		world.advance(100);
		const nowMs = world.clock.monotonicMs();
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

	// Every urgent job had to wait until running work was stopped, and that work was lost.
	it('of urgent jobs finds room that less urgent work has left', () => {
		const workers = Array.from({length: 10}, (_, number) => new FakeWorker(`w${number}`));
		const world = new PoolWorld(workers);
		world.step();
		for (let number = 0; number < 20; number++) {
			world.submit(`batch${number}`, 'batch', [makeStep({shape: WHOLE_WORKER, taskCount: 6})]);
			if (number % 2 === 1) {
				world.submit(`urgent${number}`, 'urgent', [makeStep({shape: WHOLE_WORKER})]);
			}

			playCrest(world, workers, 1500);
		}

		// The first urgent job comes before any demand is known.
		expect(world.events('preemption').length).to.be.at.most(1);
	});

	// A gang that needs several whole workers starved for 30 s while single tasks took every worker that came free.
	it('of small tasks does not starve a wide gang', () => {
		const workers = Array.from({length: 4}, (_, number) => new FakeWorker(`w${number}`));
		const world = new PoolWorld(workers);
		world.step();
		let gangEndMs: number | undefined;
		for (let number = 0; number < 30 && gangEndMs === undefined; number++) {
			world.submit(`small${number}`, 'normal', [makeStep({shape: {...WHOLE_WORKER, accelerators: 4}, taskCount: 3})]);
			if (number === 2) {
				world.submit('wide', 'normal', [makeStep({shape: WHOLE_WORKER, taskCount: 4, isGang: true})]);
			}

			gangEndMs = playCrest(world, workers, 1000).get('wide');
		}

		expect(gangEndMs, 'end of the wide gang').not.to.equal(undefined);
		expect(gangEndMs! - 100_000).to.be.at.most(2000 + (3 * 3000) + 250);
	});

	// Urgent jobs beyond their guarantee threw away several times the work that they brought.
	it('of urgent jobs beyond their guarantee stops no work that is worth more than theirs', () => {
		const worker = new FakeWorker('w1');
		const world = new PoolWorld([worker]);
		world.step();
		world.submit('long', 'batch', [makeStep({shape: WHOLE_WORKER, estimatedMs: 60_000})]);
		world.advance(20_000);
		world.submit('unowed', 'urgent', [makeStep({shape: WHOLE_WORKER})], {account: 'nobody'});
		world.advance(1000);
		expect(worker.started).to.deep.equal(['long.0.0.0#1']);
		world.submit('owed', 'urgent', [makeStep({shape: WHOLE_WORKER})], {account: 'north'});
		world.advance(1000);
		expect(worker.started).to.deep.equal(['long.0.0.0#1', 'owed.0.0.0#1']);
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
