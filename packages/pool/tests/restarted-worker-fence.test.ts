import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness} from './support/pool-harness.js';
import {DEFAULT_LIMITS, SLOW_CLOCK_FACTOR} from '@amaranthsail/pool';

/** A call to the earlier incarnation is carried out within this time, and its deadline lies far ahead on a clock that has started anew. */
const MAX_CALL_DELAY_MS = 10_000;

const LIMITS = {...DEFAULT_LIMITS, maxLeaseMs: 9000};

describe('the fence around a silent worker', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly restart?: (worker: FakeWorker) => void; readonly reachableMs: number; readonly fromMs: number; readonly leaseMs: number}> = [
		{title: 'that has never started again counts the lease from its suspicion', reachableMs: 200, fromMs: 2500, leaseMs: LIMITS.leaseMs},
		{
			title: 'that has just started again under its id counts the longest lease that a late call may have granted',
			restart(worker) {
				worker.crash();
			},
			reachableMs: 200,
			fromMs: MAX_CALL_DELAY_MS,
			leaseMs: LIMITS.maxLeaseMs,
		},
		{
			title: 'that started again some time ago counts the lease from its suspicion',
			restart(worker) {
				worker.crash();
			},
			reachableMs: 12_000,
			fromMs: 12_000 + 2500,
			leaseMs: LIMITS.leaseMs,
		},
		{
			title: 'that started again under another id counts the lease from its suspicion',
			restart(worker) {
				worker.restart({...worker.facts, id: 'w1b', life: 'w1b@2000'});
			},
			reachableMs: 200,
			fromMs: 2500,
			leaseMs: LIMITS.leaseMs,
		},
	];
	for (const {title, restart, reachableMs, fromMs, leaseMs} of cases) {
		it(title, () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker], LIMITS);
			harness.submit('j1', 'normal', [makeStep({isLasting: true})]);
			harness.advance(500);
			restart?.(worker);
			const restartedAtMs = harness.clock.monotonicMs();
			harness.advance(reachableMs);
			worker.isUnreachable = true;
			harness.advance(fromMs - reachableMs + (leaseMs * SLOW_CLOCK_FACTOR) - 100);
			expect(harness.events('worker given up').filter(({reason}) => reason === 'silent until its lease passed')).to.deep.equal([]);
			harness.advance(1000);
			expect(harness.events('worker given up').at(-1)).to.include({worker: worker.facts.life, reason: 'silent until its lease passed'});
			expect(harness.clock.monotonicMs() - restartedAtMs).to.be.below(fromMs + (leaseMs * SLOW_CLOCK_FACTOR) + 1500);
		});
	}
});
