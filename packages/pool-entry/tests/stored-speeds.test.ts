import {expect} from 'chai';
import {err} from '@amaranthsail/core';
import {LEADER_KEY, TABLES} from '@amaranthsail/pool';
import {sleep} from '@amaranthsail/pool-runtime';
import {makeLeader, SETTLE_MS} from './leader-fixture.js';

describe('a new leader', () => {
	it('leads although the stored speeds cannot be read, and reads them later', async () => {
		const {store, leader} = makeLeader();
		store.put(TABLES.speeds, LEADER_KEY, {workers: {w1: [0.5, 20]}});
		const read = store.read.bind(store);
		let isReadable = false;
		let restored = 0;
		store.read = async (table, range) => (table === TABLES.speeds && !isReadable ? err({kind: 'unavailable', message: 'busy'}) : read(table, range));
		const restore = leader.core.restoreSpeeds.bind(leader.core);
		leader.core.restoreSpeeds = rows => {
			restored += rows.length;
			restore(rows);
		};

		const run = leader.run();
		try {
			await sleep(SETTLE_MS);
			expect(leader.isLeading).to.equal(true);
			expect(restored).to.equal(0);
			isReadable = true;
			await sleep(SETTLE_MS);
			expect(restored).to.equal(1);
		} finally {
			await leader.resign();
			await run;
		}
	});
});
