import {expect} from 'chai';
import {DIVISIONS, SCENARIOS, Simulation} from '@amaranthsail/bench';
import {EventQueue} from '@amaranthsail/bench/event-queue.js';
import {quantile} from '@amaranthsail/bench/measures.js';

describe('Simulation', () => {
	// Guards against figures that cannot be reproduced, and against work that gets lost between scheduler and bench.
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
	// Guards against events out of order, which would let the virtual clock go back.
	it('gives events in order of time, equal times in order of scheduling', () => {
		const queue = new EventQueue();
		const seen: string[] = [];
		for (const [index, atMs] of [5, 1, 4, 1, 3, 9, 2, 1].entries()) {
			queue.schedule(atMs, () => {
				seen.push(`${atMs}/${index}`);
			});
		}

		for (let event = queue.next(); event; event = queue.next()) {
			event.run();
		}

		expect(seen).to.deep.equal(['1/1', '1/3', '1/7', '2/6', '3/4', '4/2', '5/0', '9/5']);
	});
});

describe('quantile', () => {
	// Guards against an index that is off by one, which would report the maximum as the 99th percentile.
	for (const [part, expected] of [[0, 1], [0.5, 50], [0.99, 99], [1, 100]] as const) {
		it(`finds the part ${part}`, () => {
			expect(quantile(Array.from({length: 100}, (_, index) => 100 - index), part)).to.equal(expected);
		});
	}
});
