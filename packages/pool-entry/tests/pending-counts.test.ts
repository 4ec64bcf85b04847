import {expect} from 'chai';
import {ManualClock} from '@amaranthsail/core';
import {sleep} from '@amaranthsail/pool-runtime';
import {type PoolConfig, TABLES} from '@amaranthsail/pool';
import {makeLeader, SETTLE_MS} from './leader-fixture.js';
import {JOB_ROW} from './support.js';
import type {PoolLeader} from '@amaranthsail/pool-entry/pool-leader.js';
import {PendingCounts} from '@amaranthsail/pool-entry/pending-counts.js';

const CONFIG: PoolConfig = {version: 1, queues: [], accounts: []};

/** @returns What a leader looks like that knows one waiting job, or nothing yet. */
function fakeLeader(isKnown: boolean): Pick<PoolLeader, 'core' | 'wasConfirmedWithin'> {
	return {core: {pendingCounts: () => new Map([['q', 1]])} as unknown as PoolLeader['core'], wasConfirmedWithin: () => isKnown};
}

describe('PendingCounts', () => {
	const cases: ReadonlyArray<{readonly title: string; readonly receivedAgoMs?: number; readonly leader?: ReturnType<typeof fakeLeader>; readonly count: number | undefined}> = [
		{title: 'knows none before any entry has reported one', count: undefined},
		{title: 'knows those that the leader has reported', receivedAgoMs: 1400, count: 5},
		{title: 'forgets old ones', receivedAgoMs: 1500, count: undefined},
		{title: 'knows those of the leader in this process', receivedAgoMs: 100, leader: fakeLeader(true), count: 1},
		{title: 'uses those of the previous leader while the one in this process reads the stored state', receivedAgoMs: 100, leader: fakeLeader(false), count: 5},
		{title: 'knows none while a leader reads the stored state for long', receivedAgoMs: 1500, leader: fakeLeader(false), count: undefined},
	];
	for (const {title, receivedAgoMs, leader, count} of cases) {
		it(title, () => {
			const clock = new ManualClock(0);
			const counts = new PendingCounts(clock);
			if (receivedAgoMs !== undefined) {
				counts.record({q: 5});
				clock.advance(receivedAgoMs);
			}

			expect(counts.countOf('q', leader)).to.equal(count);
		});
	}

	// The store's answers are not needed for a count that has been read; a standby asks more often than it ages.
	it('are known to a leader whose commits fail, while other entries call it', async () => {
		const {clock, store, leader} = makeLeader();
		store.put(TABLES.jobs, 'j1', JOB_ROW);
		const counts = new PendingCounts(clock);
		leader.setConfig(CONFIG);
		const run = leader.run();
		await sleep(SETTLE_MS);
		store.fault = 'refuse';
		leader.core.storeMember('agent', 'h:1');
		await sleep(SETTLE_MS);
		clock.advance(900);
		leader.recordPeerCall(1);
		await sleep(SETTLE_MS);
		expect(leader.isLeading).to.equal(false);
		expect(counts.ofLeader(leader)).to.deep.equal({q: 1});
		await leader.resign();
		await run;
	});
});
