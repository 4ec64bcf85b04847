import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness} from './support/pool-harness.js';
import {JOB_STATES, TABLES} from '@amaranthsail/pool';

/** Wider than one transaction of the store. */
const WIDE_GANG_TASKS = 200;

const WIDE_WORKER = {cpuMillis: 1_000_000, memoryMb: 1_000_000, accelerators: 1000};

describe('pool core with rows that cannot be read', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly table: string; readonly key: string; readonly value: unknown}> = [
		{title: 'a job row without content', table: TABLES.jobs, key: 'bad', value: undefined},
		{title: 'a job row that is no object', table: TABLES.jobs, key: 'bad', value: 7},
		{title: 'a job row without steps', table: TABLES.jobs, key: 'bad', value: {queue: 'normal', account: 'north', acceptedAtMs: 1, spec: {payload: ''}}},
		{title: 'a run row without a number', table: TABLES.runs, key: 'bad.0.0.0', value: {life: 'w1@1'}},
		{title: 'an incarnation row without content', table: TABLES.lives, key: 'agent', value: undefined},
	];
	for (const {title, table, key, value} of cases) {
		it(`takes over, keeps the job's rows and runs other jobs despite ${title}`, () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.submit('bad', 'normal', [makeStep()]);
			harness.submit('good', 'normal', [makeStep()]);
			harness.write(TABLES.runs, 'bad.0.0.0', {run: 1});
			harness.rows.set(`${table}/${key}`, {
				table, key, value, version: 900, isRemoved: false,
			});
			harness.replaceLeader();
			harness.recoverLeader();
			harness.advance(500);
			expect(worker.started).to.include('good.0.0.0#1');
			expect(harness.rows.has('runs/bad.0.0.0')).to.equal(true);
			if (table !== TABLES.lives) {
				expect(worker.started.some(start => start.startsWith('bad.'))).to.equal(false);
				expect(harness.events('row unreadable').map(event => event.key)).to.include(key);
			}
		});
	}

	it('still cancels a job with an unreadable run row', () => {
		const worker = new FakeWorker('w1');
		const harness = new PoolHarness([worker]);
		harness.submit('bad', 'normal', [makeStep()]);
		harness.write(TABLES.runs, 'bad.0.0.0', {life: 5});
		harness.replaceLeader();
		harness.recoverLeader();
		harness.advance(200);
		harness.cancel('bad');
		harness.advance(200);
		expect(harness.core.jobView('bad')?.state).to.equal(JOB_STATES.cancelled);
	});
});

describe('a gang that is wider than a transaction', () => {
	it('starts once all of its rows are stored', () => {
		const worker = new FakeWorker('w1', {capacity: WIDE_WORKER});
		const harness = new PoolHarness([worker]);
		harness.runCycle();
		harness.submit('wide', 'normal', [makeStep({taskCount: WIDE_GANG_TASKS, isGang: true})]);
		harness.core.tick();
		const first = harness.core.nextCommit()!;
		expect(first.writes.length).to.be.below(100);
		first.complete();
		expect(harness.core.takeOrders()).to.have.length(0);
		harness.advance(500);
		expect(worker.started).to.have.length(WIDE_GANG_TASKS);
	});

	const cases = [
		{title: 'starts again as a whole when only a part of its placement was stored', storedRow: {run: 1, life: 'w1@1000'}, expectedStarts: WIDE_GANG_TASKS, state: JOB_STATES.running},
		{title: 'is done when only a part of its end was stored', storedRow: {run: 1, isDone: true}, expectedStarts: 0, state: JOB_STATES.completed},
	];
	for (const {title, storedRow, expectedStarts, state} of cases) {
		it(title, () => {
			const worker = new FakeWorker('w1', {capacity: WIDE_WORKER});
			const harness = new PoolHarness([worker]);
			harness.submit('wide', 'normal', [makeStep({taskCount: WIDE_GANG_TASKS, isGang: true})]);
			for (let index = 0; index < 90; index++) {
				harness.write(TABLES.runs, `wide.0.0.${index}`, storedRow);
			}

			harness.replaceLeader();
			harness.recoverLeader();
			harness.advance(2000);
			const started = worker.started.filter(start => start.endsWith('#2'));
			expect(started).to.have.length(expectedStarts);
			expect(worker.started).to.have.length(expectedStarts);
			expect(harness.core.jobView('wide')?.state).to.equal(state);
		});
	}
});
