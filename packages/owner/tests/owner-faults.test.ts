import {expect} from 'chai';
import {
	CHECKPOINT_GRACE_MS, FENCE_MARGIN_MS, LEASE_EXTENSION_LIMIT_MS, OWNERSHIP_VALIDITY_MS, TASK_LEASE_MS, TASK_STOP_MS, type JobSpec, type TaskReport,
} from '@amaranthsail/core';
import {CoreWorld, type TestOwner} from './core-world.js';
import type {FakeAgent} from './fake-agent.js';

const FENCE_MS = TASK_LEASE_MS + FENCE_MARGIN_MS;

type Setting = {readonly world: CoreWorld; readonly owner: TestOwner; readonly agents: readonly FakeAgent[]};

/** Starts an owner and agents and lets them get to know one another. */
function start(workerCount = 1): Setting {
	const world = new CoreWorld();
	const owner = world.claim();
	const agents = Array.from({length: workerCount}, (_, index) => world.agent(`worker-${index + 1}`));
	world.run(2000);
	return {world, owner, agents};
}

/** The same with a job that runs on the first workers. */
function startRunning(spec: Partial<JobSpec> = {}, workerCount = 2): Setting {
	const setting = start(workerCount);
	setting.world.submit('job', spec);
	setting.world.runUntil(() => setting.world.row('job').state === 'running', 1900);
	return setting;
}

describe('OwnerCore, lost agents', () => {
	// Guards against a second run while the first may still be going on.
	it('restarts a repeatable job only after the fence of a silent agent', () => {
		const {world, agents: [first, second]} = startRunning();
		world.run(1000 - (world.nowMs % 1000));
		first!.isPaused = true;
		const waitedMs = world.runUntil(() => second!.running.length === 1, FENCE_MS + 1000);
		expect(waitedMs).to.be.within(FENCE_MS, FENCE_MS + 500);
		expect(world.row('job')).to.include({state: 'decided', attempt: 2});
	});

	// Guards against an agent that wakes after its fence and revives a superseded attempt, and against its answer being taken.
	it('stops and forgets what a paused agent holds when it wakes', () => {
		const {world, agents: [first, second]} = startRunning();
		first!.finish('job');
		first!.isPaused = true;
		world.runUntil(() => second!.running.length === 1, FENCE_MS + 2000);
		first!.isPaused = false;
		world.run(2500);
		expect(first!.tasks.size).to.equal(0);
		expect(world.row('job')).to.include({state: 'running', attempt: 2});
		expect(world.row('job').answers).to.deep.equal([]);
	});

	// Guards against a second run of a job that must run at most once.
	it('ends a non-repeatable job as unknown when its agent is lost', () => {
		const {world, agents} = startRunning({repeatable: false});
		agents[0]!.isPaused = true;
		world.runUntil(() => world.row('job').state === 'unknown', FENCE_MS + 2000);
		expect(world.row('job')).to.include({outcome: 'unknown', startConsumed: true});
		expect(agents.flatMap(({starts}) => starts)).to.have.length(1);
		expect(world.openJobs()).to.deep.equal([]);
	});

	// Guards against giving a non-repeatable job up although it provably never started, and against running it twice.
	it('runs a non-repeatable job again when the same agent reports that it never started', () => {
		const {world, agents: [first, second]} = start(2);
		world.dropsToAgent = ({message}) => message.type === 'command' && message.kind === 'release';
		world.submit('job', {repeatable: false});
		world.runUntil(() => world.row('job').state === 'decided', 1000);
		expect(world.row('job').startConsumed).to.equal(true);
		for (const task of first!.tasks.values()) {
			task.report = {...task.report, state: 'stopped', reason: 'hold_lapsed'};
		}

		world.dropsToAgent = () => false;
		world.report(first!);
		world.runUntil(() => world.row('job').state === 'running', 2000);
		expect(world.row('job').attempt).to.equal(2);
		expect([...first!.starts, ...second!.starts]).to.have.length(1);
	});

	// Guards against taking the word of a restarted agent, which remembers nothing, for a proof that nothing started.
	it('does not run a non-repeatable job again after a restart of its agent', () => {
		const {world, agents} = startRunning({repeatable: false});
		agents[0]!.restart('worker-1-2');
		world.runUntil(() => world.row('job').state === 'unknown', 4000);
		expect(agents.flatMap(({starts}) => starts)).to.have.length(1);
	});

	// Guards against waiting for the fence when a restarted agent has proven that nothing is left, and against taking a delayed heartbeat for that proof.
	it('restarts a repeatable job once a newer incarnation is confirmed to hold nothing', () => {
		const {world, owner, agents: [first, second]} = startRunning();
		const delayed = {...first!.heartbeat(world.nowMs), incarnation: 'worker-1-0', epoch: 0, reports: []};
		world.input(owner, {kind: 'heartbeat', message: delayed, host: 'worker-1'});
		world.run(1100);
		expect(world.row('job').state).to.equal('running');
		expect(first!.acks.at(-1)).to.include({sequence: first!.sequence});
		first!.restart('worker-1-2');
		world.runUntil(() => world.row('job').attempt === 2, 4000);
		expect(first!.running.length + second!.running.length).to.be.at.most(1);
	});

	// Guards against new work on a worker that may be dead.
	it('gives a silent worker no new work', () => {
		const {world, agents: [first, second]} = start(2);
		first!.isPaused = true;
		world.run(4000);
		world.submit('job');
		world.run(100);
		expect(second!.running).to.have.length(1);
	});
});

describe('OwnerCore, proofs that nothing started', () => {
	const restarts: ReadonlyArray<{readonly name: string; readonly reports: readonly TaskReport[]}> = [
		{name: 'remembers nothing', reports: []},
		{
			name: 'reports the task as never started', reports: [{
				jobId: 'job', attempt: 1, taskIndex: 0, state: 'stopped', everStarted: false,
			}],
		},
	];
	for (const {name, reports} of restarts) {
		// Guards against a second run: the task was started, its reports were lost, and the restarted agent cannot know of it.
		it(`does not take the word of a restarted agent that ${name}`, () => {
			const {world, agents: [first, second]} = start(2);
			world.dropsToAgent = ({message}) => message.type === 'command' && message.kind === 'release';
			world.submit('job', {repeatable: false});
			world.runUntil(() => world.row('job').state === 'decided', 1000);
			first!.restart('worker-1-2');
			for (const report of reports) {
				first!.tasks.set('job/1/0', {report, leaseUntilMs: 0});
			}

			world.run(FENCE_MS + 1000);
			expect(world.row('job')).to.include({state: 'unknown', outcome: 'unknown'});
			expect(second!.starts).to.deep.equal([]);
		});
	}
});

describe('OwnerCore, gangs', () => {
	// Guards against a gang that runs partially after one member has ended.
	const endings: ReadonlyArray<{readonly name: string; readonly change: Parameters<FakeAgent['set']>[1]}> = [
		{name: 'fails', change: {state: 'failed', reason: 'broken'}},
		{name: 'gives up', change: {state: 'stopped', reason: 'lease_lapsed'}},
	];
	for (const {name, change} of endings) {
		it(`stops all members when one ${name}, and starts over only when all have stopped`, () => {
			const {world, agents} = startRunning({taskCount: 2}, 4);
			agents[0]!.set('job', change);
			world.dropsToAgent = ({message, host}) => message.type === 'command' && message.kind === 'stop' && host === 'worker-2';
			world.report(agents[0]!);
			world.run(1500);
			expect(world.row('job').attempt).to.equal(1);
			expect(agents[1]!.running).to.have.length(1);
			world.dropsToAgent = () => false;
			world.runUntil(() => world.row('job').attempt === 2, 1000);
			expect(agents[1]!.running.filter(key => key.startsWith('job/1/'))).to.deep.equal([]);
		});
	}

	// Guards against a partial result after the loss of a member: the others are stopped at the fence, not left running.
	it('stops the others when one member is lost', () => {
		const {world, agents} = startRunning({taskCount: 2, repeatable: false}, 2);
		agents[0]!.isPaused = true;
		agents[1]!.finish('job');
		world.runUntil(() => world.row('job').state === 'unknown', FENCE_MS + 2000);
		expect(world.row('job').answers).to.deep.equal([]);
	});

	// Guards against a gang that runs partially for ever because one of its workers starts nothing.
	const stuck: ReadonlyArray<{readonly repeatable: boolean; readonly attempt: number}> = [{repeatable: true, attempt: 2}, {repeatable: false, attempt: 1}];
	for (const {repeatable, attempt} of stuck) {
		it(`${repeatable ? 'stops' : 'keeps'} a ${repeatable ? '' : 'non-'}repeatable gang of which one member does not start`, () => {
			const {world} = start(2);
			world.dropsToAgent = ({message, host}) => message.type === 'command' && message.kind === 'release' && host === 'worker-2';
			world.submit('job', {taskCount: 2, repeatable});
			world.run(14_000);
			expect(world.row('job')).to.include({state: 'decided', attempt: 1});
			world.run(3000);
			expect(world.row('job')).to.include({state: 'decided', attempt});
		});
	}

	// Guards against a gang that holds resources although one member was refused.
	it('releases nobody when one member refuses', () => {
		const {world, agents} = start(2);
		agents[1]!.refusal = 'agent_leaving';
		world.submit('job', {taskCount: 2});
		world.run(200);
		expect(agents[0]!.starts).to.deep.equal([]);
		expect(world.row('job')).to.include({state: 'waiting', startConsumed: false});
		agents[1]!.refusal = undefined;
		world.runUntil(() => world.row('job').state === 'running', 5000);
		expect(agents.map(({running}) => running.length)).to.deep.equal([1, 1]);
	});
});

describe('OwnerCore, attempts', () => {
	// Guards against a job that can never run and is started for ever.
	it('ends a job after three failures on distinct workers', () => {
		const {world, agents} = start(4);
		for (const agent of agents) {
			agent.failsTasks = true;
		}

		world.submit('job');
		world.runUntil(() => world.row('job').state === 'failed', 5000);
		expect(world.row('job')).to.include({outcome: 'failed', failedAttempts: 3});
		expect(world.row('job').reason?.code).to.equal('never_runs');
		expect(agents.map(({starts}) => starts.length)).to.deep.equal([1, 1, 1, 0]);
	});

	// Guards against "failed" for a job that no worker has ever started.
	it('reports not_run when every worker refuses for good', () => {
		const {world, agents} = start(4);
		for (const agent of agents) {
			agent.refusal = 'wrong_service';
		}

		world.submit('job');
		world.runUntil(() => world.row('job').state === 'failed', 10_000);
		expect(world.row('job')).to.include({outcome: 'not_run'});
	});

	// Guards against a second run of a non-repeatable job whose task has reported a failure.
	it('does not repeat a failed non-repeatable job', () => {
		const {world, agents} = startRunning({repeatable: false});
		agents[0]!.set('job', {state: 'failed', reason: 'broken'});
		world.report(agents[0]!);
		world.run(100);
		expect(world.row('job')).to.include({state: 'failed', outcome: 'failed'});
	});

	// Guards against old reports that undo newer ones: a task that has finished must not count as running or be lost.
	it('ignores duplicated and reordered heartbeats', () => {
		const {world, owner, agents: [agent]} = startRunning();
		const old = agent!.heartbeat(world.nowMs);
		const oldEmpty = {...old, reports: []};
		const oldPrepared = {...old, reports: old.reports.map(report => ({...report, state: 'prepared' as const}))};
		agent!.sequence += 1;
		world.run(1500);
		const acknowledged = agent!.acks.length;
		for (const message of [old, oldEmpty, oldPrepared, old]) {
			world.input(owner, {kind: 'heartbeat', message, host: 'worker-1'});
		}

		// A late acknowledgement would move the fence, but not the lease.
		expect(agent!.acks).to.have.length(acknowledged);
		expect(agent!.commands.filter(({kind}) => kind === 'release')).to.have.length(1);
		world.run(100);
		expect(world.row('job')).to.include({state: 'running', attempt: 1});
		agent!.finish('job');
		world.report(agent!);
		world.input(owner, {kind: 'heartbeat', message: old, host: 'worker-1'});
		world.run(100);
		expect(world.row('job')).to.include({state: 'completed', attempt: 1});
	});
});

describe('OwnerCore, cancellation', () => {
	// Guards against a wave of cancellations that takes one transaction per job, and against transactions above the row limit.
	it('cancels waiting jobs in batches within the row limit', () => {
		const {world, owner} = start(0);
		const jobIds = Array.from({length: 120}, (_, index) => `job-${index}`);
		for (const jobId of jobIds) {
			world.submit(jobId);
		}

		const before = world.tables.transactions.length;
		world.input(owner, {kind: 'cancel', jobIds});
		world.run(100);
		expect(jobIds.map(jobId => world.row(jobId).state)).to.deep.equal(jobIds.map(() => 'cancelled'));
		expect(jobIds.every(jobId => world.row(jobId).outcome === 'not_run')).to.equal(true);
		const sizes = world.tables.transactions.slice(before).map(({writes, conditions}) => [writes.length, conditions.length]);
		expect(sizes).to.deep.equal([[100, 51], [100, 51], [40, 21]]);
	});

	// Guards against a lost result: the task may have finished before the stop arrives.
	const races: ReadonlyArray<{readonly name: string; readonly finishes: boolean; readonly state: string; readonly outcome: string}> = [
		{name: 'lets a completion win', finishes: true, state: 'completed', outcome: 'completed'},
		{name: 'ends a stopped job as cancelled', finishes: false, state: 'cancelled', outcome: 'failed'},
	];
	for (const {name, finishes, state, outcome} of races) {
		it(`${name} when a running job is cancelled`, () => {
			const {world, owner, agents: [agent]} = startRunning();
			if (finishes) {
				agent!.finish('job');
			}

			world.input(owner, {kind: 'cancel', jobIds: ['job']});
			world.input(owner, {
				kind: 'wait', waiterId: 'caller', jobId: 'job', untilMs: world.nowMs + 1000, forCancel: false,
			});
			world.run(500);
			expect(world.row('job')).to.include({state, outcome});
			expect(world.answers.get('caller')?.state).to.equal(state);
			expect(agent!.running).to.deep.equal([]);
		});
	}

	// Guards against resources that the scheduler grants for ever to a job that was cancelled while it went back to waiting.
	it('does not queue a job that is cancelled while its return to waiting is written', () => {
		const {world, owner, agents} = startRunning();
		agents[0]!.set('job', {state: 'failed', reason: 'broken'});
		world.tables.fault = 'loseAcknowledgement';
		world.report(agents[0]!);
		world.run(50);
		expect(world.row('job').state).to.equal('waiting');
		world.input(owner, {kind: 'cancel', jobIds: ['job']});
		world.tables.fault = 'none';
		world.run(1500);
		expect(world.row('job').state).to.equal('cancelled');
		expect(agents[1]!.commands).to.deep.equal([]);
	});

	// Guards against a final state that changes.
	it('leaves a final job as it is', () => {
		const {world, owner, agents: [agent]} = startRunning();
		agent!.finish('job');
		world.report(agent!);
		world.run(100);
		const row = world.row('job');
		world.input(owner, {kind: 'cancel', jobIds: ['job']});
		world.notify('job');
		world.run(1000);
		expect(world.row('job')).to.deep.equal(row);
	});
});

describe('OwnerCore, reclaim', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly spec: Partial<JobSpec>; readonly boundMs: number}> = [
		{name: 'stops a job without checkpoints at once', spec: {}, boundMs: TASK_STOP_MS},
		{name: 'stops a job that writes no checkpoint at the end of the grace', spec: {checkpointable: true}, boundMs: CHECKPOINT_GRACE_MS + TASK_STOP_MS},
	];
	for (const {name, spec, boundMs} of cases) {
		// Guards against a reclaim that takes longer than promised.
		it(name, () => {
			const {world, owner, agents} = startRunning(spec, 1);
			owner.scheduler.injected.push({
				kind: 'preempt', jobId: 'job', forJobId: 'other', graceMs: CHECKPOINT_GRACE_MS, reclaim: true,
			});
			world.runUntil(() => agents[0]!.running.length === 0, boundMs);
			expect(agents[0]!.commands.some(({kind}) => kind === 'checkpoint')).to.equal(Boolean(spec.checkpointable));
			world.run(100);
			expect(world.row('job')).to.include({failedAttempts: 0});
		});
	}

	// Guards against lost progress: the next attempt has to continue from the checkpoint.
	it('continues from the checkpoint that a task wrote before it stopped', () => {
		const {world, owner, agents: [agent]} = startRunning({checkpointable: true}, 1);
		owner.scheduler.injected.push({
			kind: 'preempt', jobId: 'job', forJobId: 'other', graceMs: CHECKPOINT_GRACE_MS, reclaim: true,
		});
		world.runUntil(() => agent!.commands.some(({kind}) => kind === 'checkpoint'), 500);
		agent!.set('job', {state: 'stopped', reason: 'checkpoint_written', hasCheckpoint: true});
		world.report(agent!);
		world.runUntil(() => world.row('job').attempt === 2, 1000);
		expect(agent!.commands.findLast(({kind}) => kind === 'prepare')?.assignment?.checkpointKey).to.equal('checkpoints/job/1/0');
	});

	// Guards against a non-repeatable job that loses its only run to a reclaim.
	it('never takes a non-repeatable job off its worker', () => {
		const {world, owner, agents: [agent]} = startRunning({repeatable: false}, 1);
		owner.scheduler.injected.push({
			kind: 'preempt', jobId: 'job', forJobId: 'other', graceMs: 0, reclaim: true,
		});
		world.run(1000);
		expect(agent!.running).to.have.length(1);
	});
});

describe('OwnerCore, drain', () => {
	// Guards against work that an owner begins and cannot carry through before it gives the failure domain up.
	it('places nothing more and carries on what is decided', () => {
		const {world, owner, agents: [agent]} = startRunning({}, 1);
		world.input(owner, {kind: 'drain'});
		world.submit('other');
		world.run(1000);
		expect([...agent!.tasks.keys()]).to.deep.equal(['job/1/0']);
		agent!.finish('job');
		world.report(agent!);
		world.run(100);
		expect(world.row('job').state).to.equal('completed');
		expect(world.row('other').state).to.equal('waiting');
	});
});

describe('OwnerCore, durable writes', () => {
	// Guards against releasing on the strength of a write that may not have happened, and against a second decision when it has.
	const faults = [['loseAcknowledgement'], ['loseRequest'], ['down'], ['loseAcknowledgement', 'down']] as const;
	for (const sequence of faults) {
		it(`releases nothing while the result of the decision write is open (${sequence.join(', then ')})`, () => {
			const {world, agents: [agent]} = start();
			world.submit('job', {repeatable: false});
			for (const fault of sequence) {
				world.tables.fault = fault;
				// Shorter than the delay before the write is sent again, so that the next fault meets the repetition.
				world.run(sequence.length > 1 ? 200 : 500);
				expect(agent!.starts).to.deep.equal([]);
			}

			world.tables.fault = 'none';
			world.runUntil(() => agent!.running.length === 1, 1500);
			world.run(100);
			expect(world.row('job')).to.include({state: 'running', attempt: 1});
			const decisions = world.tables.transactions.filter(({writes}) => writes.some(({value}) => value?.state === 'decided'));
			expect(decisions).to.have.length(1);
			if (sequence[0] !== 'down') {
				// A decision that may have been written is never replaced by another one.
				expect(world.decisionIds.size).to.equal(1);
			}
		});
	}

	// Guards against taking an out-of-date read for the proof that a decision was not written.
	it('reads again when a row read back is older than the failed condition allows', () => {
		const {world, agents: [agent]} = start();
		world.submit('job', {repeatable: false});
		world.staleReads.set('job', world.tables.row('jobs', 'job')!);
		world.acceptsWrite = transaction => {
			world.tables.apply(transaction);
			return true;
		};

		world.runUntil(() => agent!.running.length === 1, 1900);
		expect(world.decisionIds.size).to.equal(1);
	});

	// Guards against a write that an old copy of the request overtakes.
	it('takes a row that carries the write id for committed', () => {
		const {world, agents: [agent]} = start();
		world.submit('job');
		world.acceptsWrite = transaction => {
			// The request takes effect, and the answer reports the failed conditions of a duplicate.
			world.tables.apply(transaction);
			return true;
		};

		world.run(500);
		expect(agent!.starts).to.deep.equal(['job/1/0']);
		expect(world.row('job')).to.include({state: 'running', attempt: 1});
	});
});

describe('OwnerCore, store outage', () => {
	// Guards against running tasks that die with the store, and against decisions that no store has seen.
	it('keeps running tasks alive and starts nothing while the store is down', () => {
		const {world, agents: [agent]} = startRunning({}, 1);
		world.tables.fault = 'down';
		world.run(3000);
		world.submit('other');
		world.run(60_000);
		expect(agent!.running).to.deep.equal(['job/1/0']);
		expect(agent!.acks.at(-1)).to.include({degraded: true});
		expect(agent!.commands.filter(({kind}) => kind === 'prepare')).to.have.length(1);
		agent!.finish('job');
		world.report(agent!);
		world.run(1000);
		// The agent alone holds the answer's length and digest until the completion is durable.
		expect(agent!.tasks.size).to.equal(1);
		world.tables.fault = 'none';
		world.runUntil(() => world.row('job').state === 'completed', 2000);
	});

	// Guards against a release, made durable before the outage, that another owner may have undone since.
	it('releases nothing while the ownership is not valid', () => {
		const {world, agents: [agent]} = start();
		world.dropsToAgent = ({message}) => message.type === 'command' && message.kind === 'release';
		world.submit('job');
		world.runUntil(() => world.row('job').state === 'decided', 1000);
		world.tables.fault = 'down';
		world.run(OWNERSHIP_VALIDITY_MS);
		world.dropsToAgent = () => false;
		world.run(3000);
		expect(agent!.starts).to.deep.equal([]);
		world.tables.fault = 'none';
		world.runUntil(() => agent!.running.length === 1, 1500);
	});

	// Guards against leases that are extended for ever by an owner that may have been replaced.
	it('stops extending leases after the limit', () => {
		const {world, agents: [agent]} = startRunning({}, 1);
		world.tables.fault = 'down';
		const renewedAtMs = world.nowMs;
		world.run(LEASE_EXTENSION_LIMIT_MS + TASK_LEASE_MS);
		expect(agent!.running).to.deep.equal([]);
		expect(agent!.acks.at(-1)!.sentAtMs).to.be.within(renewedAtMs + LEASE_EXTENSION_LIMIT_MS - 2500, renewedAtMs + LEASE_EXTENSION_LIMIT_MS);
	});
});
