import {FINAL_JOB_STATES, type JobRow} from '@amaranthsail/core';
import {OWNER_TABLES} from '@amaranthsail/owner';
import type {MemoryTableStore, Transaction} from '@amaranthsail/backing-services';

/** Records every committed change of a job row, unaffected by injected faults, and reports changes that are not allowed. */
export class JobRowHistory {
	readonly rows = new Map<string, JobRow>();
	readonly violations: string[] = [];

	/**
	 * @param tables - The store whose commits are recorded.
	 */
	constructor(tables: MemoryTableStore) {
		tables.onCommit = transaction => {
			this.#recordTransaction(transaction);
		};
	}

	#recordTransaction(transaction: Transaction): void {
		for (const {table, key, value} of transaction.writes) {
			if (table !== OWNER_TABLES.jobs) {
				continue;
			}

			const previousRow = this.rows.get(key);
			if (!value) {
				this.violations.push(`job ${key} was deleted`);
				continue;
			}

			const row = value as JobRow;
			if (previousRow && FINAL_JOB_STATES.has(previousRow.state)) {
				this.violations.push(`job ${key} changed from ${previousRow.state} to ${row.state} after it had ended`);
			}

			if (previousRow && row.attempt < previousRow.attempt) {
				this.violations.push(`job ${key} went back from attempt ${previousRow.attempt} to ${row.attempt}`);
			}

			this.rows.set(key, row);
		}
	}
}
