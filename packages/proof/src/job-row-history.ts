import {FINAL_JOB_STATES, type JobRow} from '@amaranthsail/core';
import {OWNER_TABLES} from '@amaranthsail/owner';
import type {MemoryTableStore, Transaction} from '@amaranthsail/backing-services';

/** Watches what really happens to job rows, below all faults, and notes changes that must not be. */
export class RowHistory {
	readonly rows = new Map<string, JobRow>();
	readonly violations: string[] = [];

	/**
	 * @param tables - The store to watch.
	 */
	constructor(tables: MemoryTableStore) {
		tables.onCommit = transaction => {
			this.#observe(transaction);
		};
	}

	#observe(transaction: Transaction): void {
		for (const {table, key, value} of transaction.writes) {
			if (table !== OWNER_TABLES.jobs) {
				continue;
			}

			const before = this.rows.get(key);
			if (!value) {
				this.violations.push(`job ${key} was deleted`);
				continue;
			}

			const after = value as JobRow;
			if (before && FINAL_JOB_STATES.has(before.state)) {
				this.violations.push(`job ${key} changed from ${before.state} to ${after.state} after its end`);
			}

			if (before && after.attempt < before.attempt) {
				this.violations.push(`job ${key} went back from attempt ${before.attempt} to ${after.attempt}`);
			}

			this.rows.set(key, after);
		}
	}
}
