import {expect} from 'chai';
import {ManualClock} from '@amaranthsail/core';
import {makeStep, PoolHarness} from './support/pool-harness.js';
import {
	DEFAULT_LIMITS, decodeJobRow, type JobRow, MAX_JOB_TASKS,
} from '@amaranthsail/pool';
import {JobLifecycle} from '@amaranthsail/pool/job-lifecycle.js';
import {PoolContext} from '@amaranthsail/pool/pool-context.js';
import {RunLifecycle} from '@amaranthsail/pool/run-lifecycle.js';

/** Bounds what a test creates, so that a failing one doesn't use up the memory. */
const COUNT = 2000;

const TASKS_PER_OCCURRENCE = 10;

const ROW: JobRow = {queue: 'normal', account: 'north', acceptedAtMs: 1, spec: {payload: '', steps: [makeStep({taskCount: TASKS_PER_OCCURRENCE})], recurrence: {count: COUNT, startAtMs: 0, intervalMs: 0}}};

function createLifecycle(): {readonly context: PoolContext; readonly jobs: JobLifecycle} {
	const context = new PoolContext(new ManualClock(100_000), DEFAULT_LIMITS, () => undefined);
	return {context, jobs: new JobLifecycle(context, new RunLifecycle(context, () => undefined))};
}

describe('a job whose occurrences are all due at once', () => {
	it('has no more tasks to run at a time than a job without occurrences', () => {
		const {context, jobs} = createLifecycle();
		const job = jobs.addStored('often', ROW);
		jobs.createDueOccurrences();
		expect(context.jobs.size).to.equal(1);
		expect(job.occurrences.length).to.equal(Math.floor(MAX_JOB_TASKS / TASKS_PER_OCCURRENCE));
	});

	it('gets each further occurrence once earlier ones are done', () => {
		const {jobs} = createLifecycle();
		const job = jobs.addStored('often', ROW);
		const before = job.occurrences.length;
		for (const task of job.occurrences[0]!.steps[0]!.tasks) {
			task.isDone = true;
		}

		jobs.createDueOccurrences();
		expect(job.occurrences.length).to.equal(before + 1);
	});

	it('has one occurrence at a time if that is as large as a job may be', () => {
		const {jobs} = createLifecycle();
		const job = jobs.addStored('often', {...ROW, spec: {...ROW.spec!, steps: [makeStep({taskCount: MAX_JOB_TASKS})], recurrence: {count: 3, startAtMs: 0, intervalMs: 0}}});
		expect(job.occurrences.length).to.equal(1);
	});

	it('is recovered despite the row of a run of a far later occurrence', () => {
		const harness = new PoolHarness();
		harness.submit('often', 'normal', [makeStep()], {spec: {recurrence: {count: 2_000_000, startAtMs: 9e15, intervalMs: 1}}});
		harness.write('runs', 'often.1999999.0.0', {run: 1, life: 'w1@1'});
		harness.replaceLeader();
		harness.recoverLeader();
		expect(harness.events('state recovered').at(-1)).to.deep.include({workers: 0});
	});
});

describe('decodeJobRow', () => {
	const step = makeStep();
	const cases: ReadonlyArray<{readonly title: string; readonly row: unknown}> = [
		{title: 'a step with a billion tasks', row: {...ROW, spec: {payload: '', steps: [{...step, taskCount: 1e9}]}}},
		{title: 'steps with too many tasks in all', row: {...ROW, spec: {payload: '', steps: [{...step, taskCount: MAX_JOB_TASKS}, step]}}},
		{title: 'an infinite estimate', row: {...ROW, spec: {payload: '', steps: [{...step, estimatedMs: Number.POSITIVE_INFINITY}]}}},
		{title: 'an infinite interval', row: {...ROW, spec: {...ROW.spec, recurrence: {count: 2, startAtMs: 0, intervalMs: Number.POSITIVE_INFINITY}}}},
		{title: 'an infinite time of acceptance', row: {...ROW, acceptedAtMs: Number.POSITIVE_INFINITY}},
	];
	for (const {title, row} of cases) {
		it(`can't read ${title}`, () => {
			expect(decodeJobRow(row)).to.equal(undefined);
		});
	}

	it('reads the largest job', () => {
		expect(decodeJobRow({...ROW, spec: {payload: '', steps: [{...step, taskCount: MAX_JOB_TASKS}]}})).to.not.equal(undefined);
	});
});
