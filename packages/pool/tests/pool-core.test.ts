import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness} from './support/pool-harness.js';
import {
	type OrderOutcome, REFUSALS, TABLES, WORKER_STATES,
} from '@amaranthsail/pool';

const WHOLE_WORKER = {cpuMillis: 1000, memoryMb: 1000, accelerators: 8};

describe('pool core', () => {
	describe('a job', () => {
		it('runs its steps in order and is completed once the end of its last run is stored', () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep({taskCount: 2}), makeStep({after: [0]})]);
			harness.runCycle();
			expect(worker.started).to.deep.equal(['j1.0.0.0#1', 'j1.0.0.1#1']);
			worker.end('j1.0.0.0', 'done');
			harness.runCycle();
			expect(worker.started).to.have.length(2);
			worker.end('j1.0.0.1', 'done');
			harness.runCycle();
			expect(worker.started.at(-1)).to.equal('j1.0.1.0#1');
			worker.end('j1.0.1.0', 'done');
			harness.isStoreAvailable = false;
			harness.runCycle();
			expect(harness.core.jobView('j1')?.state).to.equal('running');
			expect(worker.ackSequence).to.equal(2);
			harness.isStoreAvailable = true;
			harness.runCycle();
			expect(harness.core.jobView('j1')?.state).to.equal('completed');
			expect(worker.ackSequence).to.equal(3);
		});

		it('sends no start before the placement is stored', () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			harness.isStoreAvailable = false;
			harness.submit('j1', 'normal', [makeStep()]);
			harness.advance(500);
			expect(worker.started).to.deep.equal([]);
			harness.isStoreAvailable = true;
			harness.runCycle();
			expect(worker.started).to.deep.equal(['j1.0.0.0#1']);
		});

		it('fails after the maximum number of attempts of its queue, on different workers', () => {
			const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
			const harness = new PoolHarness(workers);
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep()]);
			harness.runCycle();
			const first = workers.find(worker => worker.runs.size > 0)!;
			first.end('j1.0.0.0', 'failed');
			harness.runCycle();
			const second = workers.find(worker => worker.runs.size > 0)!;
			expect(second).not.to.equal(first);
			second.end('j1.0.0.0', 'failed');
			harness.runCycle();
			expect(harness.core.jobView('j1')?.state).to.equal('failed');
			harness.advance(1000);
			expect([...first.started, ...second.started]).to.have.length(2);
		});

		it('stops its runs when it is cancelled and starts nothing afterwards', () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep({taskCount: 9})]);
			harness.runCycle();
			expect(worker.runs.size).to.equal(8);
			harness.cancel('j1');
			harness.advance(300);
			expect(worker.runs.size).to.equal(0);
			expect(worker.started).to.have.length(8);
			expect(harness.core.jobView('j1')?.state).to.equal('cancelled');
		});
	});

	// While the store could not be reached, jobs counted as begun that no worker had been told of.
	it('counts a job as waiting until its placement is stored', () => {
		const worker = new FakeWorker('w1');
		const harness = new PoolHarness([worker]);
		harness.runCycle();
		harness.isStoreAvailable = false;
		harness.submit('j1', 'normal', [makeStep()]);
		harness.advance(500);
		expect(harness.core.pendingCounts().get('normal')).to.equal(1);
		expect(harness.core.jobView('j1')?.state).to.equal('queued');
		harness.isStoreAvailable = true;
		harness.advance(500);
		expect(harness.core.pendingCounts().get('normal')).to.equal(undefined);
		expect(harness.core.jobView('j1')?.state).to.equal('running');
	});

	// The jobs and suspects tables grew without bound.
	it('removes ended jobs from the store and from memory after an hour, and keeps waiting ones', () => {
		const worker = new FakeWorker('w1');
		const harness = new PoolHarness([worker]);
		harness.runCycle();
		harness.submit('ended', 'normal', [makeStep()]);
		harness.runCycle();
		worker.end('ended.0.0.0', 'done');
		harness.runCycle();
		harness.submit('waiting', 'normal', [makeStep({requiredLabel: 'none'})]);
		harness.clock.advance(harness.limits.retainEndedMs - 20_000);
		harness.runCycle();
		expect(harness.core.jobView('ended')?.state).to.equal('completed');
		harness.clock.advance(40_000);
		harness.runCycle();
		expect(harness.core.jobView('ended')).to.equal(undefined);
		expect(harness.rowsOf(TABLES.jobs).map(row => row.key)).to.deep.equal(['waiting']);
	});

	it('removes the row of a suspected worker once a later incarnation has reported', () => {
		const worker = new FakeWorker('w1');
		const harness = new PoolHarness([worker]);
		harness.runCycle();
		worker.isUnreachable = true;
		harness.advance(3000);
		expect(harness.rowsOf(TABLES.suspects)).to.have.length(1);
		worker.facts = {...worker.facts, life: 'w1@2000'};
		worker.isUnreachable = false;
		harness.runCycle();
		expect(harness.rowsOf(TABLES.suspects)).to.deep.equal([]);
	});

	describe('a gang', () => {
		// A gang that lost a worker ran again on two racks without waiting, and took three times as long: the wait before its
		// first run was counted again.
		const rackCases = [
			{title: 'waits again for one rack in a busy pool', otherRacks: ['r0', 'r1', 'r2'], expected: []},
			{title: 'does not wait for long while half of the pool is idle', otherRacks: ['r1', 'r2'], expected: ['j1.0.0.0#2', 'j1.0.0.1#2']},
		];
		for (const {title, otherRacks, expected} of rackCases) {
			it(`that lost its worker ${title}`, () => {
				const workers = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6'].map((name, index) => new FakeWorker(name, {labels: ['a', `r${index % 3}`]}));
				const harness = new PoolHarness(workers);
				harness.runCycle();
				for (const rack of otherRacks) {
					harness.submit(`other-${rack}`, 'normal', [makeStep({shape: WHOLE_WORKER, preferredRack: rack, estimatedMs: 60_000})]);
				}

				harness.submit('j1', 'normal', [makeStep({
					taskCount: 2, isGang: true, prefersOneRack: true, shape: WHOLE_WORKER, estimatedMs: 20_000,
				})]);
				harness.advance(25_000);
				expect(workers.flatMap(worker => worker.started).filter(run => run.startsWith('j1'))).to.have.length(2);
				const lost = workers.find(worker => worker.runs.has('j1.0.0.0'))!;
				lost.facts = {...lost.facts, state: WORKER_STATES.draining};
				lost.end('j1.0.0.0', 'lapsed');
				harness.advance(2500);
				expect(workers.flatMap(worker => worker.started).filter(run => run.endsWith('#2')).toSorted()).to.deep.equal(expected);
			});
		}

		it('starts with one run number on all members, and again as a whole after a member was stopped', () => {
			const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
			const harness = new PoolHarness(workers);
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep({taskCount: 2, isGang: true, shape: WHOLE_WORKER})]);
			harness.runCycle();
			expect(workers.flatMap(worker => worker.started).toSorted()).to.deep.equal(['j1.0.0.0#1', 'j1.0.0.1#1']);
			const holder = workers.find(worker => worker.runs.has('j1.0.0.0'))!;
			holder.end('j1.0.0.0', 'lapsed');
			harness.advance(300);
			expect([...workers.flatMap(worker => worker.started)].toSorted()).to.deep.equal(['j1.0.0.0#1', 'j1.0.0.0#2', 'j1.0.0.1#1', 'j1.0.0.1#2']);
		});

		it('is not started while only some members fit', () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			harness.submit('j1', 'urgent', [makeStep({taskCount: 2, isGang: true, shape: WHOLE_WORKER})]);
			harness.advance(500);
			expect(worker.started).to.deep.equal([]);
		});

		it('is done when one member is listed as done', () => {
			const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
			const harness = new PoolHarness(workers);
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep({taskCount: 2, isGang: true, shape: WHOLE_WORKER})]);
			harness.runCycle();
			workers[0]!.end([...workers[0]!.runs.keys()][0]!, 'done');
			harness.runCycle();
			expect(harness.core.jobView('j1')?.state).to.equal('completed');
		});
	});

	describe('an urgent job', () => {
		it('preempts less urgent work, and starts once the end of that work is listed', () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			harness.submit('low', 'batch', [makeStep({shape: WHOLE_WORKER})]);
			harness.runCycle();
			expect(worker.started).to.deep.equal(['low.0.0.0#1']);
			harness.submit('high', 'urgent', [makeStep({shape: WHOLE_WORKER})]);
			harness.advance(300);
			expect(worker.started).to.deep.equal(['low.0.0.0#1', 'high.0.0.0#1']);
			worker.end('high.0.0.0', 'done');
			harness.advance(300);
			expect(worker.started.at(-1)).to.equal('low.0.0.0#2');
		});

		// A later job took the capacity that was freed for the first one, so work was stopped twice for one job.
		it('keeps the capacity freed for it when a job with an earlier deadline arrives', () => {
			const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
			const harness = new PoolHarness(workers);
			harness.runCycle();
			harness.submit('low', 'batch', [makeStep({taskCount: 2, shape: WHOLE_WORKER, estimatedMs: 60_000})]);
			harness.runCycle();
			for (const worker of workers) {
				worker.shouldDelayStops = true;
			}

			harness.submit('first', 'urgent', [makeStep({shape: WHOLE_WORKER, estimatedMs: 6000})], {account: 'east'});
			harness.runCycle();
			harness.submit('second', 'urgent', [makeStep({shape: WHOLE_WORKER, estimatedMs: 2000})], {account: 'east'});
			workers.find(worker => worker.facts.life === (harness.events('preemption')[0]!.workers as string[])[0])!.shouldDelayStops = false;
			harness.runCycle();
			expect(workers.flatMap(worker => worker.started).filter(run => !run.startsWith('low'))).to.deep.equal(['first.0.0.0#1']);
		});

		it('within its guarantee preempts urgent work of an account beyond its guarantee', () => {
			const worker = new FakeWorker('w1', {capacity: {cpuMillis: 32_000, memoryMb: 65_536, accelerators: 16}});
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			harness.submit('beyond', 'urgent', [makeStep({taskCount: 16})], {account: 'south'});
			harness.runCycle();
			harness.submit('within', 'urgent', [makeStep({shape: WHOLE_WORKER})], {account: 'north'});
			harness.advance(300);
			expect(worker.started.at(-1)).to.equal('within.0.0.0#1');
			expect([...worker.runs.keys()].filter(task => task.startsWith('beyond'))).to.have.length(8);
		});
	});

	describe('a worker', () => {
		it('that is silent keeps its tasks until a whole lease has passed since its suspicion was stored', () => {
			const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
			const harness = new PoolHarness(workers);
			// Right after a takeover the fence also covers the renewals of the deposed leader.
			harness.advance(harness.limits.deposedLeaderGraceMs);
			harness.submit('j1', 'normal', [makeStep()]);
			harness.runCycle();
			const [silent, other] = workers[0]!.runs.size > 0 ? [workers[0]!, workers[1]!] : [workers[1]!, workers[0]!];
			silent.isUnreachable = true;
			const lastLeaseMs = silent.leaseUntilMs;
			harness.advance(harness.limits.suspectTimeoutMs + harness.limits.leaseMs - 200);
			expect(other.started).to.deep.equal([]);
			expect(silent.leaseUntilMs).to.equal(lastLeaseMs);
			harness.advance(800);
			expect(other.started).to.deep.equal(['j1.0.0.0#2']);
			expect(harness.clock.monotonicMs()).to.be.greaterThan(lastLeaseMs);
		});

		// Answers on two connections may arrive in the wrong order within one tick of the worker's clock. The worker then
		// seemed to have unexpected runs and was not used, and urgent jobs preempted work elsewhere.
		it('stays usable when an outdated list contains a run that has ended', () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep()]);
			harness.runCycle();
			const outdated = worker.report(harness.clock.monotonicMs());
			worker.end('j1.0.0.0', 'done');
			harness.report(worker);
			harness.core.onReport('w1', outdated);
			expect(harness.events('unexpected run')).to.deep.equal([]);
			harness.submit('j2', 'normal', [makeStep({shape: WHOLE_WORKER})]);
			harness.core.tick();
			expect(harness.events('task placed')).to.have.length(2);
		});

		// Lists of the same millisecond arrived in the wrong order: a run seemed to have vanished and was started again while
		// it still ran, which broke the benchmark's rules LIMIT and TWICE on the cooperative site.
		it('keeps a run that is missing from lists of the same millisecond as lists that contain it', () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep()]);
			harness.core.tick();
			harness.commit();
			const earlier = worker.report(harness.clock.monotonicMs());
			const [start] = harness.core.takeOrders();
			worker.order(start!.order);
			harness.report(worker);
			harness.core.onReport('w1', earlier);
			harness.advance(300);
			expect(worker.started).to.deep.equal(['j1.0.0.0#1']);
		});

		it('is ordered to stop an unexpected run, and its capacity counts as used until then', () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep({shape: WHOLE_WORKER})]);
			worker.runs.set('j1.0.0.0', {run: 7, checkpoint: '', percent: 0});
			harness.report(worker);
			harness.core.tick();
			expect(harness.events('task placed')).to.have.length(0);
			harness.advance(300);
			expect(worker.started).to.deep.equal([]);
			expect(worker.runs.size).to.equal(0);
		});

		it('that reports again before its lease has expired keeps its tasks', () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep()]);
			harness.runCycle();
			worker.isUnreachable = true;
			harness.advance(4000);
			worker.isUnreachable = false;
			harness.advance(4000);
			expect(worker.started).to.deep.equal(['j1.0.0.0#1']);
		});

		it('that drains gets no new tasks, and a task that cannot end in time moves', () => {
			const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
			const harness = new PoolHarness(workers);
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep({estimatedMs: 20_000})]);
			harness.runCycle();
			const leaving = workers.find(worker => worker.runs.size > 0)!;
			leaving.facts = {...leaving.facts, state: WORKER_STATES.draining, remainingMs: 2000};
			harness.advance(500);
			const other = workers.find(worker => worker !== leaving)!;
			expect(other.started).to.deep.equal(['j1.0.0.0#2']);
			harness.submit('j2', 'normal', [makeStep({taskCount: 9})]);
			harness.advance(500);
			expect(leaving.started).to.deep.equal(['j1.0.0.0#1']);
		});

		it('that fails the tasks of two jobs is quarantined', () => {
			const workers = [new FakeWorker('w1')];
			const harness = new PoolHarness(workers);
			harness.runCycle();
			for (const id of ['j1', 'j2']) {
				harness.submit(id, 'normal', [makeStep()]);
				// Long enough not to count as an immediate failure, which has a rule of its own.
				harness.advance(500);
				workers[0]!.end(`${id}.0.0.0`, 'failed');
			}

			harness.runCycle();
			const startedBefore = workers[0]!.started.length;
			harness.submit('j3', 'normal', [makeStep()]);
			harness.advance(1000);
			expect(workers[0]!.started).to.have.length(startedBefore);
			harness.advance(harness.limits.quarantineMs);
			expect(workers[0]!.started.length).to.be.greaterThan(startedBefore);
		});

		// A worker that failed everything within 150 ms got new work until two jobs in a row had failed on it.
		it('that fails a task immediately is quarantined, and the success of an earlier run does not end that', () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			harness.submit('early', 'normal', [makeStep()]);
			harness.advance(3000);
			harness.submit('j1', 'normal', [makeStep()]);
			harness.runCycle();
			worker.end('j1.0.0.0', 'failed');
			harness.runCycle();
			worker.end('early.0.0.0', 'done');
			harness.advance(1500);
			expect(worker.started.filter(run => run.startsWith('j1'))).to.have.length(1);
			harness.advance(1000);
			expect(worker.started.filter(run => run.startsWith('j1'))).to.have.length(2);
		});

		const riskCases = [
			{title: 'is avoided by an urgent job', queue: 'urgent', hasFailedBefore: false, expected: 'w2'},
			{title: 'is avoided by a job on its last attempt', queue: 'normal', hasFailedBefore: true, expected: 'w3'},
			{title: 'is tried by a job with attempts left', queue: 'normal', hasFailedBefore: false, expected: 'w1'},
		];
		for (const {title, queue, hasFailedBefore, expected} of riskCases) {
			// Both attempts of a job were spent on two workers that failed everything.
			it(`that failed, with no success since, ${title}`, () => {
				const workers = ['w1', 'w2', 'w3'].map(name => new FakeWorker(name));
				const [unreliable, reliable] = workers;
				const harness = new PoolHarness(workers);
				harness.runCycle();
				harness.submit('probe', 'normal', [makeStep({shape: WHOLE_WORKER})]);
				harness.runCycle();
				unreliable!.end('probe.0.0.0', 'failed');
				harness.runCycle();
				harness.cancel('probe');
				harness.runCycle();
				if (hasFailedBefore) {
					harness.submit('j1', queue, [makeStep({shape: WHOLE_WORKER})]);
					harness.advance(2500);
					reliable!.end('j1.0.0.0', 'failed');
				} else {
					harness.advance(2500);
					harness.submit('j1', queue, [makeStep({shape: WHOLE_WORKER})]);
				}

				harness.advance(200);
				expect(workers.find(worker => worker.runs.has('j1.0.0.0'))?.agent).to.equal(expected);
			});
		}

		it('that makes no progress loses its tasks to another worker, and gets no new ones', () => {
			const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
			const harness = new PoolHarness(workers);
			harness.runCycle();
			harness.submit('j1', 'urgent', [makeStep()]);
			harness.advance(500);
			const stalled = workers.find(worker => worker.runs.size > 0)!;
			const other = workers.find(worker => worker !== stalled)!;
			stalled.isStalled = true;
			harness.advance(2000);
			expect(other.started).to.deep.equal(['j1.0.0.0#2']);
			harness.submit('j2', 'normal', [makeStep({taskCount: 4})]);
			harness.runCycle();
			expect(stalled.started).to.deep.equal(['j1.0.0.0#1']);
		});

		const progressCases = [
			{title: 'that finished its share of a gang', percent: 99, isGang: true},
			{title: 'that is slow to report its first percent', percent: 0, estimatedMs: 60_000, isGang: false},
		];
		for (const {title, percent, isGang, estimatedMs = 3000} of progressCases) {
			it(`${title} does not count as stalled`, () => {
				const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
				const harness = new PoolHarness(workers);
				harness.runCycle();
				harness.submit('j1', 'normal', [makeStep({taskCount: 2, isGang, estimatedMs, shape: WHOLE_WORKER})]);
				harness.runCycle();
				const [first] = workers;
				first!.isStalled = true;
				first!.runs.values().next().value!.percent = percent;
				harness.advance(2500);
				expect(first!.runs.size).to.equal(1);
			});
		}

		it('that refuses a start as unhealthy loses the run, and never has two runs of the task at once', () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			worker.startRefusal = REFUSALS.unhealthy;
			harness.submit('j1', 'normal', [makeStep()]);
			harness.advance(300);
			worker.startRefusal = undefined;
			harness.advance(2000);
			expect(worker.runs.size).to.equal(1);
		});
	});

	describe('a task whose start cannot have reached its worker', () => {
		const cases: ReadonlyArray<{readonly title: string; readonly outcome: OrderOutcome}> = [
			{title: 'that refuses it as unhealthy', outcome: {kind: 'refused', reason: REFUSALS.unhealthy}},
			{title: 'that has no listener', outcome: {kind: 'gone'}},
		];
		for (const {title, outcome} of cases) {
			it(`${title} is placed elsewhere without waiting for a stop`, () => {
				const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
				const harness = new PoolHarness(workers);
				harness.runCycle();
				workers[0]!.startOutcome = outcome;
				workers[0]!.areStopsLost = true;
				harness.submit('j1', 'normal', [makeStep({taskCount: 9})]);
				harness.advance(500);
				expect(workers[1]!.runs.size).to.equal(8);
				expect(harness.events('order answered').filter(event => event.order === 'stop')).to.deep.equal([]);
			});
		}
	});

	describe('a new leader', () => {
		// A leader that processed reports before it had read the rows stopped running tasks, and lost the end of a task that
		// was done.
		it('ignores reports until it has read the stored state', () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep({taskCount: 2})]);
			harness.runCycle();
			worker.end('j1.0.0.0', 'done');
			harness.replaceLeader();
			harness.report(worker);
			expect(harness.core.takeOrders()).to.deep.equal([]);
			harness.recoverLeader();
			harness.advance(500);
			expect(worker.started).to.deep.equal(['j1.0.0.0#1', 'j1.0.0.1#1']);
			worker.end('j1.0.0.1', 'done');
			harness.advance(300);
			expect(harness.core.jobView('j1')?.state).to.equal('completed');
		});

		it('starts a stored run that was never sent, under the same number', () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep()]);
			harness.core.tick();
			harness.commit();
			harness.core.takeOrders();
			harness.replaceLeader();
			harness.recoverLeader();
			harness.advance(300);
			expect(worker.started).to.deep.equal(['j1.0.0.0#1']);
		});

		it('places nothing on a worker whose lists it has not read', () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep()]);
			harness.runCycle();
			worker.isUnreachable = true;
			harness.replaceLeader();
			harness.recoverLeader();
			harness.submit('j2', 'normal', [makeStep()]);
			harness.advance(2000);
			expect(worker.started).to.deep.equal(['j1.0.0.0#1']);
		});

		// After a power loss, workers restart under other ids; waiting for the old leases cost 9 s.
		it('declares a stored incarnation lost as soon as its agent reports a later one under another id', () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep()]);
			harness.runCycle();
			worker.runs.clear();
			worker.facts = {...worker.facts, id: 'w9', life: 'w9@2000'};
			harness.replaceLeader();
			harness.recoverLeader();
			harness.advance(300);
			expect(worker.started).to.deep.equal(['j1.0.0.0#1', 'j1.0.0.0#2']);
		});

		it('ignores a delayed report of an earlier incarnation', () => {
			const worker = new FakeWorker('w1', {id: 'w9', life: 'w9@2000'});
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep()]);
			harness.runCycle();
			harness.core.onReport('w1', {facts: {...worker.facts, id: 'w1', life: 'w1@1000'}});
			harness.advance(300);
			expect(worker.started).to.deep.equal(['j1.0.0.0#1']);
			expect(worker.runs.size).to.equal(1);
		});

		// A loss of all power lost the whole work of every running task, although half of them write checkpoints.
		it('resumes a task from its last checkpoint after worker and leader were lost together', () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep({isCheckpointing: true})]);
			harness.runCycle();
			worker.runs.get('j1.0.0.0')!.checkpoint = 'half';
			harness.advance(1200);
			worker.runs.clear();
			worker.facts = {...worker.facts, id: 'w9', life: 'w9@2000'};
			harness.replaceLeader();
			harness.recoverLeader();
			harness.advance(300);
			expect(worker.runs.get('j1.0.0.0')).to.deep.include({run: 2, checkpoint: 'half'});
		});

		it('resumes all members of a gang from one checkpoint', () => {
			const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
			const harness = new PoolHarness(workers);
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep({taskCount: 2, isGang: true, isCheckpointing: true, shape: WHOLE_WORKER})]);
			harness.runCycle();
			const holder = workers.find(worker => worker.runs.has('j1.0.0.1'))!;
			holder.runs.get('j1.0.0.1')!.checkpoint = 'half';
			harness.advance(1200);
			holder.end('j1.0.0.1', 'lapsed');
			harness.advance(500);
			expect(workers.flatMap(worker => [...worker.runs.values()].map(run => run.checkpoint))).to.deep.equal(['half', 'half']);
		});

		it('counts failures recorded by earlier leaders', () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep()]);
			harness.runCycle();
			worker.end('j1.0.0.0', 'failed');
			harness.advance(300);
			harness.replaceLeader();
			harness.recoverLeader();
			harness.advance(300);
			worker.end('j1.0.0.0', 'failed');
			harness.advance(300);
			expect(harness.core.jobView('j1')?.state).to.equal('failed');
		});
	});
});
