import {expect} from 'chai';
import {CHECKPOINT_GRACE_MS, MAX_TASK_STOP_MS} from '@amaranthsail/core';
import {createScheduler, type SchedulerConfig} from '@amaranthsail/scheduler';
import {CoreSimulation, SPEC} from './core-simulation.js';

const CONFIG: SchedulerConfig = {
	policy: {
		ordering: 'firstFit', weights: {completion: 1, fragmentation: 1, peak: 1, shortWork: 1}, shortLaneShare: 0, maxWaitingPerAccount: 100,
		checkpointGraceMs: CHECKPOINT_GRACE_MS, stragglerFactor: 0,
	},
	guarantees: [{
		name: 'ledger', account: 'ledger', failureDomain: 'catania', accelerators: 8, count: 1, adjacency: 'worker', survivesRackLoss: false,
	}],
	accounts: [{account: 'ledger', weight: 1}, {account: 'archive', weight: 1}],
};

/** Changes to a job specification that request all accelerators of a worker. */
const WHOLE_WORKER = {shape: {...SPEC.shape, accelerators: 8}, workClass: 'long' as const};

function start(workerCount: number): CoreSimulation {
	const simulation = new CoreSimulation();
	simulation.createScheduler = () => createScheduler(CONFIG);
	simulation.claim();
	for (let index = 1; index <= workerCount; index += 1) {
		simulation.addAgent(`worker-${index}`);
	}

	simulation.run(2000);
	return simulation;
}

describe('OwnerCore with the scheduler', () => {
	// Guards against a guaranteed shape that other jobs use and that is not reclaimed in time.
	it('reclaims a guaranteed shape within the bound', () => {
		const simulation = start(1);
		simulation.submit('guest', {...WHOLE_WORKER, account: 'archive', checkpointable: true});
		simulation.runUntil(() => simulation.row('guest').state === 'running', 1900);
		simulation.submit('host', {...WHOLE_WORKER, account: 'ledger'});
		simulation.runUntil(() => simulation.row('host').state === 'running', CHECKPOINT_GRACE_MS + MAX_TASK_STOP_MS);
		expect(simulation.row('guest')).to.include({state: 'waiting', failedAttempts: 0});
		simulation.agents[0]!.finish('host');
		simulation.sendHeartbeat(simulation.agents[0]!);
		simulation.runUntil(() => simulation.row('guest').state === 'running', 1900);
	});

	// Guards against an owner and a scheduler that disagree on which jobs are placed: the scheduler rejects calls for jobs in another phase.
	it('runs gangs through failures, cancellations and a takeover', () => {
		const simulation = start(4);
		const [first] = simulation.agents;
		first!.shouldFailTasks = true;
		simulation.submit('gang', {...WHOLE_WORKER, taskCount: 3});
		simulation.submit('late', {...WHOLE_WORKER, taskCount: 4});
		simulation.runUntil(() => simulation.row('gang').state === 'running', 5000);
		expect(simulation.row('gang').members.map(({workerId}) => workerId)).to.not.include('worker-1');
		simulation.owners[0]!.isPaused = true;
		simulation.run(4000);
		const newOwner = simulation.claim({isPreviousOwnerGone: true});
		simulation.run(2500);
		expect(simulation.row('gang')).to.include({state: 'running', failedAttempts: 1});
		simulation.handleEvent(newOwner, {kind: 'cancel', jobIds: ['gang', 'late']});
		simulation.run(1500);
		expect(['gang', 'late'].map(jobId => simulation.row(jobId).state)).to.deep.equal(['cancelled', 'cancelled']);
		expect(simulation.agents.flatMap(({running}) => running)).to.deep.equal([]);
	});

	// Guards against stopping running work after a takeover because idle workers have not reported to the new owner yet.
	// Beside load, agents found the new owner 1.6 s after the first one did.
	const reportCases = [
		{title: 'stops no running job while the other workers may only be slow to report', silentMs: 1600, isGuestStopped: false},
		{title: 'reclaims a guaranteed shape once the other workers would count as suspected', silentMs: 60_000, isGuestStopped: true},
	];
	for (const {title, silentMs, isGuestStopped} of reportCases) {
		it(`after a takeover ${title}`, () => {
			const simulation = start(2);
			const [, second] = simulation.agents;
			simulation.submit('guest', {...WHOLE_WORKER, account: 'archive'});
			simulation.runUntil(() => simulation.row('guest').state === 'running', 1900);
			const idle = simulation.agents.find(agent => agent.running.length === 0);
			expect(idle).to.equal(second);
			simulation.owners[0]!.isPaused = true;
			simulation.run(4000);
			idle!.isPaused = true;
			simulation.claim({isPreviousOwnerGone: true});
			simulation.submit('host', {...WHOLE_WORKER, account: 'ledger'});
			simulation.run(Math.min(silentMs, 5000));
			idle!.isPaused = silentMs > 5000;
			simulation.run(2000);
			expect(simulation.row('host').state).to.equal('running');
			expect(simulation.row('guest').state).to.equal(isGuestStopped ? 'waiting' : 'running');
			expect(simulation.row('guest').attempt).to.equal(1);
		});
	}

	// Guards against refusing durably accepted jobs because of load.
	it('keeps more accepted jobs than admission would allow', () => {
		const simulation = start(0);
		const jobIds = Array.from({length: CONFIG.policy.maxWaitingPerAccount + 1}, (_, index) => `job-${index}`);
		for (const jobId of jobIds) {
			simulation.submit(jobId);
		}

		simulation.run(1000);
		expect(jobIds.every(jobId => simulation.row(jobId).state === 'waiting')).to.equal(true);
	});

	// Guards against a job that can never run and stays in the queue for an unlimited time.
	it('ends a job that fails on every worker', () => {
		const simulation = start(4);
		for (const agent of simulation.agents) {
			agent.shouldFailTasks = true;
		}

		simulation.submit('job');
		simulation.runUntil(() => simulation.row('job').state === 'failed', 5000);
		expect(simulation.row('job').reason?.code).to.equal('never_runs');
	});
});
