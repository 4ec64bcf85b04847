import type {Clock, Logger} from '@amaranthsail/core';
import {
	type Commit, type LeaderRow, LEADER_KEY, type PoolCore, type PoolStore, TABLES,
} from '@amaranthsail/pool';
import {type ProcessMetrics, sleep} from '@amaranthsail/pool-runtime';

/** Timeout of a transaction; the store answers within milliseconds unless it is slow. */
const COMMIT_TIMEOUT_MS = 1200;

/** Pause after a refusal of the store. */
const RETRY_MS = 60;

/** Leadership as it stands in the store. */
export type Leadership = {readonly row: LeaderRow; readonly version: number};

/** What the loop works with. */
export type CommitLoopDependencies = {
	readonly store: PoolStore;
	readonly core: PoolCore;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: ProcessMetrics;
	/** Called when the row belongs to another leader. */
	readonly onDeposed: (reason: string) => void;
	/** Called after each commit. */
	readonly onProgress: () => void;
};

/**
 * Stores the leader's commits one after another.
 *
 * Each transaction has the version of the leader row that the last one wrote as its condition and rewrites
 * that row, so a transaction of a deposed leader, or one that is carried out late, has no effect.
 */
export class CommitLoop {
	readonly #deps: CommitLoopDependencies;
	#leadership: Leadership;
	#isRunning = false;
	#isStopped = false;
	/** Since when the store has not taken a commit; undefined while it does. */
	#failingSinceMs: number | undefined;

	/**
	 * @param leadership - The row as the takeover wrote it.
	 * @param deps - What the loop works with.
	 */
	constructor(leadership: Leadership, deps: CommitLoopDependencies) {
		this.#leadership = leadership;
		this.#deps = deps;
	}

	/** How long the store has not taken a commit. */
	get failingMs(): number {
		return this.#failingSinceMs === undefined ? 0 : this.#deps.clock.monotonicMs() - this.#failingSinceMs;
	}

	/** Stores what waits, unless that is under way already. */
	async drain(): Promise<void> {
		if (this.#isRunning) {
			return;
		}

		this.#isRunning = true;
		try {
			for (let commit = this.#deps.core.nextCommit(); commit && !this.#isStopped; commit = this.#deps.core.nextCommit()) {
				if (commit.writes.length === 0 || await this.#store(commit)) {
					commit.complete();
					this.#deps.onProgress();
				}
			}
		} finally {
			this.#isRunning = false;
		}
	}

	/**
	 * Gives leadership up, so that a standby need not wait.
	 *
	 * @returns Once the store has answered.
	 */
	async resign(): Promise<void> {
		this.#isStopped = true;
		const {row, version} = this.#leadership;
		await this.#deps.store.transact([{table: TABLES.leader, key: LEADER_KEY, version}], [{table: TABLES.leader, key: LEADER_KEY, value: {...row, holder: ''}}], COMMIT_TIMEOUT_MS);
	}

	/** Stores nothing more. */
	stop(): void {
		this.#isStopped = true;
	}

	async #store(commit: Commit): Promise<boolean> {
		const next: LeaderRow = {...this.#leadership.row, commit: this.#leadership.row.commit + 1};
		const {clock, logger, metrics, store} = this.#deps;
		while (!this.#isStopped) {
			const startedAtMs = clock.monotonicMs();
			const stored = await store.transact(
				[{table: TABLES.leader, key: LEADER_KEY, version: this.#leadership.version}],
				[{table: TABLES.leader, key: LEADER_KEY, value: next}, ...commit.writes],
				COMMIT_TIMEOUT_MS,
			);
			metrics.observe('commit', clock.monotonicMs() - startedAtMs, {outcome: stored.ok ? 'stored' : stored.error.kind});
			if (stored.ok) {
				this.#noteReached();
				this.#leadership = {row: next, version: stored.value.version};
				return true;
			}

			if (stored.error.kind === 'condition_failed') {
				const present = stored.error.rows.find(row => row.table === TABLES.leader);
				const value = present?.value as LeaderRow | undefined;
				if (!present || value?.holder !== next.holder || value.epoch !== next.epoch) {
					this.#deps.onDeposed(`leader row belongs to ${value?.holder ?? 'nobody'} in epoch ${value?.epoch ?? 0}`);
					return false;
				}

				this.#noteReached();
				this.#leadership = {row: value, version: present.version};
				if (value.commit === next.commit) {
					// The answer of an earlier attempt was lost.
					return true;
				}
			} else if (stored.error.kind === 'rejected') {
				logger.error('commit rejected', {error: stored.error.message, writes: commit.writes.length});
				this.#deps.onDeposed('the store rejects a commit');
				return false;
			} else {
				this.#noteFailing(stored.error.kind);
				await sleep(RETRY_MS);
			}
		}

		return false;
	}

	#noteFailing(error: string): void {
		if (this.#failingSinceMs === undefined) {
			this.#failingSinceMs = this.#deps.clock.monotonicMs();
			this.#deps.logger.warn('store not reached', {purpose: 'commit', error});
		}
	}

	#noteReached(): void {
		if (this.#failingSinceMs !== undefined) {
			this.#deps.logger.info('store reached again', {purpose: 'commit', afterMs: Math.round(this.failingMs)});
			this.#failingSinceMs = undefined;
		}
	}
}
