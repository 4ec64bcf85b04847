import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness} from './support/pool-harness.js';

/** A worker with three runs, the first of which has ended and been acknowledged. */
function createHarness(): {readonly harness: PoolHarness; readonly worker: FakeWorker} {
	const worker = new FakeWorker('w1');
	const harness = new PoolHarness([worker]);
	for (const id of ['j1', 'j2', 'j3']) {
		harness.submit(id, 'normal', [makeStep({isLasting: true})]);
	}

	harness.advance(500);
	worker.end('j1.0.0.0', 'failed');
	harness.advance(500);
	expect(worker.ackSequence).to.equal(1);
	return {harness, worker};
}

describe('ends that a worker has forgotten before they were read', () => {
	it('are named in the log once a later end shows that their numbers are missing', () => {
		const {harness, worker} = createHarness();
		worker.end('j2.0.0.0', 'done');
		worker.ended = [];
		harness.advance(200);
		expect(harness.events('run vanished').map(({task, highestEnd}) => ({task, highestEnd}))).to.deep.equal([{task: 'j2.0.0.0', highestEnd: 1}]);
		expect(harness.events('ends missing')).to.deep.equal([]);
		worker.end('j3.0.0.0', 'done');
		harness.advance(500);
		expect(harness.events('ends missing')).to.deep.equal([{worker: 'w1@1000', firstListedEnd: 3, highestEnd: 1}]);
	});

	it('are named in the log when ends that this leader has not acknowledged are gone', () => {
		const {harness, worker} = createHarness();
		worker.end('j2.0.0.0', 'done');
		harness.core.onReport('w1', worker.report(harness.clock.monotonicMs() + 1));
		worker.ended = [];
		harness.core.onReport('w1', worker.report(harness.clock.monotonicMs() + 2));
		expect(harness.events('ends missing')).to.deep.equal([{worker: 'w1@1000', firstListedEnd: 'none', highestEnd: 2}]);
	});

	it('are not assumed when an earlier leader has acknowledged them, or when all are listed', () => {
		const {harness, worker} = createHarness();
		harness.replaceLeader();
		harness.recoverLeader();
		worker.end('j2.0.0.0', 'done');
		worker.end('j3.0.0.0', 'done');
		harness.advance(1000);
		expect(worker.ackSequence).to.equal(3);
		expect(harness.events('ends missing')).to.deep.equal([]);
	});
});
