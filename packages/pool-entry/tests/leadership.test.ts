import {expect} from 'chai';
import {silentLogger, SystemClock} from '@amaranthsail/core';
import {
	decodeLeaderRow, LEADER_KEY, type LeaderRow, TABLES,
} from '@amaranthsail/pool';
import {sleep} from '@amaranthsail/pool-runtime';
import {MemoryPoolStore, servePeer} from './support.js';
import {LeaderFollower} from '@amaranthsail/pool-entry/leadership.js';
import {type HelloAnswer, PEER_PATHS} from '@amaranthsail/pool-entry/peer-messages.js';

/** Longer than the random delay before a takeover and the delay after it. */
const SETTLE_MS = 700;

async function serveLeader(): Promise<{address: string; close: () => void}> {
	const answer: HelloAnswer = {
		epoch: 1, isLeading: true, configRowVersion: 0, entries: [], pending: {}, isDeputy: true, largestCores: 1,
	};
	return servePeer({[PEER_PATHS.hello]: () => ({status: 200, body: answer})});
}

function follow(store: MemoryPoolStore): {follower: LeaderFollower; takeovers: number[]} {
	const takeovers: number[] = [];
	let isLeading = false;
	const follower = new LeaderFollower({
		store,
		clock: new SystemClock(),
		logger: silentLogger,
		holder: 'self/1',
		address: '127.0.0.1:1',
		cores: 1,
		isLeading: () => isLeading,
		canLead: () => true,
		hello: () => ({address: '127.0.0.1:1', epoch: 0, configRowVersion: 0, failureDomain: 'a', cores: 1}),
		onHello: () => undefined,
		onTakeover(leadership) {
			isLeading = true;
			takeovers.push(leadership.row.epoch);
		},
	});
	return {follower, takeovers};
}

describe('LeaderFollower', () => {
	const cases = [
		// At a first start, entries took over from one another within 50 ms.
		{title: 'does not take over from a leader that appears after a read without a row', rowAtRead: 2, expected: []},
		{title: 'does not take over from a leader that it finds', rowAtRead: 1, expected: []},
		{title: 'takes over when there is no leader', rowAtRead: undefined, expected: [1]},
	];
	for (const {title, rowAtRead, expected} of cases) {
		it(title, async () => {
			const leader = await serveLeader();
			const row: LeaderRow = {
				holder: 'other/1', address: leader.address, epoch: 1, commit: 0,
			};
			const store = new MemoryPoolStore();
			const read = store.read.bind(store);
			let reads = 0;
			store.read = async (table, range) => {
				reads++;
				if (reads === rowAtRead) {
					store.put(TABLES.leader, LEADER_KEY, row);
				}

				return read(table, range);
			};

			const {follower, takeovers} = follow(store);
			const run = follower.run();
			await sleep(SETTLE_MS);
			follower.stop();
			await run;
			leader.close();
			expect(takeovers).to.deep.equal(expected);
		});
	}

	const oddRows: ReadonlyArray<{readonly title: string; readonly row: unknown; readonly minEpoch: number}> = [
		{title: 'without content', row: undefined, minEpoch: 1},
		{title: 'that is no object', row: 7, minEpoch: 1},
		{title: 'with a port out of range', row: {holder: 'other/1', address: '127.0.0.1:65536', epoch: 40, commit: 0}, minEpoch: 41},
		{title: 'with the highest number as its epoch', row: {holder: 'other/1', address: '127.0.0.1:1', epoch: Number.MAX_SAFE_INTEGER, commit: 0}, minEpoch: 1},
		{title: 'with an infinite epoch', row: {holder: 'other/1', address: '127.0.0.1:1', epoch: Number.POSITIVE_INFINITY, commit: 0}, minEpoch: 1},
	];
	for (const {title, row, minEpoch} of oddRows) {
		it(`takes over from a leader row ${title}, in an epoch that others can read`, async () => {
			const store = new MemoryPoolStore();
			store.put(TABLES.leader, LEADER_KEY, row);
			const {follower, takeovers} = follow(store);
			const run = follower.run();
			await sleep(SETTLE_MS);
			follower.stop();
			await run;
			expect(takeovers).to.have.length(1);
			expect(takeovers[0]).to.be.at.least(minEpoch);
			const stored = decodeLeaderRow(store.rows.get(`${TABLES.leader}/${LEADER_KEY}`)?.value);
			expect(stored).to.deep.include({holder: 'self/1', epoch: takeovers[0]});
		});
	}

	it('takes over in a higher epoch than any that it has heard of', async () => {
		const store = new MemoryPoolStore();
		const {follower, takeovers} = follow(store);
		follower.recordEpoch(900);
		const run = follower.run();
		await sleep(SETTLE_MS);
		follower.stop();
		await run;
		expect(takeovers).to.deep.equal([901]);
	});
});
