import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness} from './support/pool-harness.js';

function drain(worker: FakeWorker): void {
	worker.facts = {...worker.facts, state: 'draining', remainingMs: 20_000};
}

describe('a worker that begins to drain', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly act: (harness: PoolHarness, worker: FakeWorker) => void}> = [
		{
			title: 'while a placement is being stored',
			act(harness, worker) {
				harness.isStoreAvailable = false;
				harness.submit('j1', 'normal', [makeStep({estimatedMs: 500})]);
				harness.advance(300);
				drain(worker);
				harness.advance(3000);
				harness.isStoreAvailable = true;
			},
		},
		{
			title: 'while a start is not answered',
			act(harness, worker) {
				worker.areOrdersLost = true;
				harness.submit('j1', 'normal', [makeStep({estimatedMs: 500})]);
				harness.advance(300);
				drain(worker);
				harness.advance(300);
				worker.areOrdersLost = false;
			},
		},
		{
			title: 'before a new leader sends the stored start',
			act(harness, worker) {
				worker.areOrdersLost = true;
				harness.submit('j1', 'normal', [makeStep({estimatedMs: 500})]);
				harness.advance(300);
				drain(worker);
				worker.areOrdersLost = false;
				harness.replaceLeader();
				harness.advance(3000);
				harness.recoverLeader();
			},
		},
	];
	for (const {title, act} of cases) {
		it(`${title} gets no start; the task runs elsewhere`, () => {
			const worker = new FakeWorker('w1');
			const other = new FakeWorker('w2', {capacity: {cpuMillis: 0, memoryMb: 0, accelerators: 0}});
			const harness = new PoolHarness([worker, other]);
			harness.runCycle();
			act(harness, worker);
			other.facts = {...other.facts, capacity: worker.facts.capacity};
			harness.advance(2000);
			expect(worker.started).to.deep.equal([]);
			expect(other.started).to.deep.equal(['j1.0.0.0#2']);
		});
	}
});
