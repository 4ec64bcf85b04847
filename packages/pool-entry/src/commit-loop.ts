import type {Clock, Logger} from '@amaranthsail/core';
import {
	type Commit, type LeaderRow, LEADER_KEY, type PoolCore, type PoolStore, TABLES,
} from '@amaranthsail/pool';
import {type ProcessMetrics, sleep} from '@amaranthsail/pool-runtime';

/** Timeout of a transaction; the store answers within milliseconds unless it is slow. */
const COMMIT_TIMEOUT_MS = 1200;

/** Delay before the next try after the store failed or did not answer. */
const RETRY_DELAY_MS = 60;

/** The leader row in the store with its version. */
export type Leadership = {readonly row: LeaderRow; readonly version: number};

/** Dependencies of {@link CommitLoop}. */
export type CommitLoopDependencies = {
	readonly store: PoolStore;
	readonly core: PoolCore;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: ProcessMetrics;
	/** Called when the leader row belongs to another leader, or the store rejects a commit. */
	readonly onLeadershipLost: (reason: string) => void;
	/** Called after each commit. */
	readonly onCommit: () => void;
};

/**
 * Stores the leader's commits one after another.
 *
 * Each transaction is conditional on the version of the leader row that the previous one wrote, and rewrites that row.
 * So a transaction of a former leader, or one that is executed late, has no effect.
 */
export class CommitLoop {
	readonly #deps: CommitLoopDependencies;
	#leadership: Leadership;
	#isRunning = false;
	#isStopped = false;
	/** Start of the current series of failed commits; undefined while commits succeed. */
	#failingSinceMs: number | undefined;

	/**
	 * @param leadership - The leader row that the takeover wrote.
	 * @param deps - Dependencies.
	 */
	constructor(leadership: Leadership, deps: CommitLoopDependencies) {
		this.#leadership = leadership;
		this.#deps = deps;
	}

	/** Milliseconds for which commits have been failing; 0 while they succeed. */
	get failingMs(): number {
		return this.#failingSinceMs === undefined ? 0 : this.#deps.clock.monotonicMs() - this.#failingSinceMs;
	}

	/** Stores all pending commits, unless a call is already doing so. */
	async flush(): Promise<void> {
		if (this.#isRunning) {
			return;
		}

		this.#isRunning = true;
		try {
			for (let commit = this.#deps.core.nextCommit(); commit && !this.#isStopped; commit = this.#deps.core.nextCommit()) {
				if (commit.writes.length === 0 || await this.#storeCommit(commit)) {
					commit.complete();
					this.#deps.onCommit();
				}
			}
		} finally {
			this.#isRunning = false;
		}
	}

	/**
	 * Clears the holder in the leader row, so that a standby can take over without waiting for a timeout.
	 *
	 * @returns Once the store has answered.
	 */
	async resign(): Promise<void> {
		this.#isStopped = true;
		const {row, version} = this.#leadership;
		await this.#deps.store.transact([{table: TABLES.leader, key: LEADER_KEY, version}], [{table: TABLES.leader, key: LEADER_KEY, value: {...row, holder: ''}}], COMMIT_TIMEOUT_MS);
	}

	/** Stops storing commits. */
	stop(): void {
		this.#isStopped = true;
	}

	async #storeCommit(commit: Commit): Promise<boolean> {
		const nextRow: LeaderRow = {...this.#leadership.row, commit: this.#leadership.row.commit + 1};
		const {clock, logger, metrics, store} = this.#deps;
		while (!this.#isStopped) {
			const startedAtMs = clock.monotonicMs();
			const stored = await store.transact(
				[{table: TABLES.leader, key: LEADER_KEY, version: this.#leadership.version}],
				[{table: TABLES.leader, key: LEADER_KEY, value: nextRow}, ...commit.writes],
				COMMIT_TIMEOUT_MS,
			);
			metrics.observe('commit', clock.monotonicMs() - startedAtMs, {outcome: stored.ok ? 'stored' : stored.error.kind});
			if (stored.ok) {
				this.#recordSuccess();
				this.#leadership = {row: nextRow, version: stored.value.version};
				return true;
			}

			if (stored.error.kind === 'condition_failed') {
				const currentRow = stored.error.rows.find(row => row.table === TABLES.leader);
				const currentLeader = currentRow?.value as LeaderRow | undefined;
				if (!currentRow || currentLeader?.holder !== nextRow.holder || currentLeader.epoch !== nextRow.epoch) {
					this.#deps.onLeadershipLost(`leader row belongs to ${currentLeader?.holder ?? 'nobody'} in epoch ${currentLeader?.epoch ?? 0}`);
					return false;
				}

				this.#recordSuccess();
				this.#leadership = {row: currentLeader, version: currentRow.version};
				if (currentLeader.commit === nextRow.commit) {
					// An earlier try took effect, but its answer was lost.
					return true;
				}
			} else if (stored.error.kind === 'rejected') {
				logger.error('commit rejected', {error: stored.error.message, writes: commit.writes.length});
				this.#deps.onLeadershipLost('the store rejects a commit');
				return false;
			} else {
				this.#recordFailure(stored.error.kind);
				await sleep(RETRY_DELAY_MS);
			}
		}

		return false;
	}

	#recordFailure(error: string): void {
		if (this.#failingSinceMs === undefined) {
			this.#failingSinceMs = this.#deps.clock.monotonicMs();
			this.#deps.logger.warn('store not reached', {purpose: 'commit', error});
		}
	}

	#recordSuccess(): void {
		if (this.#failingSinceMs !== undefined) {
			this.#deps.logger.info('store reached again', {purpose: 'commit', afterMs: Math.round(this.failingMs)});
			this.#failingSinceMs = undefined;
		}
	}
}
