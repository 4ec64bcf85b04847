import {expect} from 'chai';
import {TASK_LEASE_MS, type Command, type CommandKind} from '@amaranthsail/core';
import {AgentHarness, ASSIGNMENT, TASK} from './agent-harness.js';

type Step = CommandKind | {readonly kind: CommandKind; readonly changes: Partial<Command>} | ((harness: AgentHarness) => void);

type Case = {
	readonly name: string;
	readonly steps: readonly Step[];
	/** State, whether it ever started, and reason of the report at the end. */
	readonly report: readonly [string, boolean, string?] | undefined;
	readonly starts: number;
};

function play(harness: AgentHarness, steps: readonly Step[]): void {
	for (const step of steps) {
		if (typeof step === 'function') {
			step(harness);
		} else if (typeof step === 'string') {
			harness.command(step);
		} else {
			harness.command(step.kind, step.changes);
		}
	}
}

const wait = (byMs: number) => (harness: AgentHarness): void => {
	harness.advance(byMs);
};

const set = (changes: Partial<AgentHarness>) => (harness: AgentHarness): void => {
	Object.assign(harness, changes);
};

const shutDown = (harness: AgentHarness): void => {
	harness.dispatch({kind: 'shutdownRequested'});
};

const leave = (harness: AgentHarness): void => {
	harness.isLeaving = true;
	harness.announce();
};

const withAssignment = (changes: Partial<typeof ASSIGNMENT>): Step => ({kind: 'prepare', changes: {assignment: {...ASSIGNMENT, ...changes}}});
const withShape = (changes: Partial<typeof ASSIGNMENT.shape>): Step => withAssignment({shape: {...ASSIGNMENT.shape, ...changes}});

const CASES: Readonly<Record<string, readonly Case[]>> = {
	'order and repetition of commands': [
		{
			name: 'prepare holds', steps: ['prepare'], report: ['prepared', false], starts: 0,
		},
		{
			name: 'release starts', steps: ['prepare', 'release'], report: ['running', true], starts: 1,
		},
		{
			name: 'every command twice', steps: ['prepare', 'prepare', 'release', 'release', 'prepare'], report: ['running', true], starts: 1,
		},
		{
			name: 'release before prepare', steps: ['release', 'prepare', 'release'], report: ['stopped', false, 'never_prepared'], starts: 0,
		},
		{
			name: 'stop before prepare', steps: ['stop', 'prepare', 'release'], report: ['stopped', false, 'never_prepared'], starts: 0,
		},
		{
			name: 'checkpoint before prepare', steps: ['checkpoint', 'prepare', 'release'], report: ['stopped', false, 'never_prepared'], starts: 0,
		},
		{
			name: 'stop of a prepared task', steps: ['prepare', 'stop', 'release', 'prepare'], report: ['stopped', false, 'stop_requested'], starts: 0,
		},
		{
			name: 'stop of a running task', steps: ['prepare', 'release', 'stop', 'stop', 'release'], report: ['stopped', true, 'stop_requested'], starts: 1,
		},
		{
			name: 'prepare and release after forget', steps: ['prepare', 'stop', 'forget', 'prepare', 'release'], report: ['stopped', false, 'already_ended'], starts: 0,
		},
		{
			name: 'release after forget of a started task', steps: ['prepare', 'release', 'stop', 'forget', 'release'], report: ['stopped', true, 'already_ended'], starts: 1,
		},
		{
			name: 'forget of a running task', steps: ['prepare', 'release', 'forget'], report: ['running', true], starts: 1,
		},
		{
			name: 'forget twice', steps: ['stop', 'forget', 'forget'], report: undefined, starts: 0,
		},
		{
			name: 'throttle of an unknown task', steps: ['throttle'], report: undefined, starts: 0,
		},
	],
	fences: [
		{
			name: 'command of a lower epoch', steps: [{kind: 'prepare', changes: {epoch: 2}}], report: undefined, starts: 0,
		},
		{
			name: 'release of a lower epoch', steps: ['prepare', {kind: 'release', changes: {epoch: 2}}], report: ['prepared', false], starts: 0,
		},
		{
			name: 'release of the old owner after a higher epoch',
			steps: ['prepare', {kind: 'throttle', changes: {epoch: 4, ownerId: 'owner-4'}}, 'release'],
			report: ['prepared', false],
			starts: 0,
		},
		{
			name: 'command of another process under the same epoch', steps: [{kind: 'prepare', changes: {ownerId: 'other'}}], report: undefined, starts: 0,
		},
		{
			name: 'command for another incarnation', steps: [{kind: 'prepare', changes: {incarnation: 'incarnation-1'}}], report: undefined, starts: 0,
		},
		{
			name: 'command for another worker', steps: [{kind: 'prepare', changes: {workerId: 'worker-b'}}], report: undefined, starts: 0,
		},
	],
	endpoints: [
		{
			name: 'prepare on a leaving endpoint', steps: [leave, 'prepare'], report: ['refused', false, 'endpoint_leaving'], starts: 0,
		},
		{
			name: 'release on a leaving endpoint', steps: ['prepare', leave, 'release'], report: ['stopped', false, 'endpoint_leaving'], starts: 0,
		},
		{
			name: 'late announcement that no longer says leaving',
			steps: ['prepare', leave, wait(100), set({isLeaving: false}), (harness: AgentHarness): void => {
				harness.announce();
			}, 'release'],
			report: ['stopped', false, 'endpoint_leaving'],
			starts: 0,
		},
		{
			name: 'prepare on a silent endpoint', steps: [set({isAnnouncing: false}), wait(3000), 'prepare'], report: ['refused', false, 'endpoint_leaving'], starts: 0,
		},
		{
			name: 'release on a silent endpoint', steps: ['prepare', set({isAnnouncing: false}), wait(3000), 'release'], report: ['stopped', false, 'endpoint_leaving'], starts: 0,
		},
		{
			name: 'running task on a silent endpoint', steps: ['prepare', 'release', set({isAnnouncing: false}), wait(20_000)], report: ['running', true], starts: 1,
		},
		{
			name: 'unknown endpoint', steps: [withAssignment({endpointId: 'endpoint-b'})], report: ['refused', false, 'unknown_endpoint'], starts: 0,
		},
		{
			name: 'endpoint of another service', steps: [withAssignment({service: 'repairs'})], report: ['refused', false, 'wrong_service'], starts: 0,
		},
		{
			name: 'release after a refused prepare', steps: [leave, 'prepare', 'release'], report: ['stopped', false, 'endpoint_leaving'], starts: 0,
		},
	],
	resources: [
		...(['slots', 'connections', 'processors', 'memoryMb', 'accelerators'] as const).map(name => ({
			name: `too many ${name}`, steps: [withShape({[name]: 100_000})], report: ['refused', false, `no_${name}`] as const, starts: 0,
		})),
		{
			name: 'accelerator held by another task',
			steps: [{kind: 'prepare', changes: {task: {...TASK, jobId: 'job-b'}}}, 'prepare'],
			report: ['refused', false, 'accelerator_taken'],
			starts: 0,
		},
		{
			name: 'fewer accelerator numbers than the shape', steps: [withAssignment({accelerators: [0]})], report: ['refused', false, 'wrong_accelerators'], starts: 0,
		},
		{
			name: 'accelerator number twice', steps: [withAssignment({accelerators: [0, 0]})], report: ['refused', false, 'wrong_accelerators'], starts: 0,
		},
		{
			name: 'accelerator that the worker lacks', steps: [withAssignment({accelerators: [7, 8]})], report: ['refused', false, 'accelerator_taken'], starts: 0,
		},
		{
			name: 'resources given back by a stopped task',
			steps: [{kind: 'prepare', changes: {task: {...TASK, jobId: 'job-b'}}}, {kind: 'stop', changes: {task: {...TASK, jobId: 'job-b'}}}, 'prepare'],
			report: ['prepared', false],
			starts: 0,
		},
	],
	'holds and leases': [
		{
			name: 'hold lapses without a renewal', steps: [set({isRenewing: false}), 'prepare', wait(5000), 'release'], report: ['stopped', false, 'hold_lapsed'], starts: 0,
		},
		{
			name: 'hold goes on with renewals', steps: ['prepare', wait(30_000), 'release'], report: ['running', true], starts: 1,
		},
		{
			name: 'prepared task whose lease lapses',
			steps: ['prepare', wait(100), set({isAcking: false}), wait(TASK_LEASE_MS), 'release'],
			report: ['stopped', false, 'lease_lapsed'],
			starts: 0,
		},
		{
			name: 'running task whose lease lapses',
			steps: ['prepare', 'release', wait(100), set({isAcking: false}), wait(TASK_LEASE_MS)],
			report: ['stopped', true, 'lease_lapsed'],
			starts: 1,
		},
		{
			name: 'release that was queued while the agent was paused',
			steps: ['prepare', wait(100), (harness: AgentHarness): void => {
				harness.pause(TASK_LEASE_MS);
				harness.announce();
			}, 'release'],
			report: ['stopped', false, 'lease_lapsed'],
			starts: 0,
		},
		{
			name: 'prepare and release that were queued while the agent was paused',
			steps: [(harness: AgentHarness): void => {
				harness.isAcking = false;
				harness.pause(TASK_LEASE_MS);
				harness.announce();
			}, 'prepare', 'release'],
			report: ['prepared', false],
			starts: 0,
		},
	],
	shutdown: [
		{
			name: 'prepare after the first signal', steps: [(harness: AgentHarness): void => {
				harness.run({task: {...TASK, jobId: 'job-b'}});
			}, shutDown, 'prepare'], report: ['refused', false, 'agent_leaving'], starts: 1,
		},
		{
			name: 'prepared task at the first signal', steps: ['prepare', shutDown, 'release'], report: ['stopped', false, 'agent_leaving'], starts: 0,
		},
		{
			name: 'running task at the first signal', steps: ['prepare', 'release', wait(50), shutDown, wait(60_000)], report: ['running', true], starts: 1,
		},
	],
	'worker failures': [
		{
			name: 'start that was never sent',
			steps: [set({startError: {kind: 'unavailable', message: ''}}), 'prepare', 'release', 'release'],
			report: ['stopped', false, 'worker_unavailable'],
			starts: 1,
		},
		{
			name: 'start that the worker refuses', steps: [set({startError: {kind: 'refused', message: ''}}), 'prepare', 'release'], report: ['stopped', false, 'start_refused'], starts: 1,
		},
		{
			name: 'start whose answer is lost', steps: [set({startError: {kind: 'outcome_unknown', message: ''}}), 'prepare', 'release', wait(300)], report: ['running', true], starts: 1,
		},
		{
			name: 'start that is lost without an answer',
			steps: [set({startError: {kind: 'outcome_unknown', message: ''}}), 'prepare', 'release', (harness: AgentHarness): void => {
				harness.worker.clear();
			}, wait(600)],
			report: ['stopped', true, 'lost_by_worker'],
			starts: 1,
		},
		{
			name: 'worker that forgot a running task',
			steps: ['prepare', 'release', (harness: AgentHarness): void => {
				harness.worker.clear();
			}, wait(600)],
			report: ['stopped', true, 'lost_by_worker'],
			starts: 1,
		},
		{
			name: 'task that fails',
			steps: ['prepare', 'release', (harness: AgentHarness): void => {
				harness.setWorkerTask({state: 'failed', reason: 'exit_1'});
			}, wait(300)],
			report: ['failed', true, 'exit_1'],
			starts: 1,
		},
		{
			name: 'stop that fails is not reported',
			steps: ['prepare', 'release', set({stopError: {kind: 'unavailable', message: ''}}), 'stop', wait(2000)],
			report: ['running', true],
			starts: 1,
		},
		{
			name: 'stop that fails is repeated',
			steps: ['prepare', 'release', set({stopError: {kind: 'outcome_unknown', message: ''}}), 'stop', wait(50), set({stopError: undefined}), wait(600)],
			report: ['stopped', true, 'stop_requested'],
			starts: 1,
		},
		{
			name: 'task that finishes while it is being stopped',
			steps: ['prepare', 'release', (harness: AgentHarness): void => {
				harness.finish();
			}, 'stop', wait(50)],
			report: ['finished', true],
			starts: 1,
		},
	],
};

describe('AgentCore', () => {
	for (const [group, cases] of Object.entries(CASES)) {
		describe(group, () => {
			for (const {name, steps, report, starts} of cases) {
				it(name, () => {
					const harness = new AgentHarness().boot();
					play(harness, steps);
					const actual = harness.report();
					expect(actual && [actual.state, actual.everStarted, actual.reason]).to.deep.equal(report && [report[0], report[1], report[2]]);
					expect(harness.of('start')).to.have.length(starts);
				});
			}
		});
	}
});
