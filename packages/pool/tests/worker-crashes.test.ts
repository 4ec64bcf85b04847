import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness} from './support/pool-harness.js';

describe('the log of a crashed worker', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly act: (harness: PoolHarness, worker: FakeWorker) => void; readonly evidence: readonly string[]}> = [
		{
			title: 'a run that had just started',
			act(harness, worker) {
				harness.advance(500);
				worker.crash();
			},
			evidence: ['atStart'],
		},
		{
			title: 'a run that had been at work',
			act(harness, worker) {
				harness.advance(2500);
				worker.crash();
			},
			evidence: ['duringWork'],
		},
		{
			title: 'a run whose start was not answered',
			act(harness, worker) {
				worker.crashingTasks.add('j1.0.0.0');
			},
			evidence: ['possible'],
		},
		{
			title: 'no run once it has ended',
			act(harness, worker) {
				harness.advance(500);
				worker.end('j1.0.0.0', 'done');
				harness.advance(200);
				worker.crash();
			},
			evidence: [],
		},
	];
	for (const {title, act, evidence} of cases) {
		it(`names ${title}`, () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep({estimatedMs: 10_000})]);
			act(harness, worker);
			harness.runCycle();
			const [crash] = harness.events('worker crashed');
			expect(crash).to.include({worker: 'w1@1000', next: 'w1@2000'});
			expect((crash!.suspects as ReadonlyArray<{evidence: string}>).map(run => run.evidence)).to.deep.equal(evidence);
		});
	}

	it('does not report a worker that drained before its next incarnation', () => {
		const worker = new FakeWorker('w1');
		const harness = new PoolHarness([worker]);
		harness.submit('j1', 'normal', [makeStep({estimatedMs: 10_000})]);
		harness.advance(500);
		worker.facts = {...worker.facts, state: 'draining', remainingMs: 1000};
		harness.advance(500);
		worker.crash();
		worker.facts = {...worker.facts, state: 'ready'};
		harness.advance(500);
		expect(harness.events('worker crashed')).to.deep.equal([]);
	});
});
