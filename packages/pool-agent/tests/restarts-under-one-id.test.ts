import {expect} from 'chai';
import {DEFAULT_LIMITS, type StepSpec, WORKER_STATES} from '@amaranthsail/pool';
import {makeStep} from '../../pool/tests/support/pool-harness.js';
import {AgentRig, type RigWorker} from './support/agent-rig.js';
import {type CallKind, CALLS} from './support/call-network.js';
import type {EmulatedVm} from './support/emulated-vm.js';
import {ACKNOWLEDGEMENTS, type WorkerOptions} from './support/worker-incarnation.js';

const WORK_MS = 500;

/** Time for which a worker is away when it starts again. */
const RESTART_MS = 200;

/** Time until a call without an answer is carried out. */
const LATE_MS = 4000;

/** Time after which an agent has newer lists. */
const LIST_AGE_MS = 1500;

/** Enough for all jobs of these tests, also for those that are started again. */
const SETTLE_MS = 15_000;

const SMALL_TASK = makeStep({shape: {cpuMillis: 100, memoryMb: 100, accelerators: 0}, estimatedMs: WORK_MS});
const GANG = makeStep({taskCount: 2, isGang: true, estimatedMs: WORK_MS});
const WARM_UP = {...SMALL_TASK, taskCount: 57};

/** Jobs of the tests by id, which tells their only step. */
const STEPS: Readonly<Record<string, StepSpec>> = {warm: WARM_UP, gang: GANG, single: {...SMALL_TASK, preferredRack: 'r1'}, long: {...SMALL_TASK, preferredRack: 'r1', estimatedMs: 30_000}};

function stepOf(task: string): StepSpec {
	return STEPS[task.split('.')[0]!]!;
}

function createRig(workers: readonly RigWorker[], limits = DEFAULT_LIMITS): AgentRig {
	return new AgentRig(workers, task => ({step: stepOf(task), workMs: stepOf(task).estimatedMs}), limits);
}

function submit(rig: AgentRig, id: string): void {
	rig.harness.submit(id, 'normal', [STEPS[id]!]);
}

/** Runs 57 tasks on the first worker, until it has got the acknowledgement of their ends. */
async function acknowledge57(rig: AgentRig): Promise<EmulatedVm> {
	const [vm] = rig.vms;
	await rig.advance(1000);
	submit(rig, 'warm');
	await rig.advanceUntil(() => vm!.worker!.highestAckSequence === WARM_UP.taskCount);
	return vm!;
}

/** Starts the worker again under its id, as a new incarnation. */
async function restart(rig: AgentRig, vm: EmulatedVm): Promise<void> {
	vm.crashWorker();
	await rig.advance(RESTART_MS);
	vm.startWorker(vm.facts.id);
}

/** Lets the next call of a kind be carried out without an answer after {@link LATE_MS}, and answers all others promptly. */
function delayNext(vm: EmulatedVm, kind: CallKind): {isSent: boolean} {
	const delayed = {isSent: false};
	vm.workerNetwork.chooseFate = other => {
		if (other !== kind || delayed.isSent) {
			return {requestMs: 1, answerMs: 1};
		}

		delayed.isSent = true;
		return {requestMs: LATE_MS};
	};

	return delayed;
}

/** Lets a job that prefers the second worker be placed on the first one, where its start has no answer. */
async function placeOnFirst(rig: AgentRig, jobId: string): Promise<EmulatedVm> {
	const [first, second] = rig.vms;
	await rig.advance(20_000);
	second!.facts = {...second!.facts, state: WORKER_STATES.draining, remainingMs: 60_000};
	await rig.advance(1000);
	delayNext(first!, CALLS.start);
	submit(rig, jobId);
	await rig.advance(100);
	second!.facts = {...second!.facts, state: WORKER_STATES.ready, remainingMs: undefined};
	await rig.advance(400);
	return first!;
}

/** @returns The first starts of what was done, if there are any. */
function startsAfterDone(rig: AgentRig): readonly string[] {
	return rig.record.listStartsAfterDone(task => stepOf(task).isGang).slice(0, 3);
}

/** Lets an acknowledgement be carried out late, when a later incarnation has ends that no leader has read. */
async function dropEndsLate(acknowledgements: WorkerOptions['acknowledgements']): Promise<void> {
	const rig = createRig([{options: {acknowledgements}}]);
	const vm = await acknowledge57(rig);
	await rig.advance(1000);
	const delayed = delayNext(vm, CALLS.renewal);
	await rig.advanceUntil(() => delayed.isSent);
	const lateAtMs = rig.time.nowMs + LATE_MS;
	// Neither the present agent nor the present leader knows the earlier acknowledgement.
	vm.restartAgent();
	await restart(rig, vm);
	await rig.advance(500);
	submit(rig, 'gang');
	await rig.advanceUntil(() => vm.worker!.runs.size === 2);
	rig.removeLeader();
	await rig.advance(lateAtMs - rig.time.nowMs + LIST_AGE_MS);
	rig.startLeader();
	await rig.advance(SETTLE_MS);
	expect(startsAfterDone(rig)).to.deep.equal([]);
	expect(rig.record.startsOf('gang')).to.have.members(['gang.0.0.0#1', 'gang.0.0.1#1']);
}

/** Runs a gang on a worker that has got acknowledgements, after something has happened to it. */
async function doGangOnce(act: (rig: AgentRig, vm: EmulatedVm) => Promise<void>, acknowledgements: WorkerOptions['acknowledgements'] = ACKNOWLEDGEMENTS.kept): Promise<void> {
	const rig = createRig([{options: {acknowledgements}}]);
	await act(rig, await acknowledge57(rig));
	await rig.advance(1000);
	submit(rig, 'gang');
	await rig.advance(SETTLE_MS);
	expect(startsAfterDone(rig)).to.deep.equal([]);
	expect(rig.record.startsOf('gang')).to.have.members(['gang.0.0.0#1', 'gang.0.0.1#1']);
	expect(rig.harness.core.jobView('gang')?.state).to.equal('completed');
}

describe('a worker that starts again under its id', () => {
	it('does not get the acknowledgement of its earlier ends, which would drop the end of a gang unread', async () => {
		const rig = createRig([{}]);
		const vm = await acknowledge57(rig);
		await restart(rig, vm);
		await rig.advance(1000);
		submit(rig, 'gang');
		await rig.advance(SETTLE_MS);
		expect(startsAfterDone(rig)).to.deep.equal([]);
		expect(rig.record.startsOf('gang')).to.have.members(['gang.0.0.0#1', 'gang.0.0.1#1']);
		expect(vm.worker!.renewals.filter(({ackSequence}) => ackSequence > 2)).to.deep.equal([]);
	});

	it('does not run a start that its earlier incarnation did not answer, once the task is done elsewhere', async () => {
		const rig = createRig([{facts: {labels: ['a', 'r2']}}, {}]);
		const vm = await placeOnFirst(rig, 'single');
		await restart(rig, vm);
		await rig.advance(SETTLE_MS);
		expect(startsAfterDone(rig)).to.deep.equal([]);
		expect(rig.record.startsOf('single')).to.have.length(1);
	});

	it('does not get the lease of its earlier incarnation, which would outlast the time after which its work starts elsewhere', async () => {
		const rig = createRig([{options: {maxLeaseMs: 20_000}}, {}]);
		const [vm] = rig.vms;
		await rig.advance(20_000);
		submit(rig, 'long');
		await rig.advance(1000);
		await restart(rig, vm!);
		await rig.advance(1000);
		expect(vm!.worker!.leaseUntilMs).to.be.at.most(vm!.worker!.clockMs + DEFAULT_LIMITS.leaseMs);
	});

	it('does not run on under the lease of its earlier incarnation while its work is started elsewhere', async () => {
		const rig = createRig([{options: {maxLeaseMs: 20_000}}, {facts: {labels: ['a', 'r2']}}]);
		const [vm] = rig.vms;
		await rig.advance(20_000);
		submit(rig, 'single');
		await rig.advance(1000);
		await restart(rig, vm!);
		await rig.advance(1000);
		submit(rig, 'long');
		await rig.advance(1000);
		expect([...vm!.worker!.runs.keys()]).to.deep.equal(['long.0.0.0']);
		vm!.leaderNetwork.chooseFate = () => ({});
		vm!.workerNetwork.chooseFate = () => ({});
		await rig.advanceUntil(() => rig.record.startsOf('long').length === 2, SETTLE_MS);
		expect(vm!.worker!.runs.size).to.equal(0);
	});

	it('does not drop ends for a late acknowledgement that was sent to its earlier incarnation, and that it keeps', async () => {
		await dropEndsLate(ACKNOWLEDGEMENTS.kept);
	});

	it('does not drop ends for a late acknowledgement that was sent to its earlier incarnation, and that it applies once', async () => {
		await dropEndsLate(ACKNOWLEDGEMENTS.once);
	});
});

describe('a worker that has got acknowledgements', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly act: (rig: AgentRig, vm: EmulatedVm) => Promise<void>; readonly acknowledgements?: WorkerOptions['acknowledgements']}> = [
		{title: 'does a gang once', act: async () => undefined},
		{
			title: 'does a gang once after it has started again under its id, as it applies acknowledgements once',
			acknowledgements: ACKNOWLEDGEMENTS.once,
			act: restart,
		},
		{
			title: 'does a gang once after its agent has started again',
			async act(_rig, vm) {
				vm.restartAgent();
			},
		},
	];
	for (const {title, act, acknowledgements} of cases) {
		it(title, async () => {
			await doGangOnce(act, acknowledgements);
		});
	}

	it('does a gang once after it has started again under another id, without the acknowledgement of its earlier ends', async () => {
		await doGangOnce(async (rig, vm) => {
			vm.crashWorker();
			await rig.advance(RESTART_MS);
			vm.startWorker('w0x1');
		});
	});
});
