import {err, ok, type Result} from '@amaranthsail/core';
import type {
	Row, RowValue, TableError, TableStore, Transaction,
} from '@amaranthsail/backing-services';

/** How the store handles requests. */
export type StoreFault = 'none' | 'down' | 'loseAcknowledgement' | 'loseRequest';

/** An in-memory table store with injectable faults. */
export class MemoryTables implements TableStore {
	fault: StoreFault = 'none';
	readonly transactions: Transaction[] = [];
	readonly #rows = new Map<string, Row>();
	#version = 0;

	row(table: string, key: string): Row | undefined {
		return this.#rows.get(`${table}|${key}`);
	}

	apply(transaction: Transaction): Result<readonly number[], TableError> {
		if (this.fault === 'down') {
			return err({kind: 'unavailable', message: 'down'});
		}

		if (this.fault === 'loseRequest') {
			return err({kind: 'outcome_unknown', message: 'lost request'});
		}

		const failed = transaction.conditions.filter(({table, key, version}) => (this.row(table, key)?.version ?? 0) !== version);
		if (failed.length > 0) {
			return err({kind: 'condition_failed', failed});
		}

		this.transactions.push(transaction);
		const versions = transaction.writes.map(({table, key, value}) => this.#put(table, key, value));
		return this.fault === 'loseAcknowledgement' ? err({kind: 'outcome_unknown', message: 'lost acknowledgement'}) : ok(versions);
	}

	async get(table: string, key: string): Promise<Result<Row | undefined, TableError>> {
		return this.fault === 'down' ? err({kind: 'unavailable', message: 'down'}) : ok(this.row(table, key));
	}

	async scan(table: string, options: {readonly prefix?: string; readonly after?: string; readonly limit: number}): Promise<Result<readonly Row[], TableError>> {
		if (this.fault === 'down') {
			return err({kind: 'unavailable', message: 'down'});
		}

		const rows = [...this.#rows].filter(([name]) => name.startsWith(`${table}|${options.prefix ?? ''}`)).map(([, row]) => row);
		const sorted = rows.toSorted((a, b) => a.key < b.key ? -1 : 1).filter(({key}) => key > (options.after ?? ''));
		return ok(sorted.slice(0, options.limit));
	}

	async transact(transaction: Transaction): Promise<Result<readonly number[], TableError>> {
		return this.apply(transaction);
	}

	#put(table: string, key: string, value: RowValue | undefined): number {
		const name = `${table}|${key}`;
		if (value === undefined) {
			this.#rows.delete(name);
			return 0;
		}

		this.#version += 1;
		this.#rows.set(name, {key, value, version: this.#version});
		return this.#version;
	}
}
