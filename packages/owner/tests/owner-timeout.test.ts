import {FENCE_MARGIN_MS, TASK_LEASE_MS, type JobSpec} from '@amaranthsail/core';
import {expect} from 'chai';
import {CoreSimulation} from './core-simulation.js';
import type {FakeAgent} from './fake-agent.js';

const MAX_RUN_MS = 20_000;

function startJob(spec: Partial<JobSpec>): {readonly simulation: CoreSimulation; readonly agent: FakeAgent} {
	const simulation = new CoreSimulation();
	simulation.claim();
	const agent = simulation.addAgent('worker-1');
	simulation.run(2000);
	simulation.submit('job', {maxRunMs: MAX_RUN_MS, ...spec});
	simulation.runUntil(() => simulation.row('job').state === 'running', 1900);
	return {simulation, agent};
}

describe('OwnerCore, run-time limit', () => {
	for (const repeatable of [true, false]) {
		// Guards against a straggler that occupies its accelerators for an unlimited time.
		it(`stops a ${repeatable ? 'repeatable' : 'non-repeatable'} job that runs too long and does not run it again`, () => {
			const {simulation, agent} = startJob({repeatable});
			simulation.run(MAX_RUN_MS - 2000);
			expect(simulation.row('job').state).to.equal('running');
			simulation.run(5000);
			expect(simulation.row('job')).to.deep.include({state: 'failed', outcome: 'failed', attempt: 1});
			expect(simulation.row('job').reason?.code).to.equal('run_time_exceeded');
			expect(agent.running).to.have.length(0);
			expect(agent.starts).to.have.length(1);
		});
	}

	// Guards against a run-time limit that starts anew with each new owner.
	it('counts from the start of the attempt after a change of owner', () => {
		const {simulation} = startJob({repeatable: true});
		simulation.run(MAX_RUN_MS - 5000);
		simulation.claim();
		simulation.run(9000);
		expect(simulation.row('job').reason?.code).to.equal('run_time_exceeded');
	});

	// Guards against reporting a non-repeatable job as ended although its agent has not confirmed the stop.
	it('ends a non-repeatable job as unknown when its agent does not confirm the stop', () => {
		const {simulation, agent} = startJob({repeatable: false});
		simulation.run(MAX_RUN_MS - 500);
		agent.isPaused = true;
		simulation.run(1000 + TASK_LEASE_MS + FENCE_MARGIN_MS);
		expect(simulation.row('job')).to.include({state: 'unknown', outcome: 'unknown'});
	});
});
