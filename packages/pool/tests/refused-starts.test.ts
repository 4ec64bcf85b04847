import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness} from './support/pool-harness.js';
import {DEFAULT_LIMITS, type Refusal, REFUSALS} from '@amaranthsail/pool';

describe('a worker whose agent refuses every start', () => {
	const refusals: readonly Refusal[] = [REFUSALS.otherLife, REFUSALS.unhealthy];
	for (const refusal of refusals) {
		it(`is not tried again at once after ${refusal}, which would store placement after placement`, () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.advance(500);
			worker.startRefusal = refusal;
			harness.submit('job', 'normal', [makeStep()]);
			harness.advance(DEFAULT_LIMITS.startTimeoutMs);
			expect(harness.events('task placed')).to.have.length(1);
		});

		it(`gets the task after ${refusal} once it takes starts again`, () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.advance(500);
			worker.startRefusal = refusal;
			harness.submit('job', 'normal', [makeStep()]);
			harness.advance(300);
			worker.startRefusal = undefined;
			harness.advance(DEFAULT_LIMITS.startTimeoutMs + 200);
			expect([...worker.runs.keys()]).to.deep.equal(['job.0.0.0']);
		});
	}
});
