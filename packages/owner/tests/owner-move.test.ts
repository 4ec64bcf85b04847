import {expect} from 'chai';
import {CoreSimulation} from './core-simulation.js';
import type {StoreFault} from './memory-tables.js';

describe('OwnerCore, moving waiting jobs', () => {
	const cases: ReadonlyArray<{readonly name: string; readonly faults: readonly StoreFault[]}> = [
		{name: 'at once', faults: []},
		{name: 'after a lost acknowledgement', faults: ['loseAcknowledgement']},
		{name: 'after a lost request', faults: ['loseRequest']},
		{name: 'after an outage', faults: ['down']},
	];
	for (const {name, faults} of cases) {
		// Guards against a job that is in no failure domain, or in two.
		it(`moves the row and its index row ${name}`, () => {
			const simulation = new CoreSimulation();
			const owner = simulation.claim();
			simulation.submit('job');
			simulation.run(500);
			simulation.tables.fault = faults[0] ?? 'none';
			simulation.handleEvent(owner, {kind: 'move', jobIds: ['job'], failureDomain: 'palermo'});
			simulation.run(400);
			simulation.tables.fault = 'none';
			simulation.run(3000);
			expect(simulation.row('job')).to.include({state: 'waiting', failureDomain: 'palermo'});
			expect(simulation.openJobs()).to.deep.equal(['palermo/job']);
			expect(owner.core.rowOf('job')).to.equal(undefined);
		});
	}

	// Guards against moving a job that workers are running.
	it('does not move a placed job', () => {
		const simulation = new CoreSimulation();
		const owner = simulation.claim();
		simulation.addAgent('worker-1');
		simulation.run(2000);
		simulation.submit('job');
		simulation.runUntil(() => simulation.row('job').state === 'running', 1900);
		simulation.handleEvent(owner, {kind: 'move', jobIds: ['job'], failureDomain: 'palermo'});
		simulation.run(1000);
		expect(simulation.row('job')).to.include({state: 'running', failureDomain: 'catania'});
	});

	// Guards against ignoring a cancellation that an entry recorded in the row because it could not reach the owner.
	it('applies a cancellation found in the row', () => {
		const simulation = new CoreSimulation();
		simulation.claim();
		simulation.submit('job');
		simulation.run(500);
		const {value, version} = simulation.tables.row('jobs', 'job')!;
		simulation.tables.apply({
			writeId: 'entry',
			conditions: [{table: 'jobs', key: 'job', version}],
			writes: [{table: 'jobs', key: 'job', value: {...value, cancelRequested: true, writeId: 'entry'}}],
		});
		simulation.addAgent('worker-1');
		simulation.run(5000);
		expect(simulation.row('job')).to.include({state: 'cancelled', outcome: 'not_run'});
	});
});
