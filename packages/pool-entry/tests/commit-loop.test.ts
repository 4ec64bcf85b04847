import {expect} from 'chai';
import {
	err, ManualClock, silentLogger,
} from '@amaranthsail/core';
import {
	type Commit, DEFAULT_LIMITS, LEADER_KEY, type LeaderRow, PoolCore, TABLES,
} from '@amaranthsail/pool';
import {CommitQueue} from '@amaranthsail/pool/commit-queue.js';
import {ProcessMetrics} from '@amaranthsail/pool-runtime';
import {MemoryPoolStore} from './support.js';
import {CommitLoop} from '@amaranthsail/pool-entry/commit-loop.js';

const LEADER_ROW: LeaderRow = {
	holder: 'self/1', address: 'h:1', epoch: 1, commit: 0,
};

/** A core of which only the commits are used. */
function makeCore(nextCommit: () => Commit | undefined): PoolCore {
	const core = new PoolCore(new ManualClock(), DEFAULT_LIMITS, () => undefined);
	core.nextCommit = nextCommit;
	return core;
}

describe('CommitLoop', () => {
	const cases = [
		{title: 'drops only the writes that the store rejects', rejectedKey: 'b', expectedKeys: ['a', 'c'], expectedCallbacks: ['a', 'c']},
		{title: 'stores all writes together when none is rejected', rejectedKey: undefined, expectedKeys: ['a', 'b', 'c'], expectedCallbacks: ['a', 'b', 'c']},
	];
	for (const {title, rejectedKey, expectedKeys, expectedCallbacks} of cases) {
		it(`${title}, and keeps leading`, async () => {
			const store = new MemoryPoolStore();
			const transact = store.transact.bind(store);
			store.transact = async (conditions, writes) => writes.some(write => write.key === rejectedKey)
				? err({kind: 'rejected', message: 'status 400'})
				: transact(conditions, writes);
			const {version} = store.put(TABLES.leader, LEADER_KEY, LEADER_ROW);
			const queue = new CommitQueue();
			const stored: string[] = [];
			for (const key of ['a', 'b', 'c']) {
				queue.enqueue([{table: TABLES.runs, key, value: {run: 1}}], () => {
					stored.push(key);
				});
			}

			const lost: string[] = [];
			const loop = new CommitLoop({row: LEADER_ROW, version}, {
				store, core: makeCore(() => queue.takeNext()), clock: new ManualClock(), logger: silentLogger, metrics: new ProcessMetrics(),
				onLeadershipLost(reason) {
					lost.push(reason);
				},
				onCommit: () => undefined,
				onConfirmed: () => undefined,
			});
			await loop.flush();
			expect([...store.rows.values()].filter(row => row.table === TABLES.runs).map(row => row.key)).to.deep.equal(expectedKeys);
			expect(stored).to.deep.equal(expectedCallbacks);
			expect(lost).to.deep.equal([]);
		});
	}

	it('gives up leadership when the store rejects everything', async () => {
		const store = new MemoryPoolStore();
		store.transact = async () => err({kind: 'rejected', message: 'status 400'});
		const queue = new CommitQueue();
		for (let index = 0; index < 8; index++) {
			queue.enqueue([{table: TABLES.runs, key: `${index}`, value: {run: 1}}], () => undefined);
		}

		const lost: string[] = [];
		const loop: CommitLoop = new CommitLoop({row: LEADER_ROW, version: 1}, {
			store,
			core: makeCore(() => queue.takeNext()),
			clock: new ManualClock(),
			logger: silentLogger,
			metrics: new ProcessMetrics(),
			onLeadershipLost(reason) {
				lost.push(reason);
				loop.stop();
			},
			onCommit: () => undefined,
			onConfirmed: () => undefined,
		});
		await loop.flush();
		expect(lost).to.deep.equal(['the store rejects every commit']);
	});

	it('rewrites the leader row once when a confirmation is requested', async () => {
		const store = new MemoryPoolStore();
		const {version} = store.put(TABLES.leader, LEADER_KEY, LEADER_ROW);
		const confirmedAtMs: number[] = [];
		const loop = new CommitLoop({row: LEADER_ROW, version}, {
			store, core: makeCore(() => undefined), clock: new ManualClock(7), logger: silentLogger, metrics: new ProcessMetrics(),
			onLeadershipLost: () => undefined,
			onCommit: () => undefined,
			onConfirmed(sentAtMs) {
				confirmedAtMs.push(sentAtMs);
			},
		});
		loop.requestConfirmation();
		await loop.flush();
		await loop.flush();
		expect(confirmedAtMs).to.deep.equal([7]);
		expect(store.transactions).to.equal(1);
	});
});
