import {expect} from 'chai';
import {CoreWorld} from './core-world.js';
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
		it(`hands the row and its index over ${name}`, () => {
			const world = new CoreWorld();
			const owner = world.claim();
			world.submit('job');
			world.run(500);
			world.tables.fault = faults[0] ?? 'none';
			world.input(owner, {kind: 'move', jobIds: ['job'], failureDomain: 'palermo'});
			world.run(400);
			world.tables.fault = 'none';
			world.run(3000);
			expect(world.row('job')).to.include({state: 'waiting', failureDomain: 'palermo'});
			expect(world.openJobs()).to.deep.equal(['palermo/job']);
			expect(owner.core.rowOf('job')).to.equal(undefined);
		});
	}

	// Guards against taking a job away from the workers that run it.
	it('leaves a job that is placed', () => {
		const world = new CoreWorld();
		const owner = world.claim();
		world.agent('worker-1');
		world.run(2000);
		world.submit('job');
		world.runUntil(() => world.row('job').state === 'running', 1900);
		world.input(owner, {kind: 'move', jobIds: ['job'], failureDomain: 'palermo'});
		world.run(1000);
		expect(world.row('job')).to.include({state: 'running', failureDomain: 'catania'});
	});

	// Guards against a cancellation that an entry has left in the row while it could not reach the owner.
	it('takes over a cancellation that it finds in the row', () => {
		const world = new CoreWorld();
		world.claim();
		world.submit('job');
		world.run(500);
		const {value, version} = world.tables.row('jobs', 'job')!;
		world.tables.apply({
			writeId: 'entry',
			conditions: [{table: 'jobs', key: 'job', version}],
			writes: [{table: 'jobs', key: 'job', value: {...value, cancelRequested: true, writeId: 'entry'}}],
		});
		world.agent('worker-1');
		world.run(5000);
		expect(world.row('job')).to.include({state: 'cancelled', outcome: 'not_run'});
	});
});
