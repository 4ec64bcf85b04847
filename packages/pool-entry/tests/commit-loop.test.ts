import {expect} from 'chai';
import {
	err, ManualClock, silentLogger,
} from '@amaranthsail/core';
import {
	type AgentReport, type Commit, DEFAULT_LIMITS, LEADER_KEY, type LeaderRow, type ListedEnd, PoolCore, type RowWrite, TABLES,
} from '@amaranthsail/pool';
import {CommitQueue} from '@amaranthsail/pool/commit-queue.js';
import {ProcessMetrics} from '@amaranthsail/pool-runtime';
import {MemoryPoolStore} from './support.js';
import {CommitLoop} from '@amaranthsail/pool-entry/commit-loop.js';

const LEADER_ROW: LeaderRow = {
	holder: 'self/1', address: 'h:1', epoch: 1, commit: 0,
};

const SHAPE = {cpuMillis: 1000, memoryMb: 1000, accelerators: 0};

const STEP = {
	shape: SHAPE, estimatedMs: 1000, after: [], prefersOneRack: false, isCheckpointing: false, isLasting: false,
};

/** Reports of a worker that lists these ends. */
function makeReport(ended: readonly ListedEnd[], clockMs: number): AgentReport {
	return {
		facts: {
			life: 'w1@1', id: 'w1', service: 's', failureDomain: 'z', state: 'ready', capacity: {cpuMillis: 1_000_000, memoryMb: 1_000_000, accelerators: 0}, labels: [],
		},
		lists: {
			clockMs, ageMs: 0, ordersBefore: 0, running: [], ended,
		},
	};
}

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

	describe('when the store rejects the rows of some ends', () => {
		const doneRows = (write: RowWrite): boolean => write.table === TABLES.runs && (write.value as {isDone?: boolean}).isDone === true;
		const cases: ReadonlyArray<{readonly title: string; readonly taskCount: number; readonly isRejected: (write: RowWrite) => boolean; readonly ackSequence: number}> = [
			{title: 'acknowledges only the ends before the first of them', taskCount: 1, isRejected: write => write.key === 'b.0.0.0' && doneRows(write), ackSequence: 1},
			{title: 'acknowledges no end whose rows are stored in part', taskCount: 200, isRejected: write => write.key === 'b.0.0.0' && doneRows(write), ackSequence: 1},
			{title: 'acknowledges all ends when it rejects none', taskCount: 1, isRejected: () => false, ackSequence: 3},
		];
		for (const {title, taskCount, isRejected, ackSequence} of cases) {
			it(title, async () => {
				const store = new MemoryPoolStore();
				const transact = store.transact.bind(store);
				store.transact = async (conditions, writes) => writes.some(write => isRejected(write))
					? err({kind: 'rejected', message: 'status 400'})
					: transact(conditions, writes);
				const {version} = store.put(TABLES.leader, LEADER_KEY, LEADER_ROW);
				const clock = new ManualClock(1000);
				const core = new PoolCore(clock, DEFAULT_LIMITS, () => undefined);
				const loop = new CommitLoop({row: LEADER_ROW, version}, {
					store, core, clock, logger: silentLogger, metrics: new ProcessMetrics(),
					onLeadershipLost: () => undefined,
					onCommit: () => undefined,
					onConfirmed: () => undefined,
				});
				core.recover({jobs: [], runs: [], incarnations: []});
				core.setConfig({
					version: 1, accounts: [], queues: [{
						name: 'q', host: 'h', pathPrefix: '/', service: 's', priority: 1, maxAttempts: 2, stretch: 2, targetLatencyMs: 1, isPublic: true,
					}],
				});
				for (const id of ['a', 'b', 'c']) {
					// A second step keeps the job open.
					const gang = {...STEP, taskCount: id === 'b' ? taskCount : 1, isGang: true};
					const next = {
						...STEP, taskCount: 1, isGang: false, after: [0], requiredLabel: 'none',
					};
					core.onJobStored(id, {
						queue: 'q', account: 'north', acceptedAtMs: 0, spec: {payload: '', steps: [gang, next]},
					});
				}

				core.onReport('agent', makeReport([], 1));
				core.tick();
				await loop.flush();
				const ended = ['a', 'b', 'c'].map((id, index): ListedEnd => ({
					sequence: index + 1, task: `${id}.0.0.0`, run: 1, outcome: 'done', checkpoint: '',
				}));
				core.onReport('agent', makeReport(ended, 2));
				await loop.flush();
				expect(core.leaseFor('w1@1')?.ackSequence).to.equal(ackSequence);
			});
		}

		it('does not take a dropped commit that is carried out late for the next one', async () => {
			const store = new MemoryPoolStore();
			const transact = store.transact.bind(store);
			let carryOutLate: (() => Promise<unknown>) | undefined;
			let calls = 0;
			store.transact = async (conditions, writes) => {
				calls++;
				if (calls === 1) {
					carryOutLate = async () => transact(conditions, writes);
					return err({kind: 'outcome_unknown', message: 'no answer'});
				}

				if (calls === 2) {
					return err({kind: 'rejected', message: 'status 400'});
				}

				await carryOutLate?.();
				carryOutLate = undefined;
				return transact(conditions, writes);
			};

			const {version} = store.put(TABLES.leader, LEADER_KEY, LEADER_ROW);
			const queue = new CommitQueue();
			queue.enqueue([{table: TABLES.runs, key: 'a', value: {run: 1}}], () => undefined);
			const loop = new CommitLoop({row: LEADER_ROW, version}, {
				store, core: makeCore(() => queue.takeNext()), clock: new ManualClock(), logger: silentLogger, metrics: new ProcessMetrics(),
				onLeadershipLost: () => undefined,
				onCommit: () => undefined,
				onConfirmed: () => undefined,
			});
			await loop.flush();
			queue.enqueue([{table: TABLES.runs, key: 'b', value: {run: 1}}], () => undefined);
			await loop.flush();
			expect([...store.rows.values()].filter(row => row.table === TABLES.runs).map(row => row.key)).to.include('b');
		});

		it('starts no gang whose placement is stored in part', async () => {
			const queue = new CommitQueue();
			const stored: string[] = [];
			queue.enqueue(Array.from({length: 200}, (_, index) => ({table: TABLES.runs, key: `g${index}`, value: {run: 1}})), () => {
				stored.push('gang');
			});
			const store = new MemoryPoolStore();
			const transact = store.transact.bind(store);
			store.transact = async (conditions, writes) => writes.some(write => write.key === 'g0')
				? err({kind: 'rejected', message: 'status 400'})
				: transact(conditions, writes);
			const {version} = store.put(TABLES.leader, LEADER_KEY, LEADER_ROW);
			const loop = new CommitLoop({row: LEADER_ROW, version}, {
				store, core: makeCore(() => queue.takeNext()), clock: new ManualClock(), logger: silentLogger, metrics: new ProcessMetrics(),
				onLeadershipLost: () => undefined,
				onCommit: () => undefined,
				onConfirmed: () => undefined,
			});
			await loop.flush();
			expect(stored).to.deep.equal([]);
		});
	});

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
