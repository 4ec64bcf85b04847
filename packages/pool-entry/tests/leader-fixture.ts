import {ManualClock, silentLogger} from '@amaranthsail/core';
import {
	DEFAULT_LIMITS, LEADER_KEY, type LeaderRow, TABLES,
} from '@amaranthsail/pool';
import {ErrorGuard, ProcessMetrics, sleep} from '@amaranthsail/pool-runtime';
import {MemoryPoolStore} from './support.js';
import {PoolLeader, type PoolLeaderDependencies} from '@amaranthsail/pool-entry/pool-leader.js';

/** Time for some ticks and calls of a leader over the loopback interface. */
export const SETTLE_MS = 400;

export const LEADER_ROW: LeaderRow = {
	holder: 'self/1', address: '127.0.0.1:1', epoch: 1, commit: 0,
};

/** A leader on a clock that is advanced by hand. */
export type LeaderFixture = {
	readonly clock: ManualClock;
	readonly store: MemoryPoolStore;
	readonly metrics: ProcessMetrics;
	readonly leader: PoolLeader;
	/** Reasons for which the leader has given up leadership. */
	readonly lost: readonly string[];
};

/** @returns A leader that has taken over and has not read the stored state yet. */
export function makeLeader(deps: Pick<PoolLeaderDependencies, 'evacuations'> = {}): LeaderFixture {
	const clock = new ManualClock(100_000);
	const store = new MemoryPoolStore();
	store.follow = async table => {
		await sleep(SETTLE_MS);
		return store.read(table, {});
	};

	const {version} = store.put(TABLES.leader, LEADER_KEY, LEADER_ROW);
	const metrics = new ProcessMetrics();
	const lost: string[] = [];
	const leader = new PoolLeader({row: LEADER_ROW, version}, {
		...deps, store, clock, logger: silentLogger, metrics, limits: DEFAULT_LIMITS, guard: new ErrorGuard(silentLogger, metrics), onLeadershipLost(reason) {
			lost.push(reason);
		},
	});
	return {
		clock, store, metrics, leader, lost,
	};
}
