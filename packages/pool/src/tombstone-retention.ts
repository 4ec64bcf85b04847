import type {RowCondition, StoredRow} from './ports.js';
import {decodeCancelledBy} from './job-tombstone.js';

/**
 * Time for which a tombstone is kept. The store executes a delayed write within seconds, and callers repeat requests
 * for as long as the states of their jobs can be queried, which is at least 120 s.
 */
export const TOMBSTONE_RETENTION_MS = 120_000;

/** Tracks the tombstones in the jobs table and selects those whose retention period has passed. */
export class TombstoneRetention {
	/** By key, in the order of `knownSinceMs`. */
	readonly #tombstones = new Map<string, {readonly table: string; readonly version: number; readonly knownSinceMs: number}>();

	/** Number of tracked tombstones. */
	get size(): number {
		return this.#tombstones.size;
	}

	/**
	 * Processes a row of the jobs table, which may replace or remove a tombstone.
	 *
	 * @param row - The row; versions of one key may arrive more than once, but in order.
	 * @param nowMs - Leader's clock.
	 * @returns Whether the row is a tombstone, and not a job.
	 */
	onRow({table, key, value, version, isRemoved}: StoredRow, nowMs: number): boolean {
		const isTombstone = !isRemoved && decodeCancelledBy(value) !== undefined;
		if (isTombstone && this.#tombstones.get(key)?.version === version) {
			return true;
		}

		this.#tombstones.delete(key);
		if (isTombstone) {
			this.#tombstones.set(key, {table, version, knownSinceMs: nowMs});
		}

		return isTombstone;
	}

	/**
	 * Selects tombstones to remove, the oldest first.
	 *
	 * @param nowMs - Leader's clock.
	 * @param count - Largest number of rows.
	 * @returns The rows with the versions that they must still have at their removal, as a caller of another account may
	 * have replaced them by its job.
	 */
	selectExpired(nowMs: number, count: number): readonly RowCondition[] {
		const expired: RowCondition[] = [];
		for (const [key, {table, version, knownSinceMs}] of this.#tombstones) {
			if (expired.length >= count || nowMs - knownSinceMs < TOMBSTONE_RETENTION_MS) {
				break;
			}

			expired.push({table, key, version});
		}

		return expired;
	}

	/** @param rows - Rows, by the versions that are no longer stored. */
	forget(rows: readonly RowCondition[]): void {
		for (const {key, version} of rows) {
			if (this.#tombstones.get(key)?.version === version) {
				this.#tombstones.delete(key);
			}
		}
	}
}
