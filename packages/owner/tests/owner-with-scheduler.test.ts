import {expect} from 'chai';
import {CHECKPOINT_GRACE_MS, TASK_STOP_MS} from '@amaranthsail/core';
import {createScheduler, type SchedulerConfig} from '@amaranthsail/scheduler';
import {CoreWorld, SPEC} from './core-world.js';

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

/** All accelerators of a worker. */
const WHOLE = {shape: {...SPEC.shape, accelerators: 8}, workClass: 'long' as const};

function start(workerCount: number): CoreWorld {
	const world = new CoreWorld();
	world.createScheduler = () => createScheduler(CONFIG, world.nowMs);
	world.claim();
	for (let index = 1; index <= workerCount; index += 1) {
		world.agent(`worker-${index}`);
	}

	world.run(2000);
	return world;
}

describe('OwnerCore with the scheduler', () => {
	// Guards against a guarantee that is promised and not given back in time.
	it('reclaims a guaranteed shape within the bound', () => {
		const world = start(1);
		world.submit('guest', {...WHOLE, account: 'archive', checkpointable: true});
		world.runUntil(() => world.row('guest').state === 'running', 1900);
		world.submit('host', {...WHOLE, account: 'ledger'});
		world.runUntil(() => world.row('host').state === 'running', CHECKPOINT_GRACE_MS + TASK_STOP_MS);
		expect(world.row('guest')).to.include({state: 'waiting', failedAttempts: 0});
		world.agents[0]!.finish('host');
		world.report(world.agents[0]!);
		world.runUntil(() => world.row('guest').state === 'running', 1900);
	});

	// Guards against a disagreement about who holds a place: the scheduler refuses calls for jobs in another phase.
	it('runs gangs through failures, cancellations and a takeover', () => {
		const world = start(4);
		const [first] = world.agents;
		first!.failsTasks = true;
		world.submit('gang', {...WHOLE, taskCount: 3});
		world.submit('late', {...WHOLE, taskCount: 4});
		world.runUntil(() => world.row('gang').state === 'running', 5000);
		expect(world.row('gang').members.map(({workerId}) => workerId)).to.not.include('worker-1');
		world.owners[0]!.isPaused = true;
		world.run(4000);
		const next = world.claim({isPreviousGone: true});
		world.run(2500);
		expect(world.row('gang')).to.include({state: 'running', failedAttempts: 1});
		world.input(next, {kind: 'cancel', jobIds: ['gang', 'late']});
		world.run(1500);
		expect(['gang', 'late'].map(jobId => world.row(jobId).state)).to.deep.equal(['cancelled', 'cancelled']);
		expect(world.agents.flatMap(({running}) => running)).to.deep.equal([]);
	});

	// Guards against refusing for load what was accepted durably.
	it('keeps more accepted jobs than admission would take', () => {
		const world = start(0);
		const jobIds = Array.from({length: CONFIG.policy.maxWaitingPerAccount + 1}, (_, index) => `job-${index}`);
		for (const jobId of jobIds) {
			world.submit(jobId);
		}

		world.run(1000);
		expect(jobIds.every(jobId => world.row(jobId).state === 'waiting')).to.equal(true);
	});

	// Guards against a job that can never run and holds its place in the queue for ever.
	it('ends a job that fails on every worker', () => {
		const world = start(4);
		for (const agent of world.agents) {
			agent.failsTasks = true;
		}

		world.submit('job');
		world.runUntil(() => world.row('job').state === 'failed', 5000);
		expect(world.row('job').reason?.code).to.equal('never_runs');
	});
});
