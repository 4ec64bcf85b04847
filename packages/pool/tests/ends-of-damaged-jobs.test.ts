import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness} from './support/pool-harness.js';
import {
	type JobRow, JOB_STATES, type RunOutcome, type StepSpec, type StoredRow, TABLES,
} from '@amaranthsail/pool';

const TASK = 'bad.0.0.0';

type Damage = {readonly title: string; readonly table: string; readonly key: string};

const JOB_ROW: Damage = {title: 'job row', table: TABLES.jobs, key: 'bad'};
const RUN_ROW: Damage = {title: 'run row', table: TABLES.runs, key: TASK};

/** Starts a step, and has a new leader read the rows with a damaged one. */
function takeOverWithDamage(step: Partial<StepSpec>, {table, key}: Damage): {readonly harness: PoolHarness; readonly worker: FakeWorker; readonly repair: () => void} {
	const worker = new FakeWorker('w1');
	const harness = new PoolHarness([worker]);
	harness.submit('bad', 'normal', [makeStep(step)]);
	harness.advance(500);
	const sound = harness.rows.get(`${table}/${key}`)!;
	const damaged: StoredRow = {...sound, value: {format: 'of another release'}};
	harness.rows.set(`${table}/${key}`, damaged);
	harness.replaceLeader();
	harness.recoverLeader();
	return {
		harness, worker, repair() {
			if (harness.rows.get(`${table}/${key}`) === damaged) {
				harness.rows.set(`${table}/${key}`, sound);
			}
		},
	};
}

/** Ends a run unless the leader has already stopped it. */
function endRun(worker: FakeWorker, task: string, outcome: RunOutcome): void {
	expect([...worker.runs.keys()]).to.include(task);
	worker.end(task, outcome);
}

describe('the end of a run whose job cannot be read', () => {
	const doneCases: ReadonlyArray<{readonly damage: Damage; readonly step: Partial<StepSpec>}> = [
		{damage: JOB_ROW, step: {}},
		{damage: JOB_ROW, step: {taskCount: 2, isGang: true}},
		{damage: RUN_ROW, step: {}},
		{damage: RUN_ROW, step: {taskCount: 2, isGang: true}},
	];
	for (const {damage, step} of doneCases) {
		it(`counts as done once a later leader can read the ${damage.title} of a ${step.isGang ? 'gang' : 'task'}`, () => {
			const {harness, worker, repair} = takeOverWithDamage(step, damage);
			const startsBefore = worker.started.length;
			for (const task of worker.runs.keys()) {
				endRun(worker, task, 'done');
			}

			harness.advance(1000);
			// Workers forget what is acknowledged.
			expect(worker.ackSequence).to.equal(startsBefore);
			repair();
			harness.replaceLeader();
			harness.recoverLeader();
			harness.advance(3000);
			expect(worker.started).to.have.length(startsBefore);
			expect(harness.core.jobView('bad')?.state).to.equal(JOB_STATES.completed);
		});
	}

	it('counts as a failure once a later leader can read the job row', () => {
		const {harness, worker, repair} = takeOverWithDamage({}, JOB_ROW);
		endRun(worker, TASK, 'failed');
		harness.advance(1000);
		expect(worker.ackSequence).to.equal(1);
		repair();
		harness.replaceLeader();
		harness.recoverLeader();
		harness.advance(1000);
		endRun(worker, TASK, 'failed');
		harness.advance(1000);
		// Two attempts are allowed.
		expect(worker.started).to.have.length(2);
		expect(harness.core.jobView('bad')?.state).to.equal(JOB_STATES.failed);
	});

	it('does not end a lasting task for good', () => {
		const {harness, worker, repair} = takeOverWithDamage({isLasting: true}, JOB_ROW);
		endRun(worker, TASK, 'done');
		harness.advance(1000);
		repair();
		harness.replaceLeader();
		harness.recoverLeader();
		harness.advance(1000);
		expect(worker.runs.has(TASK)).to.equal(true);
	});

	it('is kept when the job row is repaired under the same leader', () => {
		const {harness, worker, repair} = takeOverWithDamage({}, JOB_ROW);
		endRun(worker, TASK, 'done');
		harness.advance(1000);
		repair();
		harness.core.onJobStored('bad', harness.rows.get('jobs/bad')!.value as JobRow);
		harness.advance(1000);
		expect(worker.started).to.have.length(1);
		harness.replaceLeader();
		harness.recoverLeader();
		harness.advance(1000);
		expect(worker.started).to.have.length(1);
		expect(harness.core.jobView('bad')?.state).to.equal(JOB_STATES.completed);
	});

	const unknownCases = [
		{title: 'a job that never existed', task: 'never.0.0.0'},
		{title: 'no task at all', task: 'no task'},
	];
	for (const {title, task} of unknownCases) {
		it(`is acknowledged, and stored nowhere, if it names ${title}`, () => {
			const {harness, worker} = takeOverWithDamage({}, JOB_ROW);
			worker.ended.push({
				sequence: 1, task, run: 1, outcome: 'done', checkpoint: '',
			});
			harness.advance(500);
			expect(worker.ackSequence).to.be.at.least(1);
			expect(harness.rows.has(`${TABLES.runs}/${task}`)).to.equal(false);
		});
	}
});
