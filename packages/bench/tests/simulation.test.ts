import {expect} from 'chai';
import {DIVISIONS, SCENARIOS, Simulation} from '@amaranthsail/bench';
import {EventQueue} from '@amaranthsail/bench/event-queue.js';
import {quantile} from '@amaranthsail/bench/measures.js';

describe('Simulation', () => {
	// Guards against results that cannot be reproduced, and against jobs lost between scheduler and bench.
	for (const division of DIVISIONS) {
		it(`gives equal measures for equal seeds and accounts for every job of ${division.name}`, () => {
			const scenario = SCENARIOS.find(({name}) => name === 'failingWorkers')!;
			const first = new Simulation(division, scenario, 'balanced', 3).run();
			expect(new Simulation(division, scenario, 'balanced', 3).run()).to.deep.equal(first);
			expect(first.unfinished).to.equal(0);
			expect(first.completed).to.be.above(100);
		});
	}
});

describe('EventQueue', () => {
	// Guards against events out of order, which would move the virtual clock backwards.
	it('returns events in order of time, and in order of scheduling at equal times', () => {
		const queue = new EventQueue();
		const executed: string[] = [];
		for (const [index, atMs] of [5, 1, 4, 1, 3, 9, 2, 1].entries()) {
			queue.schedule(atMs, () => {
				executed.push(`${atMs}/${index}`);
			});
		}

		for (let event = queue.next(); event; event = queue.next()) {
			event.run();
		}

		expect(executed).to.deep.equal(['1/1', '1/3', '1/7', '2/6', '3/4', '4/2', '5/0', '9/5']);
	});
});

describe('quantile', () => {
	// Guards against an off-by-one index, which would report the maximum as the 99th percentile.
	for (const [fraction, expected] of [[0, 1], [0.5, 50], [0.99, 99], [1, 100]] as const) {
		it(`finds the quantile at ${fraction}`, () => {
			expect(quantile(Array.from({length: 100}, (_, index) => 100 - index), fraction)).to.equal(expected);
		});
	}
});
