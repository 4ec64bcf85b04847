import {expect} from 'chai';
import {FakeWorker} from './support/fake-worker.js';
import {makeStep, PoolHarness} from './support/pool-harness.js';
import {EndAcknowledgements} from '@amaranthsail/pool/end-acknowledgements.js';
import type {ListedEnd} from '@amaranthsail/pool';

describe('EndAcknowledgements', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly settled: readonly number[]; readonly endedTasks: readonly string[]; readonly sequence: number}> = [
		{title: 'acknowledge nothing while the first end is not settled', settled: [5, 6], endedTasks: [], sequence: 0},
		{title: 'acknowledge the ends before the first that is not settled', settled: [6, 4], endedTasks: [], sequence: 4},
		{title: 'acknowledge all ends once they are settled, in any order', settled: [6, 4, 5], endedTasks: [], sequence: 6},
		{title: 'treat the ends of ended jobs as settled', settled: [4], endedTasks: ['t5'], sequence: 5},
		{title: 'ignore ends that were never added', settled: [9], endedTasks: ['t9'], sequence: 0},
	];
	for (const {title, settled, endedTasks, sequence} of cases) {
		it(title, () => {
			const acknowledgements = new EndAcknowledgements();
			for (const number of [4, 5, 6]) {
				acknowledgements.add(number, `t${number}`);
			}

			for (const number of settled) {
				acknowledgements.settle(number);
			}

			acknowledgements.settleEnded(task => endedTasks.includes(task));
			expect(acknowledgements.sequence).to.equal(sequence);
		});
	}
});

describe('a worker whose ends have to stay listed', () => {
	const cases = [
		{endCount: 249, isStarted: true},
		{endCount: 250, isStarted: false},
	];
	for (const {endCount, isStarted} of cases) {
		it(`${isStarted ? 'gets' : 'does not get'} new runs with ${endCount} of them`, () => {
			const worker = new FakeWorker('w1');
			const harness = new PoolHarness([worker]);
			harness.runCycle();
			worker.ended = Array.from({length: endCount}, (_, index): ListedEnd => ({
				sequence: index + 1, task: `old.0.0.${index}`, run: 1, outcome: 'done', checkpoint: '',
			}));
			harness.core.onReport('w1', worker.report(harness.clock.monotonicMs()));
			// A commit that is taken and never stored keeps the ends from being acknowledged.
			harness.core.nextCommit();
			harness.submit('j1', 'normal', [makeStep()]);
			harness.advance(500);
			expect(worker.started.length > 0).to.equal(isStarted);
			expect(worker.ackSequence).to.equal(0);
		});
	}
});
