import {expect} from 'chai';
import {
	FENCE_MARGIN_MS, HEARTBEAT_INTERVAL_MS, LEASE_EXTENSION_LIMIT_MS, TASK_LEASE_MS, type JobSpec,
} from '@amaranthsail/core';
import {CoreWorld, type TestOwner} from './core-world.js';
import type {FakeAgent} from './fake-agent.js';

const FENCE_MS = TASK_LEASE_MS + FENCE_MARGIN_MS;

/** A world with an owner, two agents and a job that runs on the first of them. */
function startRunning(spec: Partial<JobSpec> = {}): {readonly world: CoreWorld; readonly owner: TestOwner; readonly agents: readonly [FakeAgent, FakeAgent]} {
	const world = new CoreWorld();
	const owner = world.claim();
	const agents = [world.agent('worker-1'), world.agent('worker-2')] as const;
	world.run(2000);
	world.submit('job', spec);
	world.runUntil(() => world.row('job').state === 'running', 1900);
	return {world, owner, agents};
}

function startsOf(agents: readonly FakeAgent[]): readonly string[] {
	return agents.flatMap(({starts}) => starts);
}

describe('OwnerCore, takeover', () => {
	// Guards against a takeover that stops running tasks or starts them a second time.
	it('takes running tasks over without a restart', () => {
		const {world, owner, agents} = startRunning({repeatable: false, taskCount: 2});
		owner.isPaused = true;
		world.run(4000);
		world.claim();
		world.run(15_000);
		expect(startsOf(agents)).to.have.length(2);
		expect(world.row('job')).to.include({state: 'running', attempt: 1});
		for (const agent of agents) {
			agent.finish('job');
			world.report(agent);
		}

		world.run(100);
		expect(world.row('job')).to.include({state: 'completed', attempt: 1});
	});

	// Guards against decisions while most workers have not reported to a new owner: a reclaim would stop running work although others are idle.
	it('decides only after the agents had one heartbeat interval to report', () => {
		const {world, owner} = startRunning();
		owner.isPaused = true;
		world.run(4000);
		const {core} = world.claim({isPreviousGone: true});
		world.submit('later');
		world.runUntil(() => core.status(world.nowMs).workers > 0, 3000);
		world.run(HEARTBEAT_INTERVAL_MS - 20);
		expect(world.row('later').state).to.equal('waiting');
		world.runUntil(() => world.row('later').state === 'running', 1000);
	});

	// Guards against a gang of which only some members run after a crash between decision and release.
	const crashes: ReadonlyArray<{readonly name: string; readonly isMemberLost: boolean; readonly running: readonly number[]}> = [
		{name: 'releases a decided gang whose members all report', isMemberLost: false, running: [1, 1]},
		{name: 'stops a decided gang of which one member is gone', isMemberLost: true, running: [0, 0]},
	];
	for (const {name, isMemberLost, running} of crashes) {
		it(name, () => {
			const world = new CoreWorld();
			const owner = world.claim();
			const agents = [world.agent('worker-1'), world.agent('worker-2')];
			world.run(2000);
			world.dropsToAgent = ({message, host}) => message.type === 'command' && message.kind === 'release' && host === 'worker-2';
			world.submit('job', {taskCount: 2, repeatable: false});
			world.runUntil(() => world.row('job').state === 'decided', 1000);
			owner.isPaused = true;
			world.run(3000);
			if (isMemberLost) {
				agents[1]!.isPaused = true;
			}

			world.claim({isPreviousGone: true});
			world.dropsToAgent = () => false;
			world.run(FENCE_MS + 1500);
			expect(agents.map(agent => agent.running.length)).to.deep.equal(running);
			expect(world.row('job').state).to.equal(isMemberLost ? 'unknown' : 'running');
		});
	}

	// Guards against starting some members of a gang before it is known that the others can follow.
	it('releases no member of a decided gang before all have reported', () => {
		const world = new CoreWorld();
		const owner = world.claim();
		const agents = [world.agent('worker-1'), world.agent('worker-2')];
		world.run(2000);
		world.dropsToAgent = ({message}) => message.type === 'command' && message.kind === 'release';
		world.submit('job', {taskCount: 2});
		world.runUntil(() => world.row('job').state === 'decided', 1000);
		owner.isPaused = true;
		agents[1]!.isPaused = true;
		world.dropsToAgent = () => false;
		world.claim();
		world.run(3000);
		expect(startsOf(agents)).to.deep.equal([]);
		agents[1]!.isPaused = false;
		world.runUntil(() => startsOf(agents).length === 2, 1500);
	});

	// Guards against tasks whose leases lapse because the open jobs take long to read.
	it('extends the leases of all reported tasks until recovery is complete', () => {
		const {world, owner, agents: [agent]} = startRunning({repeatable: false});
		owner.isPaused = true;
		world.run(3000);
		const next = world.claim({recovers: false});
		world.run(2 * TASK_LEASE_MS);
		expect(agent.running).to.deep.equal(['job/1/0']);
		world.notify('job');
		world.input(next, {kind: 'recoveryComplete'});
		world.run(2000);
		expect(world.row('job')).to.include({state: 'running', attempt: 1});
	});

	// Guards against stopping a task as superfluous because an out-of-date scan of the index has missed its job.
	it('reads the row of an unknown job before it stops its tasks', () => {
		const {world, owner, agents} = startRunning({repeatable: false});
		owner.isPaused = true;
		world.run(3000);
		world.claim({missesRows: true});
		world.run(2500);
		expect(agents[0].running).to.deep.equal(['job/1/0']);
		agents[0].finish('job');
		world.report(agents[0]);
		world.run(100);
		expect(world.row('job')).to.include({state: 'completed', attempt: 1});
	});

	// Guards against taking a heartbeat from before the takeover, of an agent that was replaced, for the state of the worker.
	it('ignores the absence of a task in a heartbeat from before its epoch', () => {
		const {world, owner, agents: [agent]} = startRunning({repeatable: false});
		owner.isPaused = true;
		world.run(3000);
		const delayed = [
			{...agent.heartbeat(world.nowMs), incarnation: 'worker-1-0', reports: []},
			{...agent.heartbeat(world.nowMs), reports: []},
		];
		for (const message of delayed) {
			const next = world.claim();
			world.input(next, {kind: 'heartbeat', message, host: 'worker-1'});
			world.run(2500);
			expect(world.row('job')).to.include({state: 'running', attempt: 1});
			expect(agent.running).to.deep.equal(['job/1/0']);
			next.isPaused = true;
		}
	});

	// Guards against a new attempt while an owner that nobody could reach still extends the leases of the old one.
	const fences: ReadonlyArray<{readonly name: string; readonly isPreviousGone: boolean; readonly fenceMs: number}> = [
		{name: 'one lease after the claim when the previous owner is gone', isPreviousGone: true, fenceMs: FENCE_MS},
		{name: 'after the extension limit when it may still acknowledge', isPreviousGone: false, fenceMs: LEASE_EXTENSION_LIMIT_MS + FENCE_MS},
	];
	for (const {name, isPreviousGone, fenceMs} of fences) {
		it(`fences an agent that was never heard ${name}`, () => {
			const {world, owner, agents: [first, second]} = startRunning();
			owner.isPaused = true;
			first.isPaused = true;
			world.run(4000);
			world.claim({isPreviousGone});
			const waitedMs = world.runUntil(() => second.running.length === 1, fenceMs + 1000);
			expect(waitedMs).to.be.within(fenceMs, fenceMs + 500);
		});
	}

	// Guards against a fence that counts from the claim although the previous owner acknowledged until it was found gone.
	it('counts the fence from the proof that the previous owner is gone', () => {
		const {world, owner, agents: [first, second]} = startRunning();
		owner.isPaused = true;
		first.isPaused = true;
		world.run(4000);
		const next = world.claim();
		world.run(8000);
		world.input(next, {kind: 'previousOwnerGone'});
		const waitedMs = world.runUntil(() => second.running.length === 1, FENCE_MS + 1000);
		expect(waitedMs).to.be.within(FENCE_MS, FENCE_MS + 500);
	});

	// Guards against a former owner that acts on what it knew before a pause.
	it('lets a paused owner that wakes neither write nor start anything', () => {
		const {world, owner, agents} = startRunning();
		owner.isPaused = true;
		world.submit('other', {repeatable: false});
		owner.backlog.push({kind: 'cancel', jobIds: ['job']});
		world.run(4000);
		world.claim();
		world.run(500);
		const sentBefore = world.sent.length;
		world.wake(owner);
		world.run(5000);
		const old = world.sent.slice(sentBefore).filter(({message}) => message.epoch === 1);
		expect(old.filter(({message}) => message.type === 'command' && message.kind !== 'stop')).to.deep.equal([]);
		expect(world.row('job')).to.include({state: 'running', attempt: 1, cancelRequested: false});
		expect(world.row('other').state).to.equal('running');
		expect(startsOf(agents)).to.have.length(2);
	});

	// Guards against a lost owner that still sends: the new owner counts on its silence.
	it('sends nothing after the ownership is lost', () => {
		const {world, owner, agents: [agent]} = startRunning();
		world.input(owner, {kind: 'ownership', validity: {kind: 'lost'}});
		const sentBefore = world.sent.length;
		agent.finish('job');
		world.run(5000);
		expect(world.sent).to.have.length(sentBefore);
		expect(world.row('job').state).to.equal('running');
	});

	// Guards against an epoch that was superseded while the store was down: the write must show the new owner.
	it('notices by a failed write that another process owns the failure domain', () => {
		const {world, owner, agents: [agent]} = startRunning();
		world.tables.apply({writeId: 'other', conditions: [], writes: [{table: 'ownership', key: 'catania', value: {epoch: 2}}]});
		agent.finish('job');
		world.report(agent);
		world.run(100);
		expect(owner.core.status(world.nowMs).lost).to.equal(true);
		expect(world.row('job').state).to.equal('running');
	});

	// Guards against an attempt that was prepared under the previous owner and meets a new one of the same number.
	it('stops what was prepared but not decided and uses a new attempt number', () => {
		const world = new CoreWorld();
		const owner = world.claim();
		const agent = world.agent('worker-1');
		world.run(2000);
		world.acceptsWrite = () => false;
		world.submit('job', {repeatable: false});
		world.run(200);
		expect([...agent.tasks.keys()]).to.deep.equal(['job/1/0']);
		owner.isPaused = true;
		world.acceptsWrite = () => true;
		world.run(3000);
		world.claim();
		world.runUntil(() => agent.running.length === 1, 5000);
		expect(agent.starts).to.deep.equal(['job/1001/0']);
		expect(agent.tasks.size).to.equal(1);
	});

	// Guards against a takeover from an out-of-date row, which hides a decided attempt: the job must not run twice.
	it('restores a decided attempt that an out-of-date row has hidden', () => {
		const world = new CoreWorld();
		const owner = world.claim();
		const agents = [world.agent('worker-1'), world.agent('worker-2')] as const;
		world.run(2000);
		world.submit('job', {repeatable: false});
		const stale = world.tables.row('jobs', 'job')!;
		world.runUntil(() => world.row('job').state === 'running', 1900);
		owner.isPaused = true;
		agents[0].isPaused = true;
		world.run(3500);
		const fresh = world.tables.row.bind(world.tables);
		world.tables.row = (table, key) => table === 'jobs' ? stale : fresh(table, key);
		world.claim({isPreviousGone: true});
		world.tables.row = fresh;
		world.run(1500);
		agents[0].isPaused = false;
		world.run(4000);
		expect(startsOf(agents)).to.have.length(1);
		expect(world.row('job')).to.include({state: 'running', attempt: 1});
	});

	// Guards against refusing accepted jobs for good because few agents have reported after a takeover.
	it('keeps waiting jobs that do not fit until the agents have reported', () => {
		const world = new CoreWorld();
		const owner = world.claim();
		owner.scheduler.refusal = {code: 'never_fits', message: 'no workers', retryable: false};
		world.agent('worker-1');
		world.submit('job');
		world.run(3000);
		expect(world.row('job').state).to.equal('waiting');
		owner.scheduler.refusal = undefined;
		world.runUntil(() => world.row('job').state === 'running', 2000);
		owner.scheduler.refusal = {code: 'never_fits', message: 'too large', retryable: false};
		world.run(15_000);
		world.submit('large');
		world.run(100);
		expect(world.row('large')).to.include({state: 'failed', outcome: 'not_run'});
	});
});
