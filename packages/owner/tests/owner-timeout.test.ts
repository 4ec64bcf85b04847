import {FENCE_MARGIN_MS, TASK_LEASE_MS, type JobSpec} from '@amaranthsail/core';
import {expect} from 'chai';
import {CoreWorld} from './core-world.js';
import type {FakeAgent} from './fake-agent.js';

const MAX_RUN_MS = 20_000;

function startJob(spec: Partial<JobSpec>): {readonly world: CoreWorld; readonly agent: FakeAgent} {
	const world = new CoreWorld();
	world.claim();
	const agent = world.agent('worker-1');
	world.run(2000);
	world.submit('job', {maxRunMs: MAX_RUN_MS, ...spec});
	world.runUntil(() => world.row('job').state === 'running', 1900);
	return {world, agent};
}

describe('OwnerCore, longest run time', () => {
	for (const repeatable of [true, false]) {
		// Guards against a straggler that holds its accelerators for ever.
		it(`stops a ${repeatable ? 'repeatable' : 'non-repeatable'} job that runs too long and does not run it again`, () => {
			const {world, agent} = startJob({repeatable});
			world.run(MAX_RUN_MS - 2000);
			expect(world.row('job').state).to.equal('running');
			world.run(5000);
			expect(world.row('job')).to.deep.include({state: 'failed', outcome: 'failed', attempt: 1});
			expect(world.row('job').reason?.code).to.equal('run_time_exceeded');
			expect(agent.running).to.have.length(0);
			expect(agent.starts).to.have.length(1);
		});
	}

	// Guards against a run time that starts again with each new owner.
	it('counts from the start of the attempt after a change of owner', () => {
		const {world} = startJob({repeatable: true});
		world.run(MAX_RUN_MS - 5000);
		world.claim();
		world.run(9000);
		expect(world.row('job').reason?.code).to.equal('run_time_exceeded');
	});

	// Guards against a false report of the end of a non-repeatable job whose agent does not confirm the stop.
	it('ends a non-repeatable job as unknown when its agent does not confirm the stop', () => {
		const {world, agent} = startJob({repeatable: false});
		world.run(MAX_RUN_MS - 500);
		agent.isPaused = true;
		world.run(1000 + TASK_LEASE_MS + FENCE_MARGIN_MS);
		expect(world.row('job')).to.include({state: 'unknown', outcome: 'unknown'});
	});
});
