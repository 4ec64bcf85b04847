import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import type {ManualClock, Resources, TaskAssignment, TaskKey} from '@amaranthsail/core';
import type {
	Execution, FaultPlan, RuntimeTask, WorkerRuntime,
} from '@amaranthsail/backing-services';
import {errorKindOf, valueOf} from './table-store-cases.js';

/** A worker under test, its clock, its fault plan and its executions. */
export type WorkerHarness = {
	readonly runtime: WorkerRuntime;
	readonly clock: ManualClock;
	readonly faults: FaultPlan;
	executions(): Promise<readonly Execution[]>;
};

/** One case of the contract of {@link WorkerRuntime}; the comment in each case names the fault that it guards against. */
export type WorkerCase = {readonly title: string; run(harness: WorkerHarness): Promise<void>};

/** Capacity of the worker under test. */
export const CAPACITY: Resources = {
	slots: 2, connections: 8, processors: 8, memoryMb: 800, accelerators: 4,
};

const SHAPE: Resources = {
	slots: 1, connections: 1, processors: 1, memoryMb: 100, accelerators: 1,
};

const DISTANT_LEASE_MS = 1_000_000;

const createKey = (jobId: string, attempt = 1): TaskKey => ({jobId, attempt, taskIndex: 0});
const keyA = createKey('a');
const keyB = createKey('b');

/**
 * Creates an assignment with a small shape.
 *
 * @param input - The input, sent as JSON text.
 * @param overrides - Fields that replace the defaults.
 * @returns The assignment.
 */
export function createAssignment(input: Readonly<Record<string, unknown>>, overrides: Partial<TaskAssignment> = {}): TaskAssignment {
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
		...overrides,
	};
}

async function findTask({runtime}: WorkerHarness, key: TaskKey): Promise<RuntimeTask | undefined> {
	return valueOf(await runtime.list()).find(task => task.key.jobId === key.jobId && task.key.attempt === key.attempt);
}

async function expectTask(harness: WorkerHarness, key: TaskKey, expected: Partial<RuntimeTask>): Promise<void> {
	const task = await findTask(harness, key);
	expect(task, 'the task is not listed').to.be.an('object');
	// JSON omits fields that are undefined.
	expect({...Object.fromEntries(Object.keys(expected).map(name => [name, undefined])), ...task}).to.deep.include(expected);
}

async function countStarts(harness: WorkerHarness): Promise<number> {
	const executions = await harness.executions();
	return executions.length;
}

/** The contract of every worker runtime; the clock has to start at 100 ms. */
export const WORKER_CASES: readonly WorkerCase[] = [
	{
		// An answer that belongs to another task, or a task that ends before its run time is over.
		title: 'runs a task for its run time and answers with job, task, worker, accelerators and input',
		async run(harness) {
			const {runtime, clock} = harness;
			valueOf(await runtime.start(keyA, createAssignment({runMs: 50, answer: [7]}, {accelerators: [2, 3]}), DISTANT_LEASE_MS));
			clock.advance(49);
			await expectTask(harness, keyA, {state: 'running'});
			clock.advance(1);
			const task = await findTask(harness, keyA);
			expect(task?.state).to.equal('finished');
			expect(JSON.parse(Buffer.from(task!.answerBase64!, 'base64').toString())).to.deep.equal({
				jobId: 'a', attempt: 1, taskIndex: 0, workerId: 'worker-1', accelerators: [2, 3], input: '{"runMs":50,"answer":[7]}', answer: [7],
			});
		},
	},
	{
		// Answers that are too small to test transfers of a given length.
		title: 'pads an answer to the length that the input requests',
		async run(harness) {
			valueOf(await harness.runtime.start(keyA, createAssignment({runMs: 0, answerBytes: 5000}), DISTANT_LEASE_MS));
			const task = await findTask(harness, keyA);
			expect(Buffer.from(task!.answerBase64!, 'base64')).to.have.length(5000);
		},
	},
	{
		// A second execution of one attempt after a repeated, late or duplicated request.
		title: 'never starts a key twice, not even after stop and forget',
		async run(harness) {
			const {runtime, clock, faults} = harness;
			faults.use(({operation}) => ({kind: operation === 'start' ? 'duplicated' : 'none'}));
			valueOf(await runtime.start(keyA, createAssignment({runMs: 50}), DISTANT_LEASE_MS));
			faults.clear();
			valueOf(await runtime.start(keyA, createAssignment({runMs: 50}), DISTANT_LEASE_MS));
			clock.advance(10);
			expect(valueOf(await runtime.stop(keyA)).state).to.equal('stopped');
			expect(valueOf(await runtime.start(keyA, createAssignment({runMs: 50}), DISTANT_LEASE_MS)).state).to.equal('stopped');
			valueOf(await runtime.forget(keyA));
			expect(errorKindOf(await runtime.start(keyA, createAssignment({runMs: 50}), DISTANT_LEASE_MS))).to.equal('refused');
			const executions = await harness.executions();
			expect(executions.map(({key, startMs, endMs, state}) => ({
				key, startMs, endMs, state,
			}))).to.deep.equal([{
				key: keyA, startMs: 100, endMs: 110, state: 'stopped',
			}]);
		},
	},
	{
		// A start that arrives after the stop of its attempt.
		title: 'counts a task that was never started as stopped, and never starts it',
		async run(harness) {
			const {runtime} = harness;
			expect(valueOf(await runtime.stop(keyA))).to.include({state: 'stopped', reason: 'never_started'});
			expect(valueOf(await runtime.start(keyA, createAssignment({}), DISTANT_LEASE_MS)).state).to.equal('stopped');
			expect(await countStarts(harness)).to.equal(0);
		},
	},
	{
		// A task that continues after its lease while its agent is paused, or ends although its lease was renewed.
		title: 'stops a task at the end of its lease, which only moves forward',
		async run(harness) {
			const {runtime, clock} = harness;
			valueOf(await runtime.start(keyA, createAssignment({runMs: 5000, ignoreStop: true}), 200));
			valueOf(await runtime.renew([{key: keyA, leaseUntilMs: 400}, {key: keyB, leaseUntilMs: 400}]));
			valueOf(await runtime.renew([{key: keyA, leaseUntilMs: 300}]));
			clock.advance(299);
			await expectTask(harness, keyA, {state: 'running'});
			clock.advance(700);
			await expectTask(harness, keyA, {state: 'stopped', reason: 'lease_expired'});
			const executions = await harness.executions();
			expect(executions[0]?.endMs).to.equal(400);
			expect(errorKindOf(await runtime.start(keyB, createAssignment({}), 1000))).to.equal('refused');
		},
	},
	{
		// A task that exceeds one of the five resources, or two tasks on one accelerator.
		title: 'refuses a task that does not fit into the free capacity, and starts it after the running ones have ended',
		async run(harness) {
			const {runtime} = harness;
			valueOf(await runtime.start(keyA, createAssignment({runMs: 5000}), DISTANT_LEASE_MS));
			expect(errorKindOf(await runtime.start(keyB, createAssignment({}, {accelerators: [0]}), DISTANT_LEASE_MS))).to.equal('refused');
			expect(errorKindOf(await runtime.start(keyB, createAssignment({}, {shape: {...SHAPE, memoryMb: 701}, accelerators: [1]}), DISTANT_LEASE_MS))).to.equal('refused');
			valueOf(await runtime.stop(keyA));
			expect(valueOf(await runtime.start(keyB, createAssignment({}), DISTANT_LEASE_MS)).state).to.equal('running');
		},
	},
	{
		// A restart that loses the progress of a checkpoint, or counts progress after the checkpoint.
		title: 'continues from a checkpoint',
		async run(harness) {
			const {runtime, clock} = harness;
			valueOf(await runtime.start(keyA, createAssignment({runMs: 1000}), DISTANT_LEASE_MS));
			clock.advance(600);
			valueOf(await runtime.checkpoint(keyA));
			await expectTask(harness, keyA, {state: 'checkpointing'});
			clock.advance(50);
			const {checkpointKey} = valueOf(await runtime.stop(keyA));
			expect(checkpointKey).to.be.a('string');
			valueOf(await runtime.start(createKey('a', 2), createAssignment({runMs: 1000}, {checkpointKey}), DISTANT_LEASE_MS));
			clock.advance(399);
			await expectTask(harness, createKey('a', 2), {state: 'running'});
			clock.advance(1);
			await expectTask(harness, createKey('a', 2), {state: 'finished'});
		},
	},
	{
		// A checkpoint that is reported as complete although the task was stopped while writing it.
		title: 'has no checkpoint when it is stopped before the checkpoint is complete',
		async run(harness) {
			const {runtime, clock} = harness;
			valueOf(await runtime.start(keyA, createAssignment({runMs: 1000}), DISTANT_LEASE_MS));
			valueOf(await runtime.checkpoint(keyA));
			clock.advance(49);
			expect(valueOf(await runtime.stop(keyA)).checkpointKey).to.equal(undefined);
			clock.advance(10);
			await expectTask(harness, keyA, {checkpointKey: undefined});
			valueOf(await runtime.start(keyB, createAssignment({runMs: 1000}, {checkpointable: false}), DISTANT_LEASE_MS));
			expect(errorKindOf(await runtime.checkpoint(keyB))).to.equal('refused');
			expect(errorKindOf(await runtime.checkpoint(createKey('absent')))).to.equal('not_found');
		},
	},
	{
		// Usage that is reported as current although it is delayed.
		title: 'throttles to half speed, and reports usage with a delay',
		async run(harness) {
			const {runtime, clock} = harness;
			valueOf(await runtime.start(keyA, createAssignment({runMs: 2000}), DISTANT_LEASE_MS));
			clock.advance(500);
			valueOf(await runtime.throttle(keyA));
			await expectTask(harness, keyA, {usage: undefined});
			clock.advance(2999);
			await expectTask(harness, keyA, {state: 'running', usage: {measuredAtMs: 2599, used: SHAPE}});
			clock.advance(1);
			await expectTask(harness, keyA, {state: 'finished'});
		},
	},
	{
		// A failure without its reason, or a failure with an answer.
		title: 'fails as the input or the operation specifies',
		async run(harness) {
			const {runtime, clock} = harness;
			valueOf(await runtime.start(keyA, createAssignment({runMs: 5, fail: 'bad_rate'}), DISTANT_LEASE_MS));
			expect(valueOf(await runtime.start(keyB, createAssignment({}, {operation: 'neverRuns', accelerators: [1]}), DISTANT_LEASE_MS))).to.include({state: 'failed', reason: 'never_runs'});
			clock.advance(5);
			const task = await findTask(harness, keyA);
			expect(task).to.include({state: 'failed', reason: 'bad_rate'});
			expect(task?.answerBase64).to.equal(undefined);
		},
	},
	{
		// A caller that treats a task as stopped while it is still running.
		title: 'reports an unknown outcome while a task ignores the stop, and does not forget it',
		async run(harness) {
			const {runtime} = harness;
			valueOf(await runtime.start(keyA, createAssignment({runMs: 5000, ignoreStop: true}), DISTANT_LEASE_MS));
			expect(errorKindOf(await runtime.stop(keyA))).to.equal('outcome_unknown');
			expect(errorKindOf(await runtime.forget(keyA))).to.equal('refused');
			await expectTask(harness, keyA, {state: 'running'});
		},
	},
	...([
		['unavailable', 'unavailable', 0],
		['lost_before_effect', 'outcome_unknown', 0],
		['lost_after_effect', 'outcome_unknown', 1],
	] as const).map(([kind, expected, expectedStarts]) => ({
		// An error kind that claims more than is known about a start.
		title: `reports ${expected} for a start under ${kind}`,
		async run(harness: WorkerHarness) {
			harness.faults.use(() => ({kind}));
			expect(errorKindOf(await harness.runtime.start(keyA, createAssignment({runMs: 50}), DISTANT_LEASE_MS))).to.equal(expected);
			expect(errorKindOf(await harness.runtime.list())).to.equal('unavailable');
			harness.faults.clear();
			expect(await countStarts(harness)).to.equal(expectedStarts);
		},
	})),
];
