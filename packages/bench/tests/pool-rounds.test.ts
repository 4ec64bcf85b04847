import {expect} from 'chai';
import {measureRounds} from '@amaranthsail/bench/pool-rounds.js';

describe('pool rounds', () => {
	it('measures scheduling rounds on a full pool', () => {
		const figures = measureRounds(11);
		expect(figures).to.deep.include({workers: 11, runningTasks: 88, waitingGangs: 20});
		expect(figures.medianMs).to.be.greaterThan(0);
	});
});
