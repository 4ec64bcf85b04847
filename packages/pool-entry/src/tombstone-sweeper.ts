import type {Clock, Logger} from '@amaranthsail/core';
import {type PoolStore, type StoredRow, TombstoneRetention} from '@amaranthsail/pool';
import type {ProcessMetrics} from '@amaranthsail/pool-runtime';

/** Each row takes a condition and a removal of the 100 entries that a transaction may have. */
const MAX_ROWS_PER_REMOVAL = 49;

const REMOVAL_TIMEOUT_MS = 1200;

const SWEEP_INTERVAL_MS = 1000;

/** Dependencies of {@link TombstoneSweeper}. */
export type TombstoneSweeperDependencies = {
	readonly store: PoolStore;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: ProcessMetrics;
};

/**
 * Removes tombstones after their retention period.
 *
 * The removals are conditional on the versions of the tombstones instead of that of the leader row, since entries may
 * replace tombstones by jobs. So one that is executed late, or sent by a former leader, removes no job.
 */
export class TombstoneSweeper {
	readonly #deps: TombstoneSweeperDependencies;
	readonly #retention = new TombstoneRetention();
	#dueMs = Number.NEGATIVE_INFINITY;

	/** @param deps - Dependencies. */
	constructor(deps: TombstoneSweeperDependencies) {
		this.#deps = deps;
	}

	/**
	 * Processes a row of the jobs table.
	 *
	 * @param row - The row, as read or as delivered by the feed.
	 * @returns Whether it is a tombstone, and not a job.
	 */
	onRow(row: StoredRow): boolean {
		return this.#retention.onRow(row, this.#deps.clock.monotonicMs());
	}

	/** Removes what is due; called often. What fails is tried again by a later call. */
	async sweep(): Promise<void> {
		const {clock, logger, metrics, store} = this.#deps;
		if (clock.monotonicMs() < this.#dueMs) {
			return;
		}

		// No other sweep begins before this one has ended.
		this.#dueMs = Number.POSITIVE_INFINITY;
		metrics.set('job_tombstones', this.#retention.size);
		try {
			for (;;) {
				const expired = this.#retention.selectExpired(clock.monotonicMs(), MAX_ROWS_PER_REMOVAL);
				if (expired.length === 0) {
					return;
				}

				const removed = await store.transact(expired, expired.map(({table, key}) => ({table, key, value: undefined})), REMOVAL_TIMEOUT_MS);
				if (removed.ok) {
					this.#retention.forget(expired);
					logger.info('tombstones removed', {count: expired.length, kept: this.#retention.size});
				} else if (removed.error.kind === 'condition_failed') {
					const present = new Map(removed.error.rows.map(row => [row.key, row]));
					const replaced = expired.filter(({key, version}) => present.get(key)?.version !== version);
					this.#retention.forget(replaced);
					if (replaced.length === 0) {
						return;
					}
				} else {
					return;
				}
			}
		} finally {
			this.#dueMs = clock.monotonicMs() + SWEEP_INTERVAL_MS;
		}
	}
}
