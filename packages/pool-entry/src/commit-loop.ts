import type {Clock, Logger} from '@amaranthsail/core';
import {
	type Commit, decodeLeaderRow, type LeaderRow, LEADER_KEY, type PoolCore, type PoolStore, type RowWrite, TABLES,
} from '@amaranthsail/pool';
import {type ProcessMetrics, sleep} from '@amaranthsail/pool-runtime';

/** Timeout of a transaction; the store answers within milliseconds unless it is slow. */
const COMMIT_TIMEOUT_MS = 1200;

/** Delay before the next try after the store failed or did not answer. */
const RETRY_DELAY_MS = 60;

/** Rows of a dropped commit that are named in the log. */
const MAX_LOGGED_ROWS = 10;

/** After this many groups in a row that the store rejects, the writes are not at fault, and another entry takes over. */
const MAX_REJECTED_IN_A_ROW = 5;

/** The leader row in the store with its version. */
export type Leadership = {readonly row: LeaderRow; readonly version: number};

/** Dependencies of {@link CommitLoop}. */
export type CommitLoopDependencies = {
	readonly store: PoolStore;
	readonly core: PoolCore;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: ProcessMetrics;
	/** Called when the leader row belongs to another leader, or the store rejects every commit. */
	readonly onLeadershipLost: (reason: string) => void;
	/** Called after each commit. */
	readonly onCommit: () => void;
	/** Called when the store has shown that this process leads; `sentAtMs` is the time at which it was asked. */
	readonly onConfirmed: (sentAtMs: number) => void;
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
	#isConfirmationRequested = false;
	#rejectedInARow = 0;
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

	/** Makes the next {@link CommitLoop.flush} rewrite the leader row even if no writes are pending. */
	requestConfirmation(): void {
		this.#isConfirmationRequested = true;
	}

	/** Stores all pending commits, unless a call is already doing so. */
	async flush(): Promise<void> {
		if (this.#isRunning) {
			return;
		}

		this.#isRunning = true;
		try {
			for (let commit = this.#deps.core.nextCommit(); commit && !this.#isStopped; commit = this.#deps.core.nextCommit()) {
				if (commit.writes.length === 0) {
					commit.complete();
					this.#deps.onCommit();
				} else {
					await this.#storeInOrder(commit);
				}
			}

			if (this.#isConfirmationRequested && !this.#isStopped) {
				await this.#storeCommit([]);
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

	/** Stores a commit. One that the store rejects is stored group by group, and groups that it rejects are dropped. */
	async #storeInOrder(commit: Commit): Promise<void> {
		const outcome = await this.#storeCommit(commit.writes);
		if (outcome === 'stored') {
			this.#rejectedInARow = 0;
			commit.complete();
			this.#deps.onCommit();
			return;
		}

		if (outcome === 'stopped') {
			return;
		}

		const {groups} = commit;
		if (groups.length === 1) {
			// Sending it again would fail again, also under another leader; the affected job stays as it is stored.
			commit.drop();
			this.#deps.logger.error('writes dropped', {reason: 'rejected by the store', rows: commit.writes.map(write => `${write.table}/${write.key}`).slice(0, MAX_LOGGED_ROWS)});
			this.#deps.metrics.count('dropped_commits');
			this.#rejectedInARow++;
			if (this.#rejectedInARow >= MAX_REJECTED_IN_A_ROW) {
				this.#deps.onLeadershipLost('the store rejects every commit');
			}

			return;
		}

		for (const group of groups) {
			await this.#storeInOrder(group);
		}
	}

	async #storeCommit(writes: readonly RowWrite[]): Promise<'stored' | 'rejected' | 'stopped'> {
		const nextRow: LeaderRow = {...this.#leadership.row, commit: this.#leadership.row.commit + 1};
		const {clock, logger, metrics, store} = this.#deps;
		while (!this.#isStopped) {
			const startedAtMs = clock.monotonicMs();
			const stored = await store.transact(
				[{table: TABLES.leader, key: LEADER_KEY, version: this.#leadership.version}],
				[{table: TABLES.leader, key: LEADER_KEY, value: nextRow}, ...writes],
				COMMIT_TIMEOUT_MS,
			);
			metrics.observe('commit', clock.monotonicMs() - startedAtMs, {outcome: stored.ok ? 'stored' : stored.error.kind});
			if (stored.ok) {
				this.#recordSuccess(startedAtMs);
				this.#leadership = {row: nextRow, version: stored.value.version};
				return 'stored';
			}

			if (stored.error.kind === 'condition_failed') {
				const currentRow = stored.error.rows.find(row => row.table === TABLES.leader);
				const currentLeader = decodeLeaderRow(currentRow?.value);
				if (!currentRow || currentLeader?.holder !== nextRow.holder || currentLeader.epoch !== nextRow.epoch) {
					this.#deps.onLeadershipLost(`leader row belongs to ${currentLeader?.holder ?? 'nobody'} in epoch ${currentLeader?.epoch ?? 0}`);
					return 'stopped';
				}

				this.#recordSuccess(startedAtMs);
				this.#leadership = {row: currentLeader, version: currentRow.version};
				if (currentLeader.commit === nextRow.commit) {
					// An earlier try took effect, but its answer was lost.
					return 'stored';
				}
			} else if (stored.error.kind === 'rejected') {
				logger.error('commit rejected', {error: stored.error.message, writes: writes.length});
				// An earlier try may still take effect; the next commit has another number, so that it is not taken for this one.
				this.#leadership = {...this.#leadership, row: nextRow};
				return 'rejected';
			} else {
				this.#recordFailure(stored.error.kind);
				await sleep(RETRY_DELAY_MS);
			}
		}

		return 'stopped';
	}

	#recordFailure(error: string): void {
		if (this.#failingSinceMs === undefined) {
			this.#failingSinceMs = this.#deps.clock.monotonicMs();
			this.#deps.logger.warn('store not reached', {purpose: 'commit', error});
		}
	}

	#recordSuccess(sentAtMs: number): void {
		this.#isConfirmationRequested = false;
		this.#deps.onConfirmed(sentAtMs);
		if (this.#failingSinceMs !== undefined) {
			this.#deps.logger.info('store reached again', {purpose: 'commit', afterMs: Math.round(this.failingMs)});
			this.#failingSinceMs = undefined;
		}
	}
}
