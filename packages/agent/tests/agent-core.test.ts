import {expect} from 'chai';
import {TASK_LEASE_MS, type Command, type CommandKind} from '@amaranthsail/core';
import {AgentHarness, ASSIGNMENT, TASK} from './agent-harness.js';

type Step = CommandKind | {readonly kind: CommandKind; readonly changes: Partial<Command>} | ((harness: AgentHarness) => void);

/** Name, steps, the final report (state, whether the task ever started, reason) and the number of start calls. */
type Case = readonly [name: string, steps: readonly Step[], report: readonly [string, boolean, string?] | undefined, starts: number];

function runSteps(harness: AgentHarness, steps: readonly Step[]): void {
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

const advance = (byMs: number) => (harness: AgentHarness): void => {
	harness.advance(byMs);
};

const setState = (changes: Partial<AgentHarness>) => (harness: AgentHarness): void => {
	Object.assign(harness, changes);
};

const shutDown = (harness: AgentHarness): void => {
	harness.dispatch({kind: 'shutdownRequested'});
};

const announceLeaving = (harness: AgentHarness): void => {
	harness.isLeaving = true;
	harness.announce();
};

const withAssignment = (changes: Partial<typeof ASSIGNMENT>): Step => ({kind: 'prepare', changes: {assignment: {...ASSIGNMENT, ...changes}}});
const withShape = (changes: Partial<typeof ASSIGNMENT.shape>): Step => withAssignment({shape: {...ASSIGNMENT.shape, ...changes}});

const CASES: Readonly<Record<string, readonly Case[]>> = {
	'order and repetition of commands': [
		['prepare', ['prepare'], ['prepared', false], 0],
		['release after prepare', ['prepare', 'release'], ['running', true], 1],
		['repeated commands', ['prepare', 'prepare', 'release', 'release', 'prepare'], ['running', true], 1],
		['release before prepare', ['release', 'prepare', 'release'], ['stopped', false, 'never_prepared'], 0],
		['stop before prepare', ['stop', 'prepare', 'release'], ['stopped', false, 'never_prepared'], 0],
		['checkpoint before prepare', ['checkpoint', 'prepare', 'release'], ['stopped', false, 'never_prepared'], 0],
		['stop of a prepared task', ['prepare', 'stop', 'release', 'prepare'], ['stopped', false, 'stop_requested'], 0],
		['stop of a running task', ['prepare', 'release', 'stop', 'stop', 'release'], ['stopped', true, 'stop_requested'], 1],
		['prepare and release after forget', ['prepare', 'stop', 'forget', 'prepare', 'release'], ['stopped', false, 'already_ended'], 0],
		['release after forget of a started task', ['prepare', 'release', 'stop', 'forget', 'release'], ['stopped', true, 'already_ended'], 1],
		['forget of a running task', ['prepare', 'release', 'forget'], ['running', true], 1],
		['forget twice', ['stop', 'forget', 'forget'], undefined, 0],
		['throttle of an unknown task', ['throttle'], undefined, 0],
	],
	fencing: [
		['command of a lower epoch', [{kind: 'prepare', changes: {epoch: 2}}], undefined, 0],
		['release of a lower epoch', ['prepare', {kind: 'release', changes: {epoch: 2}}], ['prepared', false], 0],
		['release of the old owner after a higher epoch', ['prepare', {kind: 'throttle', changes: {epoch: 4, ownerId: 'owner-4'}}, 'release'], ['prepared', false], 0],
		['command of another process under the same epoch', [{kind: 'prepare', changes: {ownerId: 'other'}}], undefined, 0],
		['command for another incarnation', [{kind: 'prepare', changes: {incarnation: 'incarnation-1'}}], undefined, 0],
		['command for another worker', [{kind: 'prepare', changes: {workerId: 'worker-b'}}], undefined, 0],
	],
	endpoints: [
		['prepare on a leaving endpoint', [announceLeaving, 'prepare'], ['refused', false, 'endpoint_leaving'], 0],
		['release on a leaving endpoint', ['prepare', announceLeaving, 'release'], ['stopped', false, 'endpoint_leaving'], 0],
		['reordered announcement without leaving after one with leaving', ['prepare', announceLeaving, advance(100), setState({isLeaving: false}), (harness: AgentHarness): void => {
			harness.announce();
		}, 'release'], ['stopped', false, 'endpoint_leaving'], 0],
		['prepare on an endpoint whose announcement timed out', [setState({isAnnouncing: false}), advance(3000), 'prepare'], ['refused', false, 'endpoint_leaving'], 0],
		['release on an endpoint whose announcement timed out', ['prepare', setState({isAnnouncing: false}), advance(3000), 'release'], ['stopped', false, 'endpoint_leaving'], 0],
		['running task on an endpoint whose announcement timed out', ['prepare', 'release', setState({isAnnouncing: false}), advance(20_000)], ['running', true], 1],
		['unknown endpoint', [withAssignment({endpointId: 'endpoint-b'})], ['refused', false, 'unknown_endpoint'], 0],
		['endpoint of another service', [withAssignment({service: 'repairs'})], ['refused', false, 'wrong_service'], 0],
		['release after a refused prepare', [announceLeaving, 'prepare', 'release'], ['stopped', false, 'endpoint_leaving'], 0],
	],
	resources: [
		...(['slots', 'connections', 'processors', 'memoryMb', 'accelerators'] as const)
			.map((name): Case => [`too many ${name}`, [withShape({[name]: 100_000})], ['refused', false, `no_${name}`], 0]),
		['accelerator allocated to another task', [{kind: 'prepare', changes: {task: {...TASK, jobId: 'job-b'}}}, 'prepare'], ['refused', false, 'accelerator_taken'], 0],
		['fewer accelerator numbers than the shape', [withAssignment({accelerators: [0]})], ['refused', false, 'wrong_accelerators'], 0],
		['accelerator number twice', [withAssignment({accelerators: [0, 0]})], ['refused', false, 'wrong_accelerators'], 0],
		['accelerator that the worker lacks', [withAssignment({accelerators: [7, 8]})], ['refused', false, 'accelerator_taken'], 0],
		[
			'resources freed by a stopped task',
			[{kind: 'prepare', changes: {task: {...TASK, jobId: 'job-b'}}}, {kind: 'stop', changes: {task: {...TASK, jobId: 'job-b'}}}, 'prepare'],
			['prepared', false],
			0,
		],
	],
	'holds and leases': [
		['hold that expires without a renewal', [setState({isRenewing: false}), 'prepare', advance(5000), 'release'], ['stopped', false, 'hold_lapsed'], 0],
		['prepared task kept by renewals', ['prepare', advance(30_000), 'release'], ['running', true], 1],
		['prepared task whose lease expires', ['prepare', advance(100), setState({isAcknowledging: false}), advance(TASK_LEASE_MS), 'release'], ['stopped', false, 'lease_lapsed'], 0],
		['running task whose lease expires', ['prepare', 'release', advance(100), setState({isAcknowledging: false}), advance(TASK_LEASE_MS)], ['stopped', true, 'lease_lapsed'], 1],
		['release that was queued while the agent was paused', ['prepare', advance(100), (harness: AgentHarness): void => {
			harness.pause(TASK_LEASE_MS);
			harness.announce();
		}, 'release'], ['stopped', false, 'lease_lapsed'], 0],
		['prepare and release that were queued while the agent was paused', [(harness: AgentHarness): void => {
			harness.isAcknowledging = false;
			harness.pause(TASK_LEASE_MS);
			harness.announce();
		}, 'prepare', 'release'], ['prepared', false], 0],
	],
	shutdown: [
		['prepare after the first signal', [(harness: AgentHarness): void => {
			harness.runTask({task: {...TASK, jobId: 'job-b'}});
		}, shutDown, 'prepare'], ['refused', false, 'agent_leaving'], 1],
		['prepared task at the first signal', ['prepare', shutDown, 'release'], ['stopped', false, 'agent_leaving'], 0],
		['running task at the first signal', ['prepare', 'release', advance(50), shutDown, advance(60_000)], ['running', true], 1],
	],
	'worker failures': [
		['start that was never sent', [setState({startError: {kind: 'unavailable', message: ''}}), 'prepare', 'release', 'release'], ['stopped', false, 'worker_unavailable'], 1],
		['start that the worker refuses', [setState({startError: {kind: 'refused', message: ''}}), 'prepare', 'release'], ['stopped', false, 'start_refused'], 1],
		['start whose response is lost', [setState({startError: {kind: 'outcome_unknown', message: ''}}), 'prepare', 'release', advance(300)], ['running', true], 1],
		['start with unknown outcome that did not reach the worker', [setState({startError: {kind: 'outcome_unknown', message: ''}}), 'prepare', 'release', (harness: AgentHarness): void => {
			harness.worker.clear();
		}, advance(600)], ['stopped', true, 'lost_by_worker'], 1],
		['running task that the worker no longer lists', ['prepare', 'release', (harness: AgentHarness): void => {
			harness.worker.clear();
		}, advance(600)], ['stopped', true, 'lost_by_worker'], 1],
		['task that fails', ['prepare', 'release', (harness: AgentHarness): void => {
			harness.setWorkerTask({state: 'failed', reason: 'exit_1'});
		}, advance(300)], ['failed', true, 'exit_1'], 1],
		['failed stop is not reported', ['prepare', 'release', setState({stopError: {kind: 'unavailable', message: ''}}), 'stop', advance(2000)], ['running', true], 1],
		[
			'failed stop is retried',
			['prepare', 'release', setState({stopError: {kind: 'outcome_unknown', message: ''}}), 'stop', advance(50), setState({stopError: undefined}), advance(600)],
			['stopped', true, 'stop_requested'],
			1,
		],
		['task that finishes while it is being stopped', ['prepare', 'release', (harness: AgentHarness): void => {
			harness.finishTask();
		}, 'stop', advance(50)], ['finished', true], 1],
	],
};

describe('AgentCore', () => {
	for (const [group, cases] of Object.entries(CASES)) {
		describe(group, () => {
			for (const [name, steps, report, starts] of cases) {
				it(name, () => {
					const harness = new AgentHarness().boot();
					runSteps(harness, steps);
					const actual = harness.report();
					expect(actual && [actual.state, actual.everStarted, actual.reason]).to.deep.equal(report && [report[0], report[1], report[2]]);
					expect(harness.effectsOf('start')).to.have.length(starts);
				});
			}
		});
	}
});
