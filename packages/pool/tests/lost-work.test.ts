import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness, TEST_CONFIG} from './support/pool-harness.js';

function startsOf(workers: readonly FakeWorker[], jobId: string): string[] {
	return workers.flatMap(worker => worker.started).filter(start => start.startsWith(jobId));
}

describe('accepted work', () => {
	it('of a queue that the configuration no longer contains runs after a takeover', () => {
		const worker = new FakeWorker('w1');
		const harness = new PoolHarness([worker]);
		harness.runCycle();
		harness.submit('j1', 'normal', [makeStep({taskCount: 9})]);
		harness.advance(300);
		harness.configure({...TEST_CONFIG, version: 2, queues: TEST_CONFIG.queues.filter(queue => queue.name !== 'normal')});
		harness.replaceLeader();
		harness.recoverLeader();
		harness.advance(300);
		for (const task of worker.runs.keys()) {
			worker.end(task, 'done');
		}

		harness.advance(300);
		expect(startsOf([worker], 'j1')).to.have.length(9);
	});
});
