import {expect} from 'chai';
import {
	CHECKPOINT_GRACE_MS, FENCE_MARGIN_MS, MAX_DEGRADED_LEASE_RENEWAL_MS, OWNERSHIP_VALIDITY_MS, TASK_LEASE_MS, MAX_TASK_STOP_MS, type JobSpec, type TaskReport,
} from '@amaranthsail/core';
import {CoreSimulation, type TestOwner} from './core-simulation.js';
import type {FakeAgent} from './fake-agent.js';

const FENCE_MS = TASK_LEASE_MS + FENCE_MARGIN_MS;

type Fixture = {readonly simulation: CoreSimulation; readonly owner: TestOwner; readonly agents: readonly FakeAgent[]};

/** Starts an owner and agents, and lets the agents report to it. */
function start(workerCount = 1): Fixture {
	const simulation = new CoreSimulation();
	const owner = simulation.claim();
	const agents = Array.from({length: workerCount}, (_, index) => simulation.addAgent(`worker-${index + 1}`));
	simulation.run(2000);
	return {simulation, owner, agents};
}

/** Starts an owner, agents and a job that runs on the first workers. */
function startRunning(spec: Partial<JobSpec> = {}, workerCount = 2): Fixture {
	const fixture = start(workerCount);
	fixture.simulation.submit('job', spec);
	fixture.simulation.runUntil(() => fixture.simulation.row('job').state === 'running', 1900);
	return fixture;
}

describe('OwnerCore, lost agents', () => {
	// Guards against a second run while the first may still be in progress.
	it('restarts a repeatable job only after the fence of a silent agent', () => {
		const {simulation, agents: [first, second]} = startRunning();
		simulation.run(1000 - (simulation.nowMs % 1000));
		first!.isPaused = true;
		const waitedMs = simulation.runUntil(() => second!.running.length === 1, FENCE_MS + 1000);
		expect(waitedMs).to.be.within(FENCE_MS, FENCE_MS + 500);
		expect(simulation.row('job')).to.include({state: 'decided', attempt: 2});
	});

	// Guards against an agent that resumes after its fence and continues a superseded attempt, and against accepting its answer.
	it('stops and forgets the tasks of a paused agent when it resumes', () => {
		const {simulation, agents: [first, second]} = startRunning();
		first!.finish('job');
		first!.isPaused = true;
		simulation.runUntil(() => second!.running.length === 1, FENCE_MS + 2000);
		first!.isPaused = false;
		simulation.run(2500);
		expect(first!.tasks.size).to.equal(0);
		expect(simulation.row('job')).to.include({state: 'running', attempt: 2});
		expect(simulation.row('job').answers).to.deep.equal([]);
	});

	// Guards against a second run of a job that must run at most once.
	it('ends a non-repeatable job as unknown when its agent is lost', () => {
		const {simulation, agents} = startRunning({repeatable: false});
		agents[0]!.isPaused = true;
		simulation.runUntil(() => simulation.row('job').state === 'unknown', FENCE_MS + 2000);
		expect(simulation.row('job')).to.include({outcome: 'unknown', startConsumed: true});
		expect(agents.flatMap(({starts}) => starts)).to.have.length(1);
		expect(simulation.openJobs()).to.deep.equal([]);
	});

	// Guards against ending a non-repeatable job as unknown although it provably never started, and against running it twice.
	it('runs a non-repeatable job again when the same agent reports that it never started', () => {
		const {simulation, agents: [first, second]} = start(2);
		simulation.shouldDropToAgent = ({message}) => message.type === 'command' && message.kind === 'release';
		simulation.submit('job', {repeatable: false});
		simulation.runUntil(() => simulation.row('job').state === 'decided', 1000);
		expect(simulation.row('job').startConsumed).to.equal(true);
		for (const task of first!.tasks.values()) {
			task.report = {...task.report, state: 'stopped', reason: 'hold_lapsed'};
		}

		simulation.shouldDropToAgent = () => false;
		simulation.sendHeartbeat(first!);
		simulation.runUntil(() => simulation.row('job').state === 'running', 2000);
		expect(simulation.row('job').attempt).to.equal(2);
		expect([...first!.starts, ...second!.starts]).to.have.length(1);
	});

	// Guards against accepting reports of a restarted agent, which has lost its state, as proof that nothing started.
	it('does not run a non-repeatable job again after a restart of its agent', () => {
		const {simulation, agents} = startRunning({repeatable: false});
		agents[0]!.restart('worker-1-2');
		simulation.runUntil(() => simulation.row('job').state === 'unknown', 4000);
		expect(agents.flatMap(({starts}) => starts)).to.have.length(1);
	});

	// Guards against waiting for the fence when a restarted agent has proven that no task is left, and against accepting a delayed heartbeat as that proof.
	it('restarts a repeatable job once a newer incarnation is confirmed to have no tasks', () => {
		const {simulation, owner, agents: [first, second]} = startRunning();
		const delayedHeartbeat = {...first!.heartbeat(simulation.nowMs), incarnation: 'worker-1-0', epoch: 0, reports: []};
		simulation.handleEvent(owner, {kind: 'heartbeat', message: delayedHeartbeat, host: 'worker-1'});
		simulation.run(1100);
		expect(simulation.row('job').state).to.equal('running');
		expect(first!.acks.at(-1)).to.include({sequence: first!.sequence});
		first!.restart('worker-1-2');
		simulation.runUntil(() => simulation.row('job').attempt === 2, 4000);
		expect(first!.running.length + second!.running.length).to.be.at.most(1);
	});

	// Guards against placing new work on a worker that may have failed.
	it('gives a silent worker no new work', () => {
		const {simulation, agents: [first, second]} = start(2);
		first!.isPaused = true;
		simulation.run(4000);
		simulation.submit('job');
		simulation.run(100);
		expect(second!.running).to.have.length(1);
	});
});

describe('OwnerCore, proof that no task started', () => {
	const restarts: ReadonlyArray<{readonly name: string; readonly reports: readonly TaskReport[]}> = [
		{name: 'reports no task', reports: []},
		{
			name: 'reports the task as never started', reports: [{
				jobId: 'job', attempt: 1, taskIndex: 0, state: 'stopped', everStarted: false,
			}],
		},
	];
	for (const {name, reports} of restarts) {
		// Guards against a second run: the task may have started, its reports may have been lost, and the restarted agent cannot know.
		it(`does not accept as proof that a restarted agent ${name}`, () => {
			const {simulation, agents: [first, second]} = start(2);
			simulation.shouldDropToAgent = ({message}) => message.type === 'command' && message.kind === 'release';
			simulation.submit('job', {repeatable: false});
			simulation.runUntil(() => simulation.row('job').state === 'decided', 1000);
			first!.restart('worker-1-2');
			for (const report of reports) {
				first!.tasks.set('job/1/0', {report, leaseUntilMs: 0});
			}

			simulation.run(FENCE_MS + 1000);
			expect(simulation.row('job')).to.include({state: 'unknown', outcome: 'unknown'});
			expect(second!.starts).to.deep.equal([]);
		});
	}
});

describe('OwnerCore, gangs', () => {
	// Guards against a gang that runs partially after one member has ended.
	const endings: ReadonlyArray<{readonly name: string; readonly change: Parameters<FakeAgent['updateRunningTasks']>[1]}> = [
		{name: 'fails', change: {state: 'failed', reason: 'broken'}},
		{name: 'stops by itself', change: {state: 'stopped', reason: 'lease_lapsed'}},
	];
	for (const {name, change} of endings) {
		it(`stops all members when one ${name}, and starts a new attempt only when all have stopped`, () => {
			const {simulation, agents} = startRunning({taskCount: 2}, 4);
			agents[0]!.updateRunningTasks('job', change);
			simulation.shouldDropToAgent = ({message, host}) => message.type === 'command' && message.kind === 'stop' && host === 'worker-2';
			simulation.sendHeartbeat(agents[0]!);
			simulation.run(1500);
			expect(simulation.row('job').attempt).to.equal(1);
			expect(agents[1]!.running).to.have.length(1);
			simulation.shouldDropToAgent = () => false;
			simulation.runUntil(() => simulation.row('job').attempt === 2, 1000);
			expect(agents[1]!.running.filter(key => key.startsWith('job/1/'))).to.deep.equal([]);
		});
	}

	// Guards against a partial result after the loss of a member: the others are stopped at the fence, not left running.
	it('stops the other members when one is lost', () => {
		const {simulation, agents} = startRunning({taskCount: 2, repeatable: false}, 2);
		agents[0]!.isPaused = true;
		agents[1]!.finish('job');
		simulation.runUntil(() => simulation.row('job').state === 'unknown', FENCE_MS + 2000);
		expect(simulation.row('job').answers).to.deep.equal([]);
	});

	// Guards against a gang that runs partially for an unlimited time because one of its workers does not start its task.
	const incompleteStarts: ReadonlyArray<{readonly repeatable: boolean; readonly attempt: number}> = [{repeatable: true, attempt: 2}, {repeatable: false, attempt: 1}];
	for (const {repeatable, attempt} of incompleteStarts) {
		it(`${repeatable ? 'stops' : 'keeps'} a ${repeatable ? '' : 'non-'}repeatable gang with a member that does not start`, () => {
			const {simulation} = start(2);
			simulation.shouldDropToAgent = ({message, host}) => message.type === 'command' && message.kind === 'release' && host === 'worker-2';
			simulation.submit('job', {taskCount: 2, repeatable});
			simulation.run(14_000);
			expect(simulation.row('job')).to.include({state: 'decided', attempt: 1});
			simulation.run(3000);
			expect(simulation.row('job')).to.include({state: 'decided', attempt});
		});
	}

	// Guards against a gang that keeps its resources although one member was refused.
	it('releases no member when one is refused', () => {
		const {simulation, agents} = start(2);
		agents[1]!.refusal = 'agent_leaving';
		simulation.submit('job', {taskCount: 2});
		simulation.run(200);
		expect(agents[0]!.starts).to.deep.equal([]);
		expect(simulation.row('job')).to.include({state: 'waiting', startConsumed: false});
		agents[1]!.refusal = undefined;
		simulation.runUntil(() => simulation.row('job').state === 'running', 5000);
		expect(agents.map(({running}) => running.length)).to.deep.equal([1, 1]);
	});
});

describe('OwnerCore, attempts', () => {
	// Guards against a job that can never run and is started again and again.
	it('ends a job after three failures on distinct workers', () => {
		const {simulation, agents} = start(4);
		for (const agent of agents) {
			agent.shouldFailTasks = true;
		}

		simulation.submit('job');
		simulation.runUntil(() => simulation.row('job').state === 'failed', 5000);
		expect(simulation.row('job')).to.include({outcome: 'failed', failedAttempts: 3});
		expect(simulation.row('job').reason?.code).to.equal('never_runs');
		expect(agents.map(({starts}) => starts.length)).to.deep.equal([1, 1, 1, 0]);
	});

	// Guards against "failed" for a job that no worker has ever started.
	it('reports not_run when every worker refuses permanently', () => {
		const {simulation, agents} = start(4);
		for (const agent of agents) {
			agent.refusal = 'wrong_service';
		}

		simulation.submit('job');
		simulation.runUntil(() => simulation.row('job').state === 'failed', 10_000);
		expect(simulation.row('job')).to.include({outcome: 'not_run'});
	});

	// Guards against a second run of a non-repeatable job whose task has reported a failure.
	it('does not repeat a failed non-repeatable job', () => {
		const {simulation, agents} = startRunning({repeatable: false});
		agents[0]!.updateRunningTasks('job', {state: 'failed', reason: 'broken'});
		simulation.sendHeartbeat(agents[0]!);
		simulation.run(100);
		expect(simulation.row('job')).to.include({state: 'failed', outcome: 'failed'});
	});

	// Guards against old reports that undo newer ones: a task that has finished must not count as running or be lost.
	it('ignores duplicated and reordered heartbeats', () => {
		const {simulation, owner, agents: [agent]} = startRunning();
		const oldHeartbeat = agent!.heartbeat(simulation.nowMs);
		const oldEmptyHeartbeat = {...oldHeartbeat, reports: []};
		const oldPreparedHeartbeat = {...oldHeartbeat, reports: oldHeartbeat.reports.map(report => ({...report, state: 'prepared' as const}))};
		agent!.sequence += 1;
		simulation.run(1500);
		const ackCount = agent!.acks.length;
		for (const message of [oldHeartbeat, oldEmptyHeartbeat, oldPreparedHeartbeat, oldHeartbeat]) {
			simulation.handleEvent(owner, {kind: 'heartbeat', message, host: 'worker-1'});
		}

		// Acknowledging an old heartbeat would postpone the fence without renewing the lease.
		expect(agent!.acks).to.have.length(ackCount);
		expect(agent!.commands.filter(({kind}) => kind === 'release')).to.have.length(1);
		simulation.run(100);
		expect(simulation.row('job')).to.include({state: 'running', attempt: 1});
		agent!.finish('job');
		simulation.sendHeartbeat(agent!);
		simulation.handleEvent(owner, {kind: 'heartbeat', message: oldHeartbeat, host: 'worker-1'});
		simulation.run(100);
		expect(simulation.row('job')).to.include({state: 'completed', attempt: 1});
	});
});

describe('OwnerCore, cancellation', () => {
	// Guards against bulk cancellations that take one transaction per job, and against transactions above the row limit.
	it('cancels waiting jobs in batches within the row limit', () => {
		const {simulation, owner} = start(0);
		const jobIds = Array.from({length: 120}, (_, index) => `job-${index}`);
		for (const jobId of jobIds) {
			simulation.submit(jobId);
		}

		const before = simulation.tables.transactions.length;
		simulation.handleEvent(owner, {kind: 'cancel', jobIds});
		simulation.run(100);
		expect(jobIds.map(jobId => simulation.row(jobId).state)).to.deep.equal(jobIds.map(() => 'cancelled'));
		expect(jobIds.every(jobId => simulation.row(jobId).outcome === 'not_run')).to.equal(true);
		const sizes = simulation.tables.transactions.slice(before).map(({writes, conditions}) => [writes.length, conditions.length]);
		expect(sizes).to.deep.equal([[100, 51], [100, 51], [40, 21]]);
	});

	// Guards against a lost result: the task may have finished before the stop arrives.
	const races: ReadonlyArray<{readonly name: string; readonly finishes: boolean; readonly state: string; readonly outcome: string}> = [
		{name: 'gives precedence to a completion', finishes: true, state: 'completed', outcome: 'completed'},
		{name: 'ends a stopped job as cancelled', finishes: false, state: 'cancelled', outcome: 'failed'},
	];
	for (const {name, finishes, state, outcome} of races) {
		it(`${name} when a running job is cancelled`, () => {
			const {simulation, owner, agents: [agent]} = startRunning();
			if (finishes) {
				agent!.finish('job');
			}

			simulation.handleEvent(owner, {kind: 'cancel', jobIds: ['job']});
			simulation.handleEvent(owner, {
				kind: 'wait', waiterId: 'caller', jobId: 'job', expiresAtMs: simulation.nowMs + 1000, isForCancellation: false,
			});
			simulation.run(500);
			expect(simulation.row('job')).to.include({state, outcome});
			expect(simulation.answers.get('caller')?.state).to.equal(state);
			expect(agent!.running).to.deep.equal([]);
		});
	}

	// Guards against resources that stay assigned to a job that was cancelled while its return to waiting was being written.
	it('does not queue a job that is cancelled while its return to waiting is written', () => {
		const {simulation, owner, agents} = startRunning();
		agents[0]!.updateRunningTasks('job', {state: 'failed', reason: 'broken'});
		simulation.tables.fault = 'loseAcknowledgement';
		simulation.sendHeartbeat(agents[0]!);
		simulation.run(50);
		expect(simulation.row('job').state).to.equal('waiting');
		simulation.handleEvent(owner, {kind: 'cancel', jobIds: ['job']});
		simulation.tables.fault = 'none';
		simulation.run(1500);
		expect(simulation.row('job').state).to.equal('cancelled');
		expect(agents[1]!.commands).to.deep.equal([]);
	});

	// Guards against a final state that changes.
	it('does not change a final job', () => {
		const {simulation, owner, agents: [agent]} = startRunning();
		agent!.finish('job');
		simulation.sendHeartbeat(agent!);
		simulation.run(100);
		const row = simulation.row('job');
		simulation.handleEvent(owner, {kind: 'cancel', jobIds: ['job']});
		simulation.notify('job');
		simulation.run(1000);
		expect(simulation.row('job')).to.deep.equal(row);
	});
});

describe('OwnerCore, reclaim', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly spec: Partial<JobSpec>; readonly boundMs: number}> = [
		{name: 'stops a job without checkpoints at once', spec: {}, boundMs: MAX_TASK_STOP_MS},
		{name: 'stops a job that writes no checkpoint at the end of the grace', spec: {checkpointable: true}, boundMs: CHECKPOINT_GRACE_MS + MAX_TASK_STOP_MS},
	];
	for (const {name, spec, boundMs} of cases) {
		// Guards against a reclaim that takes longer than its bound.
		it(name, () => {
			const {simulation, owner, agents} = startRunning(spec, 1);
			owner.scheduler.injectedDecisions.push({
				kind: 'preempt', jobId: 'job', forJobId: 'other', graceMs: CHECKPOINT_GRACE_MS, reclaim: true,
			});
			simulation.runUntil(() => agents[0]!.running.length === 0, boundMs);
			expect(agents[0]!.commands.some(({kind}) => kind === 'checkpoint')).to.equal(Boolean(spec.checkpointable));
			simulation.run(100);
			expect(simulation.row('job')).to.include({failedAttempts: 0});
		});
	}

	// Guards against lost progress: the next attempt has to continue from the checkpoint.
	it('continues from the checkpoint that a task wrote before it stopped', () => {
		const {simulation, owner, agents: [agent]} = startRunning({checkpointable: true}, 1);
		owner.scheduler.injectedDecisions.push({
			kind: 'preempt', jobId: 'job', forJobId: 'other', graceMs: CHECKPOINT_GRACE_MS, reclaim: true,
		});
		simulation.runUntil(() => agent!.commands.some(({kind}) => kind === 'checkpoint'), 500);
		agent!.updateRunningTasks('job', {state: 'stopped', reason: 'checkpoint_written', hasCheckpoint: true});
		simulation.sendHeartbeat(agent!);
		simulation.runUntil(() => simulation.row('job').attempt === 2, 1000);
		expect(agent!.commands.findLast(({kind}) => kind === 'prepare')?.assignment?.checkpointKey).to.equal('checkpoints/job/1/0');
	});

	// Guards against a reclaim that ends the only run of a non-repeatable job.
	it('never preempts a non-repeatable job', () => {
		const {simulation, owner, agents: [agent]} = startRunning({repeatable: false}, 1);
		owner.scheduler.injectedDecisions.push({
			kind: 'preempt', jobId: 'job', forJobId: 'other', graceMs: 0, reclaim: true,
		});
		simulation.run(1000);
		expect(agent!.running).to.have.length(1);
	});
});

describe('OwnerCore, drain', () => {
	// Guards against work that an owner starts but cannot complete before it releases the failure domain.
	it('places no further jobs and continues decided attempts', () => {
		const {simulation, owner, agents: [agent]} = startRunning({}, 1);
		simulation.handleEvent(owner, {kind: 'drain'});
		simulation.submit('other');
		simulation.run(1000);
		expect([...agent!.tasks.keys()]).to.deep.equal(['job/1/0']);
		agent!.finish('job');
		simulation.sendHeartbeat(agent!);
		simulation.run(100);
		expect(simulation.row('job').state).to.equal('completed');
		expect(simulation.row('other').state).to.equal('waiting');
	});
});

describe('OwnerCore, durable writes', () => {
	// Guards against releasing members on a decision write with an unknown outcome, and against a second decision when that write took effect.
	const faults = [['loseAcknowledgement'], ['loseRequest'], ['down'], ['loseAcknowledgement', 'down']] as const;
	for (const sequence of faults) {
		it(`releases nothing while the outcome of the decision write is unknown (${sequence.join(', then ')})`, () => {
			const {simulation, agents: [agent]} = start();
			simulation.submit('job', {repeatable: false});
			for (const fault of sequence) {
				simulation.tables.fault = fault;
				// Shorter than the delay before the write is sent again, so that the next fault affects the repeated write.
				simulation.run(sequence.length > 1 ? 200 : 500);
				expect(agent!.starts).to.deep.equal([]);
			}

			simulation.tables.fault = 'none';
			simulation.runUntil(() => agent!.running.length === 1, 1500);
			simulation.run(100);
			expect(simulation.row('job')).to.include({state: 'running', attempt: 1});
			const decisions = simulation.tables.transactions.filter(({writes}) => writes.some(({value}) => value?.state === 'decided'));
			expect(decisions).to.have.length(1);
			if (sequence[0] !== 'down') {
				// A decision write that may have taken effect is never replaced by another one.
				expect(simulation.decisionWriteIds.size).to.equal(1);
			}
		});
	}

	// Guards against accepting an outdated read as proof that a decision was not written.
	it('reads again when a row read back is older than the failed condition allows', () => {
		const {simulation, agents: [agent]} = start();
		simulation.submit('job', {repeatable: false});
		simulation.staleReads.set('job', simulation.tables.row('jobs', 'job')!);
		simulation.shouldApplyWrite = transaction => {
			simulation.tables.apply(transaction);
			return true;
		};

		simulation.runUntil(() => agent!.running.length === 1, 1900);
		expect(simulation.decisionWriteIds.size).to.equal(1);
	});

	// Guards against treating a write as failed when an earlier copy of its request took effect.
	it('treats a write as committed when the row contains its write id', () => {
		const {simulation, agents: [agent]} = start();
		simulation.submit('job');
		simulation.shouldApplyWrite = transaction => {
			// The request takes effect, and the answer reports the failed conditions of its repetition.
			simulation.tables.apply(transaction);
			return true;
		};

		simulation.run(500);
		expect(agent!.starts).to.deep.equal(['job/1/0']);
		expect(simulation.row('job')).to.include({state: 'running', attempt: 1});
	});
});

describe('OwnerCore, store outage', () => {
	// Guards against a store outage that ends running tasks, and against decisions that are not durable.
	it('keeps running tasks alive and starts nothing while the store is down', () => {
		const {simulation, agents: [agent]} = startRunning({}, 1);
		simulation.tables.fault = 'down';
		simulation.run(3000);
		simulation.submit('other');
		simulation.run(60_000);
		expect(agent!.running).to.deep.equal(['job/1/0']);
		expect(agent!.acks.at(-1)).to.include({degraded: true});
		expect(agent!.commands.filter(({kind}) => kind === 'prepare')).to.have.length(1);
		agent!.finish('job');
		simulation.sendHeartbeat(agent!);
		simulation.run(1000);
		// Only the agent has the answer's length and digest until the completion is durable.
		expect(agent!.tasks.size).to.equal(1);
		simulation.tables.fault = 'none';
		simulation.runUntil(() => simulation.row('job').state === 'completed', 2000);
	});

	// Guards against releasing members of an attempt that was decided before the outage: another owner may have ended it since.
	it('releases nothing while the ownership is not valid', () => {
		const {simulation, agents: [agent]} = start();
		simulation.shouldDropToAgent = ({message}) => message.type === 'command' && message.kind === 'release';
		simulation.submit('job');
		simulation.runUntil(() => simulation.row('job').state === 'decided', 1000);
		simulation.tables.fault = 'down';
		simulation.run(OWNERSHIP_VALIDITY_MS);
		simulation.shouldDropToAgent = () => false;
		simulation.run(3000);
		expect(agent!.starts).to.deep.equal([]);
		simulation.tables.fault = 'none';
		simulation.runUntil(() => agent!.running.length === 1, 1500);
	});

	// Guards against leases that an owner, which may have been replaced, renews without a limit.
	it('stops renewing leases after the limit', () => {
		const {simulation, agents: [agent]} = startRunning({}, 1);
		simulation.tables.fault = 'down';
		const renewedAtMs = simulation.nowMs;
		simulation.run(MAX_DEGRADED_LEASE_RENEWAL_MS + TASK_LEASE_MS);
		expect(agent!.running).to.deep.equal([]);
		expect(agent!.acks.at(-1)!.sentAtMs).to.be.within(renewedAtMs + MAX_DEGRADED_LEASE_RENEWAL_MS - 2500, renewedAtMs + MAX_DEGRADED_LEASE_RENEWAL_MS);
	});
});
