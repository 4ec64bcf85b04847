import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import type {ManualClock, Resources, TaskAssignment, TaskKey} from '@amaranthsail/core';
import type {
	Execution, FaultPlan, RuntimeTask, WorkerRuntime,
} from '@amaranthsail/backing-services';
import {errorKindOf, valueOf} from './table-store-cases.js';

/** A worker under test, its clock, its faults and the starts it counts. */
export type WorkerHarness = {
	readonly runtime: WorkerRuntime;
	readonly clock: ManualClock;
	readonly faults: FaultPlan;
	executions(): Promise<readonly Execution[]>;
};

/** One case of the contract of {@link WorkerRuntime}; the comment above each names the failure that it guards against. */
export type WorkerCase = {readonly title: string; run(harness: WorkerHarness): Promise<void>};

/** Capacity of the worker under test. */
export const CAPACITY: Resources = {
	slots: 2, connections: 8, processors: 8, memoryMb: 800, accelerators: 4,
};

const SHAPE: Resources = {
	slots: 1, connections: 1, processors: 1, memoryMb: 100, accelerators: 1,
};

const FAR_MS = 1_000_000;

const keyOf = (jobId: string, attempt = 1): TaskKey => ({jobId, attempt, taskIndex: 0});
const jobA = keyOf('a');
const jobB = keyOf('b');

/**
 * Makes an assignment with the smallest shape.
 *
 * @param input - The input, sent as JSON text.
 * @param change - Fields that differ.
 * @returns The assignment.
 */
export function assignment(input: Readonly<Record<string, unknown>>, change: Partial<TaskAssignment> = {}): TaskAssignment {
	return {
		account: 'account-1',
		service: 'register',
		operation: 'revaluation',
		endpointId: 'endpoint-1',
		shape: SHAPE,
		accelerators: [0],
		taskCount: 1,
		repeatable: true,
		checkpointable: true,
		inlineInput: JSON.stringify(input),
		...change,
	};
}

async function taskOf({runtime}: WorkerHarness, key: TaskKey): Promise<RuntimeTask | undefined> {
	return valueOf(await runtime.list()).find(task => task.key.jobId === key.jobId && task.key.attempt === key.attempt);
}

async function expectTask(harness: WorkerHarness, key: TaskKey, expected: Partial<RuntimeTask>): Promise<void> {
	const task = await taskOf(harness, key);
	expect(task, 'the task is not listed').to.be.an('object');
	// JSON drops fields that are undefined.
	expect({...Object.fromEntries(Object.keys(expected).map(name => [name, undefined])), ...task}).to.deep.include(expected);
}

async function startCount(harness: WorkerHarness): Promise<number> {
	const executions = await harness.executions();
	return executions.length;
}

/** The contract of every worker runtime; the clock starts at 100 ms. */
export const WORKER_CASES: readonly WorkerCase[] = [
	{
		// An answer that belongs to another task, or a task that ends before its run time.
		title: 'runs a task for its run time and answers with job, task, worker, accelerators and input',
		async run(harness) {
			const {runtime, clock} = harness;
			valueOf(await runtime.start(jobA, assignment({runMs: 50, answer: [7]}, {accelerators: [2, 3]}), FAR_MS));
			clock.advance(49);
			await expectTask(harness, jobA, {state: 'running'});
			clock.advance(1);
			const task = await taskOf(harness, jobA);
			expect(task?.state).to.equal('finished');
			expect(JSON.parse(Buffer.from(task!.answerBase64!, 'base64').toString())).to.deep.equal({
				jobId: 'a', attempt: 1, taskIndex: 0, workerId: 'worker-1', accelerators: [2, 3], input: '{"runMs":50,"answer":[7]}', answer: [7],
			});
		},
	},
	{
		// Answers that are too small to exercise transfers of a given length.
		title: 'pads an answer to the length that the input asks for',
		async run(harness) {
			valueOf(await harness.runtime.start(jobA, assignment({runMs: 0, answerBytes: 5000}), FAR_MS));
			const task = await taskOf(harness, jobA);
			expect(Buffer.from(task!.answerBase64!, 'base64')).to.have.length(5000);
		},
	},
	{
		// A second execution of one attempt after a repeated, late or duplicated request.
		title: 'never starts a key twice, not even after stop and forget',
		async run(harness) {
			const {runtime, clock, faults} = harness;
			faults.use(({operation}) => ({kind: operation === 'start' ? 'duplicated' : 'none'}));
			valueOf(await runtime.start(jobA, assignment({runMs: 50}), FAR_MS));
			faults.clear();
			valueOf(await runtime.start(jobA, assignment({runMs: 50}), FAR_MS));
			clock.advance(10);
			expect(valueOf(await runtime.stop(jobA)).state).to.equal('stopped');
			expect(valueOf(await runtime.start(jobA, assignment({runMs: 50}), FAR_MS)).state).to.equal('stopped');
			valueOf(await runtime.forget(jobA));
			expect(errorKindOf(await runtime.start(jobA, assignment({runMs: 50}), FAR_MS))).to.equal('refused');
			const executions = await harness.executions();
			expect(executions.map(({key, startMs, endMs, state}) => ({
				key, startMs, endMs, state,
			}))).to.deep.equal([{
				key: jobA, startMs: 100, endMs: 110, state: 'stopped',
			}]);
		},
	},
	{
		// A start that arrives after the stop of its attempt.
		title: 'counts a task that was never started as stopped, and never starts it',
		async run(harness) {
			const {runtime} = harness;
			expect(valueOf(await runtime.stop(jobA))).to.include({state: 'stopped', reason: 'never_started'});
			expect(valueOf(await runtime.start(jobA, assignment({}), FAR_MS)).state).to.equal('stopped');
			expect(await startCount(harness)).to.equal(0);
		},
	},
	{
		// A task that runs on while its agent is paused, or ends although its lease was renewed.
		title: 'stops a task at the end of its lease, which only moves forward',
		async run(harness) {
			const {runtime, clock} = harness;
			valueOf(await runtime.start(jobA, assignment({runMs: 5000, ignoreStop: true}), 200));
			valueOf(await runtime.renew([{key: jobA, leaseUntilMs: 400}, {key: jobB, leaseUntilMs: 400}]));
			valueOf(await runtime.renew([{key: jobA, leaseUntilMs: 300}]));
			clock.advance(299);
			await expectTask(harness, jobA, {state: 'running'});
			clock.advance(700);
			await expectTask(harness, jobA, {state: 'stopped', reason: 'lease_expired'});
			const executions = await harness.executions();
			expect(executions[0]?.endMs).to.equal(400);
			expect(errorKindOf(await runtime.start(jobB, assignment({}), 1000))).to.equal('refused');
		},
	},
	{
		// A task beyond one of the five limits, or two tasks on one accelerator.
		title: 'refuses a task that does not fit beside the running ones, and takes it once they ended',
		async run(harness) {
			const {runtime} = harness;
			valueOf(await runtime.start(jobA, assignment({runMs: 5000}), FAR_MS));
			expect(errorKindOf(await runtime.start(jobB, assignment({}, {accelerators: [0]}), FAR_MS))).to.equal('refused');
			expect(errorKindOf(await runtime.start(jobB, assignment({}, {shape: {...SHAPE, memoryMb: 701}, accelerators: [1]}), FAR_MS))).to.equal('refused');
			valueOf(await runtime.stop(jobA));
			expect(valueOf(await runtime.start(jobB, assignment({}), FAR_MS)).state).to.equal('running');
		},
	},
	{
		// A restart that loses the progress of a checkpoint, or counts progress that no checkpoint holds.
		title: 'continues from a checkpoint',
		async run(harness) {
			const {runtime, clock} = harness;
			valueOf(await runtime.start(jobA, assignment({runMs: 1000}), FAR_MS));
			clock.advance(600);
			valueOf(await runtime.checkpoint(jobA));
			await expectTask(harness, jobA, {state: 'checkpointing'});
			clock.advance(50);
			const {checkpointKey} = valueOf(await runtime.stop(jobA));
			expect(checkpointKey).to.be.a('string');
			valueOf(await runtime.start(keyOf('a', 2), assignment({runMs: 1000}, {checkpointKey}), FAR_MS));
			clock.advance(399);
			await expectTask(harness, keyOf('a', 2), {state: 'running'});
			clock.advance(1);
			await expectTask(harness, keyOf('a', 2), {state: 'finished'});
		},
	},
	{
		// A checkpoint that is taken for complete although the task was stopped while writing it.
		title: 'has no checkpoint when it is stopped before the checkpoint is complete',
		async run(harness) {
			const {runtime, clock} = harness;
			valueOf(await runtime.start(jobA, assignment({runMs: 1000}), FAR_MS));
			valueOf(await runtime.checkpoint(jobA));
			clock.advance(49);
			expect(valueOf(await runtime.stop(jobA)).checkpointKey).to.equal(undefined);
			clock.advance(10);
			await expectTask(harness, jobA, {checkpointKey: undefined});
			valueOf(await runtime.start(jobB, assignment({runMs: 1000}, {checkpointable: false}), FAR_MS));
			expect(errorKindOf(await runtime.checkpoint(jobB))).to.equal('refused');
			expect(errorKindOf(await runtime.checkpoint(keyOf('absent')))).to.equal('not_found');
		},
	},
	{
		// Use that is reported as current although it lags.
		title: 'throttles to half speed, and reports use with a lag',
		async run(harness) {
			const {runtime, clock} = harness;
			valueOf(await runtime.start(jobA, assignment({runMs: 2000}), FAR_MS));
			clock.advance(500);
			valueOf(await runtime.throttle(jobA));
			await expectTask(harness, jobA, {usage: undefined});
			clock.advance(2999);
			await expectTask(harness, jobA, {state: 'running', usage: {measuredAtMs: 2599, used: SHAPE}});
			clock.advance(1);
			await expectTask(harness, jobA, {state: 'finished'});
		},
	},
	{
		// A failure without its reason, or one that looks like an answer.
		title: 'fails as the input or the operation says',
		async run(harness) {
			const {runtime, clock} = harness;
			valueOf(await runtime.start(jobA, assignment({runMs: 5, fail: 'bad_rate'}), FAR_MS));
			expect(valueOf(await runtime.start(jobB, assignment({}, {operation: 'neverRuns', accelerators: [1]}), FAR_MS))).to.include({state: 'failed', reason: 'never_runs'});
			clock.advance(5);
			const task = await taskOf(harness, jobA);
			expect(task).to.include({state: 'failed', reason: 'bad_rate'});
			expect(task?.answerBase64).to.equal(undefined);
		},
	},
	{
		// A caller that takes a task for stopped while it runs on.
		title: 'reports an unknown outcome while a task ignores the stop, and does not forget it',
		async run(harness) {
			const {runtime} = harness;
			valueOf(await runtime.start(jobA, assignment({runMs: 5000, ignoreStop: true}), FAR_MS));
			expect(errorKindOf(await runtime.stop(jobA))).to.equal('outcome_unknown');
			expect(errorKindOf(await runtime.forget(jobA))).to.equal('refused');
			await expectTask(harness, jobA, {state: 'running'});
		},
	},
	...([
		['unavailable', 'unavailable', 0],
		['lost_before_effect', 'outcome_unknown', 0],
		['lost_after_effect', 'outcome_unknown', 1],
	] as const).map(([kind, expected, starts]) => ({
		// An error tag that promises more than is known of a start.
		title: `reports ${expected} for a start under ${kind}`,
		async run(harness: WorkerHarness) {
			harness.faults.use(() => ({kind}));
			expect(errorKindOf(await harness.runtime.start(jobA, assignment({runMs: 50}), FAR_MS))).to.equal(expected);
			expect(errorKindOf(await harness.runtime.list())).to.equal('unavailable');
			harness.faults.clear();
			expect(await startCount(harness)).to.equal(starts);
		},
	})),
];
