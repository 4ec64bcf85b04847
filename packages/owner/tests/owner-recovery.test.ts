import {expect} from 'chai';
import {
	FENCE_MARGIN_MS, HEARTBEAT_INTERVAL_MS, MAX_DEGRADED_LEASE_RENEWAL_MS, TASK_LEASE_MS, type JobSpec,
} from '@amaranthsail/core';
import {CoreSimulation, type TestOwner} from './core-simulation.js';
import type {FakeAgent} from './fake-agent.js';

const FENCE_MS = TASK_LEASE_MS + FENCE_MARGIN_MS;

/** Creates a simulation with an owner, two agents and a job that runs on the first of them. */
function startRunning(spec: Partial<JobSpec> = {}): {readonly simulation: CoreSimulation; readonly owner: TestOwner; readonly agents: readonly [FakeAgent, FakeAgent]} {
	const simulation = new CoreSimulation();
	const owner = simulation.claim();
	const agents = [simulation.addAgent('worker-1'), simulation.addAgent('worker-2')] as const;
	simulation.run(2000);
	simulation.submit('job', spec);
	simulation.runUntil(() => simulation.row('job').state === 'running', 1900);
	return {simulation, owner, agents};
}

function startsOf(agents: readonly FakeAgent[]): readonly string[] {
	return agents.flatMap(({starts}) => starts);
}

describe('OwnerCore, takeover', () => {
	// Guards against a takeover that stops running tasks or starts them a second time.
	it('takes over running tasks without restarting them', () => {
		const {simulation, owner, agents} = startRunning({repeatable: false, taskCount: 2});
		owner.isPaused = true;
		simulation.run(4000);
		simulation.claim();
		simulation.run(15_000);
		expect(startsOf(agents)).to.have.length(2);
		expect(simulation.row('job')).to.include({state: 'running', attempt: 1});
		for (const agent of agents) {
			agent.finish('job');
			simulation.sendHeartbeat(agent);
		}

		simulation.run(100);
		expect(simulation.row('job')).to.include({state: 'completed', attempt: 1});
	});

	// Guards against decisions while most workers have not reported to a new owner: a reclaim would stop running work although others are idle.
	it('decides only after the agents had one heartbeat interval to report', () => {
		const {simulation, owner} = startRunning();
		owner.isPaused = true;
		simulation.run(4000);
		const {core} = simulation.claim({isPreviousOwnerGone: true});
		simulation.submit('later');
		simulation.runUntil(() => core.status(simulation.nowMs).workers > 0, 3000);
		simulation.run(HEARTBEAT_INTERVAL_MS - 20);
		expect(simulation.row('later').state).to.equal('waiting');
		simulation.runUntil(() => simulation.row('later').state === 'running', 1000);
	});

	// Guards against a gang of which only some members run after a crash between decision and release.
	const crashes: ReadonlyArray<{readonly name: string; readonly isMemberLost: boolean; readonly running: readonly number[]}> = [
		{name: 'releases a decided gang whose members all report', isMemberLost: false, running: [1, 1]},
		{name: 'stops a decided gang that has lost a member', isMemberLost: true, running: [0, 0]},
	];
	for (const {name, isMemberLost, running} of crashes) {
		it(name, () => {
			const simulation = new CoreSimulation();
			const owner = simulation.claim();
			const agents = [simulation.addAgent('worker-1'), simulation.addAgent('worker-2')];
			simulation.run(2000);
			simulation.shouldDropToAgent = ({message, host}) => message.type === 'command' && message.kind === 'release' && host === 'worker-2';
			simulation.submit('job', {taskCount: 2, repeatable: false});
			simulation.runUntil(() => simulation.row('job').state === 'decided', 1000);
			owner.isPaused = true;
			simulation.run(3000);
			if (isMemberLost) {
				agents[1]!.isPaused = true;
			}

			simulation.claim({isPreviousOwnerGone: true});
			simulation.shouldDropToAgent = () => false;
			simulation.run(FENCE_MS + 1500);
			expect(agents.map(agent => agent.running.length)).to.deep.equal(running);
			expect(simulation.row('job').state).to.equal(isMemberLost ? 'unknown' : 'running');
		});
	}

	// Guards against starting some members of a gang before it is certain that the others can start.
	it('releases no member of a decided gang before all have reported', () => {
		const simulation = new CoreSimulation();
		const owner = simulation.claim();
		const agents = [simulation.addAgent('worker-1'), simulation.addAgent('worker-2')];
		simulation.run(2000);
		simulation.shouldDropToAgent = ({message}) => message.type === 'command' && message.kind === 'release';
		simulation.submit('job', {taskCount: 2});
		simulation.runUntil(() => simulation.row('job').state === 'decided', 1000);
		owner.isPaused = true;
		agents[1]!.isPaused = true;
		simulation.shouldDropToAgent = () => false;
		simulation.claim();
		simulation.run(3000);
		expect(startsOf(agents)).to.deep.equal([]);
		agents[1]!.isPaused = false;
		simulation.runUntil(() => startsOf(agents).length === 2, 1500);
	});

	// Guards against task leases that expire because reading the open jobs takes long.
	it('renews the leases of all reported tasks until recovery is complete', () => {
		const {simulation, owner, agents: [agent]} = startRunning({repeatable: false});
		owner.isPaused = true;
		simulation.run(3000);
		const newOwner = simulation.claim({shouldRecover: false});
		simulation.run(2 * TASK_LEASE_MS);
		expect(agent.running).to.deep.equal(['job/1/0']);
		simulation.notify('job');
		simulation.handleEvent(newOwner, {kind: 'recoveryComplete'});
		simulation.run(2000);
		expect(simulation.row('job')).to.include({state: 'running', attempt: 1});
	});

	// Guards against stopping a task because an outdated scan of the index has missed its job.
	it('reads the row of an unknown job before it stops its tasks', () => {
		const {simulation, owner, agents} = startRunning({repeatable: false});
		owner.isPaused = true;
		simulation.run(3000);
		simulation.claim({isIndexOutdated: true});
		simulation.run(2500);
		expect(agents[0].running).to.deep.equal(['job/1/0']);
		agents[0].finish('job');
		simulation.sendHeartbeat(agents[0]);
		simulation.run(100);
		expect(simulation.row('job')).to.include({state: 'completed', attempt: 1});
	});

	// Guards against treating a delayed heartbeat from before the takeover, of an agent that was replaced, as the state of the worker.
	it('ignores the absence of a task in a heartbeat from before its epoch', () => {
		const {simulation, owner, agents: [agent]} = startRunning({repeatable: false});
		owner.isPaused = true;
		simulation.run(3000);
		const delayedHeartbeats = [
			{...agent.heartbeat(simulation.nowMs), incarnation: 'worker-1-0', reports: []},
			{...agent.heartbeat(simulation.nowMs), reports: []},
		];
		for (const message of delayedHeartbeats) {
			const newOwner = simulation.claim();
			simulation.handleEvent(newOwner, {kind: 'heartbeat', message, host: 'worker-1'});
			simulation.run(2500);
			expect(simulation.row('job')).to.include({state: 'running', attempt: 1});
			expect(agent.running).to.deep.equal(['job/1/0']);
			newOwner.isPaused = true;
		}
	});

	// Guards against a new attempt while an unreachable previous owner still renews the leases of the old one.
	const fences: ReadonlyArray<{readonly name: string; readonly isPreviousOwnerGone: boolean; readonly fenceMs: number}> = [
		{name: 'one lease after the claim when the previous owner is gone', isPreviousOwnerGone: true, fenceMs: FENCE_MS},
		{name: 'after the renewal limit when it may still acknowledge', isPreviousOwnerGone: false, fenceMs: MAX_DEGRADED_LEASE_RENEWAL_MS + FENCE_MS},
	];
	for (const {name, isPreviousOwnerGone, fenceMs} of fences) {
		it(`fences a silent agent ${name}`, () => {
			const {simulation, owner, agents: [first, second]} = startRunning();
			owner.isPaused = true;
			first.isPaused = true;
			simulation.run(4000);
			simulation.claim({isPreviousOwnerGone});
			const waitedMs = simulation.runUntil(() => second.running.length === 1, fenceMs + 1000);
			expect(waitedMs).to.be.within(fenceMs, fenceMs + 500);
		});
	}

	// Guards against a fence that counts from the claim although the previous owner acknowledged heartbeats until it was proven gone.
	it('counts the fence from the proof that the previous owner is gone', () => {
		const {simulation, owner, agents: [first, second]} = startRunning();
		owner.isPaused = true;
		first.isPaused = true;
		simulation.run(4000);
		const newOwner = simulation.claim();
		simulation.run(8000);
		simulation.handleEvent(newOwner, {kind: 'previousOwnerGone'});
		const waitedMs = simulation.runUntil(() => second.running.length === 1, FENCE_MS + 1000);
		expect(waitedMs).to.be.within(FENCE_MS, FENCE_MS + 500);
	});

	// Guards against a former owner that acts on its state from before a pause.
	it('lets a former owner neither write nor start anything when it resumes after a pause', () => {
		const {simulation, owner, agents} = startRunning();
		owner.isPaused = true;
		simulation.submit('other', {repeatable: false});
		owner.backlog.push({kind: 'cancel', jobIds: ['job']});
		simulation.run(4000);
		simulation.claim();
		simulation.run(500);
		const sentBefore = simulation.sentMessages.length;
		simulation.resume(owner);
		simulation.run(5000);
		const messagesOfOldEpoch = simulation.sentMessages.slice(sentBefore).filter(({message}) => message.epoch === 1);
		expect(messagesOfOldEpoch.filter(({message}) => message.type === 'command' && message.kind !== 'stop')).to.deep.equal([]);
		expect(simulation.row('job')).to.include({state: 'running', attempt: 1, cancelRequested: false});
		expect(simulation.row('other').state).to.equal('running');
		expect(startsOf(agents)).to.have.length(2);
	});

	// Guards against an owner that still sends after it has lost the ownership: the new owner relies on it not sending.
	it('sends nothing after the ownership is lost', () => {
		const {simulation, owner, agents: [agent]} = startRunning();
		simulation.handleEvent(owner, {kind: 'ownership', validity: {kind: 'lost'}});
		const sentBefore = simulation.sentMessages.length;
		agent.finish('job');
		simulation.run(5000);
		expect(simulation.sentMessages).to.have.length(sentBefore);
		expect(simulation.row('job').state).to.equal('running');
	});

	// Guards against an owner whose epoch was superseded while the store was down: a failed write must reveal the new owner.
	it('notices by a failed write that another process owns the failure domain', () => {
		const {simulation, owner, agents: [agent]} = startRunning();
		simulation.tables.apply({writeId: 'other', conditions: [], writes: [{table: 'ownership', key: 'catania', value: {epoch: 2}}]});
		agent.finish('job');
		simulation.sendHeartbeat(agent);
		simulation.run(100);
		expect(owner.core.status(simulation.nowMs).isLost).to.equal(true);
		expect(simulation.row('job').state).to.equal('running');
	});

	// Guards against a new attempt with the number of an attempt that was prepared under the previous owner.
	it('stops what was prepared but not decided and uses a new attempt number', () => {
		const simulation = new CoreSimulation();
		const owner = simulation.claim();
		const agent = simulation.addAgent('worker-1');
		simulation.run(2000);
		simulation.shouldApplyWrite = () => false;
		simulation.submit('job', {repeatable: false});
		simulation.run(200);
		expect([...agent.tasks.keys()]).to.deep.equal(['job/1/0']);
		owner.isPaused = true;
		simulation.shouldApplyWrite = () => true;
		simulation.run(3000);
		simulation.claim();
		simulation.runUntil(() => agent.running.length === 1, 5000);
		expect(agent.starts).to.deep.equal(['job/1001/0']);
		expect(agent.tasks.size).to.equal(1);
	});

	// Guards against a takeover from an outdated row, which hides a decided attempt: the job must not run twice.
	it('restores a decided attempt that an outdated row has hidden', () => {
		const simulation = new CoreSimulation();
		const owner = simulation.claim();
		const agents = [simulation.addAgent('worker-1'), simulation.addAgent('worker-2')] as const;
		simulation.run(2000);
		simulation.submit('job', {repeatable: false});
		const staleRow = simulation.tables.row('jobs', 'job')!;
		simulation.runUntil(() => simulation.row('job').state === 'running', 1900);
		owner.isPaused = true;
		agents[0].isPaused = true;
		simulation.run(3500);
		const readRow = simulation.tables.row.bind(simulation.tables);
		simulation.tables.row = (table, key) => table === 'jobs' ? staleRow : readRow(table, key);
		simulation.claim({isPreviousOwnerGone: true});
		simulation.tables.row = readRow;
		simulation.run(1500);
		agents[0].isPaused = false;
		simulation.run(4000);
		expect(startsOf(agents)).to.have.length(1);
		expect(simulation.row('job')).to.include({state: 'running', attempt: 1});
	});

	// Guards against permanently refusing accepted jobs because few agents have reported after a takeover.
	it('keeps waiting jobs that do not fit until the agents have reported', () => {
		const simulation = new CoreSimulation();
		const owner = simulation.claim();
		owner.scheduler.refusal = {code: 'never_fits', message: 'no workers', retryable: false};
		simulation.addAgent('worker-1');
		simulation.submit('job');
		simulation.run(3000);
		expect(simulation.row('job').state).to.equal('waiting');
		owner.scheduler.refusal = undefined;
		simulation.runUntil(() => simulation.row('job').state === 'running', 2000);
		owner.scheduler.refusal = {code: 'never_fits', message: 'too large', retryable: false};
		simulation.run(15_000);
		simulation.submit('large');
		simulation.run(100);
		expect(simulation.row('large')).to.include({state: 'failed', outcome: 'not_run'});
	});
});
