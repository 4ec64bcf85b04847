import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness} from './support/pool-harness.js';

/** Has a worker forget the ends of its runs before they are listed, as one does that got a foreign acknowledgement. */
function forgetRuns(worker: FakeWorker): number {
	const count = worker.runs.size;
	worker.runs.clear();
	return count;
}

describe('a worker that forgets ends before they are read', () => {
	it('gets no further runs while another worker can take them, as each would be started again after it was done', () => {
		const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
		const harness = new PoolHarness(workers);
		harness.submit('job', 'normal', [makeStep()]);
		harness.advance(500);
		const first = workers.find(worker => worker.runs.size === 1)!;
		forgetRuns(first);
		for (let number = 0; number < 6; number++) {
			harness.submit(`later${number}`, 'normal', [makeStep()]);
			harness.advance(3000);
		}

		expect(first.started).to.deep.equal(['job.0.0.0#1']);
	});

	it('gets runs again after a while, so that its tasks do not wait for ever', () => {
		const worker = new FakeWorker('w1');
		const harness = new PoolHarness([worker]);
		harness.submit('job', 'normal', [makeStep()]);
		harness.advance(500);
		forgetRuns(worker);
		harness.advance(31_000);
		expect([...worker.runs.keys()]).to.deep.equal(['job.0.0.0']);
	});

	it('leaves its tasks to the other workers', () => {
		const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
		const harness = new PoolHarness(workers);
		harness.submit('job', 'normal', [makeStep()]);
		harness.advance(500);
		const [first, other] = workers[0]!.runs.size === 1 ? workers : workers.toReversed();
		forgetRuns(first!);
		harness.advance(500);
		expect([...other!.runs.keys()]).to.deep.equal(['job.0.0.0']);
	});
});
