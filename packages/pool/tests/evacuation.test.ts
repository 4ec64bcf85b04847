import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness} from './support/pool-harness.js';
import {DEFAULT_LIMITS, WORKER_STATES} from '@amaranthsail/pool';

/** An urgent task takes about this long; its worker is taken away while it runs. */
const RUN_MS = 3000;

/** A busy agent's lists reach the leader this late. */
const LISTS_AGE_MS = 900;

describe('work on a worker that leaves at short notice', () => {
	const cases = [
		{title: 'lets a run end that will end in time, although its progress was read a while ago', ranMs: 1800, remainingMs: 1900, isStopped: false},
		{title: 'stops a run at once that cannot end in time', ranMs: 500, remainingMs: 1900, listsAgeMs: 0, isStopped: true},
		{title: 'lets a run end whose progress has only just been read', ranMs: 2000, remainingMs: 1900, listsAgeMs: 0, isStopped: false},
	];
	for (const {title, ranMs, remainingMs, listsAgeMs = LISTS_AGE_MS, isStopped} of cases) {
		it(title, () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			harness.submit('j1', 'urgent', [makeStep({estimatedMs: RUN_MS})]);
			harness.runCycle();
			worker.isUnreachable = true;
			harness.advance(ranMs);
			const percent = Math.floor((ranMs - listsAgeMs) / RUN_MS * 100);
			harness.core.onReport(worker.agent, {
				facts: {...worker.facts, state: WORKER_STATES.draining, remainingMs},
				lists: {
					clockMs: harness.clock.monotonicMs() - listsAgeMs, ageMs: listsAgeMs, ordersBefore: 1, ended: [], running: [{
						task: 'j1.0.0.0', run: 1, checkpoint: '', percent,
					}],
				},
			});
			harness.core.tick();
			expect(harness.events('run stopping').length > 0).to.equal(isStopped);
		});
	}

	const checkpointCases = [
		{title: 'lets a run with checkpoints work on while there is time for a slow stop', remainingMs: 1300, stopTimeoutMs: 900, isStopped: false},
		{title: 'stops a run with checkpoints in time for a slow stop', remainingMs: 1100, stopTimeoutMs: 900, isStopped: true},
		{title: 'lets a run with checkpoints work on longer where stops are fast', remainingMs: 600, stopTimeoutMs: 200, isStopped: false},
		{title: 'stops a run with checkpoints in time for a fast stop', remainingMs: 400, stopTimeoutMs: 200, isStopped: true},
	];
	for (const {title, remainingMs, stopTimeoutMs, isStopped} of checkpointCases) {
		it(title, () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker], {...DEFAULT_LIMITS, stopTimeoutMs});
			harness.runCycle();
			harness.submit('j1', 'normal', [makeStep({estimatedMs: 60_000, isCheckpointing: true})]);
			harness.runCycle();
			worker.facts = {...worker.facts, state: WORKER_STATES.draining, remainingMs};
			harness.report(worker);
			harness.core.tick();
			expect(harness.events('run stopping').length > 0).to.equal(isStopped);
		});
	}
});
