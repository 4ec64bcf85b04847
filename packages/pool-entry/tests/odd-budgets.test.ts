import {expect} from 'chai';
import {decodeRelayRequest} from '@amaranthsail/pool-entry/peer-message-decoding.js';

const MAX_RELAY_BUDGET_MS = 60_000;

describe('relayed requests', () => {
	for (const budgetMs of [Number.POSITIVE_INFINITY, 9e15, MAX_RELAY_BUDGET_MS + 1, -1, '100']) {
		it(`are malformed with a budget of ${JSON.stringify(budgetMs)} (${budgetMs})`, () => {
			expect(decodeRelayRequest({kind: 'state', jobId: 'j', account: 'a', budgetMs})).to.equal(undefined);
		});
	}

	it('are accepted with the largest budget', () => {
		expect(decodeRelayRequest({kind: 'state', jobId: 'j', account: 'a', budgetMs: MAX_RELAY_BUDGET_MS})).to.deep.include({budgetMs: MAX_RELAY_BUDGET_MS});
	});
});
