import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness} from './support/pool-harness.js';

const CAPACITY = {cpuMillis: 32_000, memoryMb: 65_536, accelerators: 8};

function resize(worker: FakeWorker, accelerators: number): void {
	worker.facts = {...worker.facts, capacity: {...CAPACITY, accelerators}};
}

describe('a worker whose capacity shrinks', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly act: (harness: PoolHarness, worker: FakeWorker) => void}> = [
		{
			title: 'while a placement is being stored',
			act(harness, worker) {
				harness.isStoreAvailable = false;
				harness.submit('j1', 'normal', [makeStep({taskCount: 4})]);
				harness.advance(300);
				resize(worker, 2);
				harness.advance(300);
				harness.isStoreAvailable = true;
			},
		},
		{
			title: 'while starts are not answered',
			act(harness, worker) {
				worker.areOrdersLost = true;
				harness.submit('j1', 'normal', [makeStep({taskCount: 4})]);
				harness.advance(300);
				resize(worker, 2);
				harness.advance(300);
				worker.areOrdersLost = false;
			},
		},
		{
			title: 'before a new leader sends the stored starts',
			act(harness, worker) {
				worker.areOrdersLost = true;
				harness.submit('j1', 'normal', [makeStep({taskCount: 4})]);
				harness.advance(300);
				resize(worker, 2);
				worker.areOrdersLost = false;
				harness.replaceLeader();
				harness.recoverLeader();
			},
		},
	];
	for (const {title, act} of cases) {
		it(`${title} gets no start beyond its capacity`, () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			act(harness, worker);
			harness.advance(2000);
			expect(worker.started).to.have.length(2);
			expect(worker.runs.size).to.equal(2);
		});
	}

	it('before a new leader sends the stored starts, beside runs of a cancelled job, gets none of them until those have ended', () => {
		const worker = new FakeWorker('w1');
		const harness = new PoolHarness([worker]);
		harness.runCycle();
		harness.submit('j1', 'normal', [makeStep({taskCount: 4, estimatedMs: 60_000})]);
		harness.advance(300);
		worker.shouldDelayStops = true;
		harness.cancel('j1');
		harness.advance(200);
		worker.areOrdersLost = true;
		harness.submit('j2', 'normal', [makeStep({taskCount: 2, estimatedMs: 60_000})]);
		harness.advance(200);
		resize(worker, 5);
		worker.areOrdersLost = false;
		harness.replaceLeader();
		harness.recoverLeader();
		harness.advance(1000);
		expect(worker.runs.size).to.equal(4);
		worker.shouldDelayStops = false;
		harness.advance(1000);
		expect([...worker.runs.keys()]).to.deep.equal(['j2.0.0.0', 'j2.0.0.1']);
	});

	it('keeps its runs, and gets new ones once it has grown again', () => {
		const worker = new FakeWorker('w1');
		const harness = new PoolHarness([worker]);
		harness.runCycle();
		harness.submit('j1', 'normal', [makeStep({taskCount: 4, estimatedMs: 60_000})]);
		harness.advance(300);
		resize(worker, 2);
		harness.submit('j2', 'normal', [makeStep({taskCount: 2})]);
		harness.advance(2000);
		expect(worker.runs.size).to.equal(4);
		expect(worker.started).to.have.length(4);
		resize(worker, 8);
		harness.runCycle();
		expect(worker.runs.size).to.equal(6);
		expect(harness.events('worker capacity changed')).to.have.length(2);
	});

	it('gets no member of a gang that no longer fits before all of its members are placed again', () => {
		const workers = [new FakeWorker('w1'), new FakeWorker('w2')];
		const harness = new PoolHarness(workers);
		harness.runCycle();
		harness.isStoreAvailable = false;
		harness.submit('j1', 'normal', [makeStep({taskCount: 4, isGang: true})]);
		harness.advance(300);
		resize(workers[0]!, 2);
		harness.advance(300);
		harness.isStoreAvailable = true;
		harness.advance(1000);
		const started = workers.flatMap(worker => worker.started);
		expect(started.toSorted()).to.deep.equal(['j1.0.0.0#2', 'j1.0.0.1#2', 'j1.0.0.2#2', 'j1.0.0.3#2']);
		expect(workers[0]!.runs.size).to.be.at.most(2);
	});
});
