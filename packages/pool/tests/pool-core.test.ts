import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolWorld} from './support/pool-harness.js';
import {REFUSALS, TABLES, WORKER_STATES} from '@amaranthsail/pool';

const WHOLE_WORKER = {cpuMillis: 1000, memoryMb: 1000, accelerators: 8};

describe('pool core', () => {
	describe('a job', () => {
		it('runs its steps in order and is completed once its last end is stored', () => {
			const worker = new FakeWorker('w1');
			const world = new PoolWorld([worker]);
			world.step();
			world.submit('j1', 'normal', [makeStep({taskCount: 2}), makeStep({after: [0]})]);
			world.step();
			expect(worker.started).to.deep.equal(['j1.0.0.0#1', 'j1.0.0.1#1']);
			worker.end('j1.0.0.0', 'done');
			world.step();
			expect(worker.started).to.have.length(2);
			worker.end('j1.0.0.1', 'done');
			world.step();
			expect(worker.started.at(-1)).to.equal('j1.0.1.0#1');
			worker.end('j1.0.1.0', 'done');
			world.isStoreUp = false;
			world.step();
			expect(world.core.jobView('j1')?.state).to.equal('running');
			expect(worker.ackSequence).to.equal(2);
			world.isStoreUp = true;
			world.step();
			expect(world.core.jobView('j1')?.state).to.equal('completed');
			expect(worker.ackSequence).to.equal(3);
		});

		it('sends no start before the placement is stored', () => {
			const worker = new FakeWorker('w1');
			const world = new PoolWorld([worker]);
			world.step();
			world.isStoreUp = false;
			world.submit('j1', 'normal', [makeStep()]);
			world.advance(500);
			expect(worker.started).to.deep.equal([]);
			world.isStoreUp = true;
			world.step();
			expect(worker.started).to.deep.equal(['j1.0.0.0#1']);
		});

		it('fails after as many failures as its queue allows, on different workers', () => {
			const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
			const world = new PoolWorld(workers);
			world.step();
			world.submit('j1', 'normal', [makeStep()]);
			world.step();
			const first = workers.find(worker => worker.runs.size > 0)!;
			first.end('j1.0.0.0', 'failed');
			world.step();
			const second = workers.find(worker => worker.runs.size > 0)!;
			expect(second).not.to.equal(first);
			second.end('j1.0.0.0', 'failed');
			world.step();
			expect(world.core.jobView('j1')?.state).to.equal('failed');
			world.advance(1000);
			expect([...first.started, ...second.started]).to.have.length(2);
		});

		it('stops its runs when it is cancelled and starts nothing afterwards', () => {
			const worker = new FakeWorker('w1');
			const world = new PoolWorld([worker]);
			world.step();
			world.submit('j1', 'normal', [makeStep({taskCount: 9})]);
			world.step();
			expect(worker.runs.size).to.equal(8);
			world.cancel('j1');
			world.advance(300);
			expect(worker.runs.size).to.equal(0);
			expect(worker.started).to.have.length(8);
			expect(world.core.jobView('j1')?.state).to.equal('cancelled');
		});
	});

	// Rows of ended jobs and marks of lost workers grew without bound.
	it('removes ended jobs from the store and from memory after an hour, and keeps those that wait', () => {
		const worker = new FakeWorker('w1');
		const world = new PoolWorld([worker]);
		world.step();
		world.submit('ended', 'normal', [makeStep()]);
		world.step();
		worker.end('ended.0.0.0', 'done');
		world.step();
		world.submit('waiting', 'normal', [makeStep({requiredLabel: 'none'})]);
		world.clock.advance(world.limits.retainEndedMs - 20_000);
		world.step();
		expect(world.core.jobView('ended')?.state).to.equal('completed');
		world.clock.advance(40_000);
		world.step();
		expect(world.core.jobView('ended')).to.equal(undefined);
		expect(world.table(TABLES.jobs).map(row => row.key)).to.deep.equal(['waiting']);
	});

	it('removes the mark of a suspected worker once a later life has reported', () => {
		const worker = new FakeWorker('w1');
		const world = new PoolWorld([worker]);
		world.step();
		worker.isDeaf = true;
		world.advance(3000);
		expect(world.table(TABLES.suspects)).to.have.length(1);
		worker.facts = {...worker.facts, life: 'w1@2000'};
		worker.isDeaf = false;
		world.step();
		expect(world.table(TABLES.suspects)).to.deep.equal([]);
	});

	describe('a gang', () => {
		// A gang whose worker was lost ran again on two racks at once, three times as long, as it had waited before its first run.
		const rackCases = [
			{title: 'waits again for one rack in a busy pool', otherRacks: ['r0', 'r1', 'r2'], expected: []},
			{title: 'does not wait for long while half of the pool is idle', otherRacks: ['r1', 'r2'], expected: ['j1.0.0.0#2', 'j1.0.0.1#2']},
		];
		for (const {title, otherRacks, expected} of rackCases) {
			it(`that lost its worker ${title}`, () => {
				const workers = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6'].map((name, index) => new FakeWorker(name, {labels: ['a', `r${index % 3}`]}));
				const world = new PoolWorld(workers);
				world.step();
				for (const rack of otherRacks) {
					world.submit(`other-${rack}`, 'normal', [makeStep({shape: WHOLE_WORKER, preferredRack: rack, estimatedMs: 60_000})]);
				}

				world.submit('j1', 'normal', [makeStep({
					taskCount: 2, isGang: true, prefersOneRack: true, shape: WHOLE_WORKER, estimatedMs: 20_000,
				})]);
				world.advance(25_000);
				expect(workers.flatMap(worker => worker.started).filter(run => run.startsWith('j1'))).to.have.length(2);
				const lost = workers.find(worker => worker.runs.has('j1.0.0.0'))!;
				lost.facts = {...lost.facts, state: WORKER_STATES.draining};
				lost.end('j1.0.0.0', 'lapsed');
				world.advance(2500);
				expect(workers.flatMap(worker => worker.started).filter(run => run.endsWith('#2')).toSorted()).to.deep.equal(expected);
			});
		}

		it('starts with one run number on all members, and again as a whole after a member was stopped', () => {
			const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
			const world = new PoolWorld(workers);
			world.step();
			world.submit('j1', 'normal', [makeStep({taskCount: 2, isGang: true, shape: WHOLE_WORKER})]);
			world.step();
			expect(workers.flatMap(worker => worker.started).toSorted()).to.deep.equal(['j1.0.0.0#1', 'j1.0.0.1#1']);
			const holder = workers.find(worker => worker.runs.has('j1.0.0.0'))!;
			holder.end('j1.0.0.0', 'lapsed');
			world.advance(300);
			expect([...workers.flatMap(worker => worker.started)].toSorted()).to.deep.equal(['j1.0.0.0#1', 'j1.0.0.0#2', 'j1.0.0.1#1', 'j1.0.0.1#2']);
		});

		it('is not started while only some members fit', () => {
			const worker = new FakeWorker('w1');
			const world = new PoolWorld([worker]);
			world.step();
			world.submit('j1', 'urgent', [makeStep({taskCount: 2, isGang: true, shape: WHOLE_WORKER})]);
			world.advance(500);
			expect(worker.started).to.deep.equal([]);
		});

		it('is done when one member is listed as done', () => {
			const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
			const world = new PoolWorld(workers);
			world.step();
			world.submit('j1', 'normal', [makeStep({taskCount: 2, isGang: true, shape: WHOLE_WORKER})]);
			world.step();
			workers[0]!.end([...workers[0]!.runs.keys()][0]!, 'done');
			world.step();
			expect(world.core.jobView('j1')?.state).to.equal('completed');
		});
	});

	describe('an urgent job', () => {
		it('gets the accelerators of less urgent work, and waits until the stop is listed', () => {
			const worker = new FakeWorker('w1');
			const world = new PoolWorld([worker]);
			world.step();
			world.submit('low', 'batch', [makeStep({shape: WHOLE_WORKER})]);
			world.step();
			expect(worker.started).to.deep.equal(['low.0.0.0#1']);
			world.submit('high', 'urgent', [makeStep({shape: WHOLE_WORKER})]);
			world.advance(300);
			expect(worker.started).to.deep.equal(['low.0.0.0#1', 'high.0.0.0#1']);
			worker.end('high.0.0.0', 'done');
			world.advance(300);
			expect(worker.started.at(-1)).to.equal('low.0.0.0#2');
		});

		// Work was stopped twice for one job, as a later job took the room of the first stop.
		it('keeps the room that was made for it when a job with an earlier deadline comes', () => {
			const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
			const world = new PoolWorld(workers);
			world.step();
			world.submit('low', 'batch', [makeStep({taskCount: 2, shape: WHOLE_WORKER, estimatedMs: 60_000})]);
			world.step();
			for (const worker of workers) {
				worker.isSlowToStop = true;
			}

			world.submit('first', 'urgent', [makeStep({shape: WHOLE_WORKER, estimatedMs: 6000})], {account: 'east'});
			world.step();
			world.submit('second', 'urgent', [makeStep({shape: WHOLE_WORKER, estimatedMs: 2000})], {account: 'east'});
			workers.find(worker => worker.facts.life === (world.events('preemption')[0]!.workers as string[])[0])!.isSlowToStop = false;
			world.step();
			expect(workers.flatMap(worker => worker.started).filter(run => !run.startsWith('low'))).to.deep.equal(['first.0.0.0#1']);
		});

		it('within its guarantee takes back what an account beyond its own uses', () => {
			const worker = new FakeWorker('w1', {capacity: {cpuMillis: 32_000, memoryMb: 65_536, accelerators: 16}});
			const world = new PoolWorld([worker]);
			world.step();
			world.submit('beyond', 'urgent', [makeStep({taskCount: 16})], {account: 'south'});
			world.step();
			world.submit('owed', 'urgent', [makeStep({shape: WHOLE_WORKER})], {account: 'north'});
			world.advance(300);
			expect(worker.started.at(-1)).to.equal('owed.0.0.0#1');
			expect([...worker.runs.keys()].filter(task => task.startsWith('beyond'))).to.have.length(8);
		});
	});

	describe('a worker', () => {
		it('that is silent keeps its tasks until its lease has passed since the mark was stored', () => {
			const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
			const world = new PoolWorld(workers);
			world.step();
			world.submit('j1', 'normal', [makeStep()]);
			world.step();
			const [silent, other] = workers[0]!.runs.size > 0 ? [workers[0]!, workers[1]!] : [workers[1]!, workers[0]!];
			silent.isDeaf = true;
			const lastLeaseMs = silent.leaseUntilMs;
			world.advance(world.limits.suspectAfterMs + world.limits.leaseMs - 200);
			expect(other.started).to.deep.equal([]);
			expect(silent.leaseUntilMs).to.equal(lastLeaseMs);
			world.advance(800);
			expect(other.started).to.deep.equal(['j1.0.0.0#2']);
			expect(world.clock.monotonicMs()).to.be.greaterThan(lastLeaseMs);
		});

		// Answers on two connections may overtake each other within one tick of the worker's clock; the worker
		// was then taken for one with unknown runs, and urgent jobs stopped work elsewhere.
		it('that lists a run which has ended already, in a list that is out of date, stays usable', () => {
			const worker = new FakeWorker('w1');
			const world = new PoolWorld([worker]);
			world.step();
			world.submit('j1', 'normal', [makeStep()]);
			world.step();
			const outdated = worker.report(world.clock.monotonicMs());
			worker.end('j1.0.0.0', 'done');
			world.report(worker);
			world.core.onReport('w1', outdated);
			expect(world.events('unexpected run')).to.deep.equal([]);
			world.submit('j2', 'normal', [makeStep({shape: WHOLE_WORKER})]);
			world.core.tick();
			expect(world.events('task placed')).to.have.length(2);
		});

		// LIMIT and TWICE on the cooperative: lists of the same millisecond arrived in the wrong order, the run
		// seemed to have vanished, and was started again beside itself.
		it('that lists a run and then, in lists of the same millisecond, does not, keeps it', () => {
			const worker = new FakeWorker('w1');
			const world = new PoolWorld([worker]);
			world.step();
			world.submit('j1', 'normal', [makeStep()]);
			world.core.tick();
			world.commit();
			const earlier = worker.report(world.clock.monotonicMs());
			const [start] = world.core.takeOrders();
			worker.order(start!.order);
			world.report(worker);
			world.core.onReport('w1', earlier);
			world.advance(300);
			expect(worker.started).to.deep.equal(['j1.0.0.0#1']);
		});

		it('that runs what nobody expects there is told to stop it, and its room counts until then', () => {
			const worker = new FakeWorker('w1');
			const world = new PoolWorld([worker]);
			world.step();
			world.submit('j1', 'normal', [makeStep({shape: WHOLE_WORKER})]);
			worker.runs.set('j1.0.0.0', {run: 7, checkpoint: '', percent: 0});
			world.report(worker);
			world.core.tick();
			expect(world.events('task placed')).to.have.length(0);
			world.advance(300);
			expect(worker.started).to.deep.equal([]);
			expect(worker.runs.size).to.equal(0);
		});

		it('that comes back before that keeps its tasks', () => {
			const worker = new FakeWorker('w1');
			const world = new PoolWorld([worker]);
			world.step();
			world.submit('j1', 'normal', [makeStep()]);
			world.step();
			worker.isDeaf = true;
			world.advance(4000);
			worker.isDeaf = false;
			world.advance(4000);
			expect(worker.started).to.deep.equal(['j1.0.0.0#1']);
		});

		it('that drains gets nothing new, and a task that cannot end there moves', () => {
			const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
			const world = new PoolWorld(workers);
			world.step();
			world.submit('j1', 'normal', [makeStep({estimatedMs: 20_000})]);
			world.step();
			const leaving = workers.find(worker => worker.runs.size > 0)!;
			leaving.facts = {...leaving.facts, state: WORKER_STATES.draining, remainingMs: 2000};
			world.advance(500);
			const other = workers.find(worker => worker !== leaving)!;
			expect(other.started).to.deep.equal(['j1.0.0.0#2']);
			world.submit('j2', 'normal', [makeStep({taskCount: 9})]);
			world.advance(500);
			expect(leaving.started).to.deep.equal(['j1.0.0.0#1']);
		});

		it('that fails the tasks of two jobs gets nothing for a while', () => {
			const workers = [new FakeWorker('w1')];
			const world = new PoolWorld(workers);
			world.step();
			for (const id of ['j1', 'j2']) {
				world.submit(id, 'normal', [makeStep()]);
				// Long enough not to be a failure at once, which has a rule of its own.
				world.advance(500);
				workers[0]!.end(`${id}.0.0.0`, 'failed');
			}

			world.step();
			const startedBefore = workers[0]!.started.length;
			world.submit('j3', 'normal', [makeStep()]);
			world.advance(1000);
			expect(workers[0]!.started).to.have.length(startedBefore);
			world.advance(world.limits.quarantineMs);
			expect(workers[0]!.started.length).to.be.greaterThan(startedBefore);
		});

		// A worker that failed everything within 150 ms got new work until two jobs in a row had failed on it.
		it('that fails a task at once gets nothing for a while, and no run from before clears it', () => {
			const worker = new FakeWorker('w1');
			const world = new PoolWorld([worker]);
			world.step();
			world.submit('early', 'normal', [makeStep()]);
			world.advance(3000);
			world.submit('j1', 'normal', [makeStep()]);
			world.step();
			worker.end('j1.0.0.0', 'failed');
			world.step();
			worker.end('early.0.0.0', 'done');
			world.advance(1500);
			expect(worker.started.filter(run => run.startsWith('j1'))).to.have.length(1);
			world.advance(1000);
			expect(worker.started.filter(run => run.startsWith('j1'))).to.have.length(2);
		});

		const riskCases = [
			{title: 'is avoided by an urgent job', queue: 'urgent', hasFailedBefore: false, expected: 'w2'},
			{title: 'is avoided by a job on its last attempt', queue: 'normal', hasFailedBefore: true, expected: 'w3'},
			{title: 'is tried by a job with attempts left', queue: 'normal', hasFailedBefore: false, expected: 'w1'},
		];
		for (const {title, queue, hasFailedBefore, expected} of riskCases) {
			// Both attempts of a job were spent on two workers that failed everything.
			it(`that failed and has done nothing well since ${title}`, () => {
				const workers = ['w1', 'w2', 'w3'].map(name => new FakeWorker(name));
				const [doubtful, sound] = workers;
				const world = new PoolWorld(workers);
				world.step();
				world.submit('probe', 'normal', [makeStep({shape: WHOLE_WORKER})]);
				world.step();
				doubtful!.end('probe.0.0.0', 'failed');
				world.step();
				world.cancel('probe');
				world.step();
				if (hasFailedBefore) {
					world.submit('j1', queue, [makeStep({shape: WHOLE_WORKER})]);
					world.advance(2500);
					sound!.end('j1.0.0.0', 'failed');
				} else {
					world.advance(2500);
					world.submit('j1', queue, [makeStep({shape: WHOLE_WORKER})]);
				}

				world.advance(200);
				expect(workers.find(worker => worker.runs.has('j1.0.0.0'))?.agent).to.equal(expected);
			});
		}

		it('on which nothing goes on loses its tasks to another, and gets nothing new', () => {
			const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
			const world = new PoolWorld(workers);
			world.step();
			world.submit('j1', 'urgent', [makeStep()]);
			world.advance(500);
			const stuck = workers.find(worker => worker.runs.size > 0)!;
			const other = workers.find(worker => worker !== stuck)!;
			stuck.isStuck = true;
			world.advance(2000);
			expect(other.started).to.deep.equal(['j1.0.0.0#2']);
			world.submit('j2', 'normal', [makeStep({taskCount: 4})]);
			world.step();
			expect(stuck.started).to.deep.equal(['j1.0.0.0#1']);
		});

		const progressCases = [
			{title: 'that finished its share of a gang', percent: 99, isGang: true},
			{title: 'that is slow to show its first percent', percent: 0, estimatedMs: 60_000, isGang: false},
		];
		for (const {title, percent, isGang, estimatedMs = 3000} of progressCases) {
			it(`${title} is not taken for one on which nothing goes on`, () => {
				const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
				const world = new PoolWorld(workers);
				world.step();
				world.submit('j1', 'normal', [makeStep({taskCount: 2, isGang, estimatedMs, shape: WHOLE_WORKER})]);
				world.step();
				const [first] = workers;
				first!.isStuck = true;
				first!.runs.values().next().value!.percent = percent;
				world.advance(2500);
				expect(first!.runs.size).to.equal(1);
			});
		}

		it('that refuses a start for another life loses the run without a second one at the same time', () => {
			const worker = new FakeWorker('w1');
			const world = new PoolWorld([worker]);
			world.step();
			worker.refusal = REFUSALS.unhealthy;
			world.submit('j1', 'normal', [makeStep()]);
			world.advance(300);
			worker.refusal = undefined;
			world.advance(2000);
			expect(worker.runs.size).to.equal(1);
		});
	});

	describe('a new leader', () => {
		// A leader that took reports before it had read the rows stopped what ran and lost an end that was done.
		it('takes no report before it has read the stored state', () => {
			const worker = new FakeWorker('w1');
			const world = new PoolWorld([worker]);
			world.step();
			world.submit('j1', 'normal', [makeStep({taskCount: 2})]);
			world.step();
			worker.end('j1.0.0.0', 'done');
			world.replaceLeader();
			world.report(worker);
			expect(world.core.takeOrders()).to.deep.equal([]);
			world.recoverLeader();
			world.advance(500);
			expect(worker.started).to.deep.equal(['j1.0.0.0#1', 'j1.0.0.1#1']);
			worker.end('j1.0.0.1', 'done');
			world.advance(300);
			expect(world.core.jobView('j1')?.state).to.equal('completed');
		});

		it('starts a stored run that was never sent, under the same number', () => {
			const worker = new FakeWorker('w1');
			const world = new PoolWorld([worker]);
			world.step();
			world.submit('j1', 'normal', [makeStep()]);
			world.core.tick();
			world.commit();
			world.core.takeOrders();
			world.replaceLeader();
			world.recoverLeader();
			world.advance(300);
			expect(worker.started).to.deep.equal(['j1.0.0.0#1']);
		});

		it('places nothing on a worker whose lists it has not read', () => {
			const worker = new FakeWorker('w1');
			const world = new PoolWorld([worker]);
			world.step();
			world.submit('j1', 'normal', [makeStep()]);
			world.step();
			worker.isDeaf = true;
			world.replaceLeader();
			world.recoverLeader();
			world.submit('j2', 'normal', [makeStep()]);
			world.advance(2000);
			expect(worker.started).to.deep.equal(['j1.0.0.0#1']);
		});

		// After a loss of power, workers come back under other ids; waiting for the old leases cost 9 s.
		it('gives up a stored life as soon as its agent reports a later one under another id', () => {
			const worker = new FakeWorker('w1');
			const world = new PoolWorld([worker]);
			world.step();
			world.submit('j1', 'normal', [makeStep()]);
			world.step();
			worker.runs.clear();
			worker.facts = {...worker.facts, id: 'w9', life: 'w9@2000'};
			world.replaceLeader();
			world.recoverLeader();
			world.advance(300);
			expect(worker.started).to.deep.equal(['j1.0.0.0#1', 'j1.0.0.0#2']);
		});

		it('ignores the report of an earlier life that was held up', () => {
			const worker = new FakeWorker('w1', {id: 'w9', life: 'w9@2000'});
			const world = new PoolWorld([worker]);
			world.step();
			world.submit('j1', 'normal', [makeStep()]);
			world.step();
			world.core.onReport('w1', {facts: {...worker.facts, id: 'w1', life: 'w1@1000'}});
			world.advance(300);
			expect(worker.started).to.deep.equal(['j1.0.0.0#1']);
			expect(worker.runs.size).to.equal(1);
		});

		// A loss of all power cost every running task its whole work, though half of them write checkpoints.
		it('continues a task from its last checkpoint after worker and leader were lost together', () => {
			const worker = new FakeWorker('w1');
			const world = new PoolWorld([worker]);
			world.step();
			world.submit('j1', 'normal', [makeStep({isCheckpointing: true})]);
			world.step();
			worker.runs.get('j1.0.0.0')!.checkpoint = 'half';
			world.advance(1200);
			worker.runs.clear();
			worker.facts = {...worker.facts, id: 'w9', life: 'w9@2000'};
			world.replaceLeader();
			world.recoverLeader();
			world.advance(300);
			expect(worker.runs.get('j1.0.0.0')).to.deep.include({run: 2, checkpoint: 'half'});
		});

		it('continues all members of a gang from one checkpoint', () => {
			const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
			const world = new PoolWorld(workers);
			world.step();
			world.submit('j1', 'normal', [makeStep({taskCount: 2, isGang: true, isCheckpointing: true, shape: WHOLE_WORKER})]);
			world.step();
			const holder = workers.find(worker => worker.runs.has('j1.0.0.1'))!;
			holder.runs.get('j1.0.0.1')!.checkpoint = 'half';
			world.advance(1200);
			holder.end('j1.0.0.1', 'lapsed');
			world.advance(500);
			expect(workers.flatMap(worker => [...worker.runs.values()].map(run => run.checkpoint))).to.deep.equal(['half', 'half']);
		});

		it('counts the failures of earlier leaders', () => {
			const worker = new FakeWorker('w1');
			const world = new PoolWorld([worker]);
			world.step();
			world.submit('j1', 'normal', [makeStep()]);
			world.step();
			worker.end('j1.0.0.0', 'failed');
			world.advance(300);
			world.replaceLeader();
			world.recoverLeader();
			world.advance(300);
			worker.end('j1.0.0.0', 'failed');
			world.advance(300);
			expect(world.core.jobView('j1')?.state).to.equal('failed');
		});
	});
});
