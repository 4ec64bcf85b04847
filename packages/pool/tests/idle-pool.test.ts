import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness} from './support/pool-harness.js';

const WHOLE_WORKER = {cpuMillis: 1000, memoryMb: 1000, accelerators: 8};

/** Longest wait of a job without runs while there is room for it and less than half of the service is in use. */
const MAX_IDLE_WAIT_MS = 3000;

function createWorkers(count: number): readonly FakeWorker[] {
	return Array.from({length: count}, (_, index) => new FakeWorker(`w${index}`));
}

function runsOf(workers: readonly FakeWorker[]): readonly string[] {
	return workers.flatMap(worker => [...worker.runs.keys()]);
}

describe('a service that is less than half in use', () => {
	it('does not leave a job on its last attempt waiting while the reliable workers are busy', () => {
		const workers = createWorkers(6);
		const harness = new PoolHarness(workers);
		harness.runCycle();
		for (const id of ['long1', 'long2']) {
			harness.submit(id, 'normal', [makeStep({shape: WHOLE_WORKER, estimatedMs: 30_000})]);
		}

		harness.runCycle();
		const sick = workers.filter(worker => worker.runs.size === 0);
		const ids = ['j1', 'probe1', 'probe2', 'probe3'];
		for (const id of ids) {
			harness.submit(id, 'normal', [makeStep({shape: WHOLE_WORKER, estimatedMs: 3000})]);
		}

		harness.runCycle();
		for (const worker of sick) {
			for (const task of worker.runs.keys()) {
				worker.end(task, 'failed');
			}
		}

		for (const id of ids.slice(1)) {
			harness.cancel(id);
		}

		harness.runCycle();
		expect(runsOf(sick)).to.deep.equal([]);
		harness.advance(MAX_IDLE_WAIT_MS);
		expect(runsOf(workers)).to.include('j1.0.0.0');
	});

	it('does not leave a job waiting beside a gang that is too wide for the free workers', () => {
		const workers = createWorkers(10);
		const harness = new PoolHarness(workers);
		harness.runCycle();
		harness.submit('long', 'normal', [makeStep({shape: WHOLE_WORKER, taskCount: 4, estimatedMs: 30_000})]);
		harness.runCycle();
		harness.submit('wide', 'normal', [makeStep({shape: WHOLE_WORKER, taskCount: 7, estimatedMs: 10_000, isGang: true})]);
		harness.submit('j1', 'batch', [makeStep({shape: WHOLE_WORKER, estimatedMs: 60_000})]);
		harness.advance(MAX_IDLE_WAIT_MS);
		expect(runsOf(workers)).to.include('j1.0.0.0');
	});
});
