import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness} from './support/pool-harness.js';

describe('a worker that starts again after the time of day on its VM was set back', () => {
	for (const id of ['w1', 'w1b']) {
		it(`gets work ${id === 'w1' ? 'under its id' : 'under another id'}`, () => {
			const worker = new FakeWorker('w1', {life: 'w1@5000'});
			const harness = new PoolHarness([worker]);
			harness.submit('before', 'normal', [makeStep({isLasting: true})]);
			harness.advance(1000);
			expect(worker.started).to.deep.equal(['before.0.0.0#1']);
			worker.restart({...worker.facts, id, life: `${id}@4000`});
			harness.submit('after', 'normal', [makeStep({isLasting: true})]);
			harness.advance(1000);
			expect(worker.started).to.include.members(['before.0.0.0#2', 'after.0.0.0#1']);
		});
	}
});
