import {err, ok, type Result} from '@amaranthsail/core';
import type {
	Row, RowValue, TableError, TableStore, Transaction,
} from '@amaranthsail/platform';

/** A fault that the next transaction meets. */
export type TransactFault = 'lost_answer' | 'lost_request' | 'unavailable';

const TABLE_SEPARATOR = '\u0000';

function cloned<Value>(value: Value): Value {
	return structuredClone(value);
}

/** A table store in memory that can lose answers and requests and answer reads from an older copy. */
export class FaultyTableStore implements TableStore {
	/** Faults of the next transactions, in order; undefined for none. */
	readonly transactFaults: Array<TransactFault | undefined> = [];
	/** Runs once before the next transaction takes effect, as another process would. */
	beforeTransact: (() => Promise<void>) | undefined;
	/** Called with each transaction that took effect. */
	onCommit: ((transaction: Transaction) => void) | undefined;
	/** When set, reads come from this copy. */
	#stale: ReadonlyMap<string, Row> | undefined;
	readonly #rows = new Map<string, Row>();
	#version = 0;

	/** Keeps a copy of all rows. */
	copy(): ReadonlyMap<string, Row> {
		return new Map(this.#rows);
	}

	/** Answers reads from a copy, or from the rows again when undefined. */
	readFrom(copy: ReadonlyMap<string, Row> | undefined): void {
		this.#stale = copy;
	}

	/** Removes a row, as no transaction of the code under test would. */
	drop(table: string, key: string): void {
		this.#rows.delete(`${table}${TABLE_SEPARATOR}${key}`);
	}

	async get(table: string, key: string): Promise<Result<Row | undefined, TableError>> {
		return ok(cloned((this.#stale ?? this.#rows).get(`${table}${TABLE_SEPARATOR}${key}`)));
	}

	async scan(table: string, options: {readonly prefix?: string; readonly after?: string; readonly limit: number}): Promise<Result<readonly Row[], TableError>> {
		const rows = [...(this.#stale ?? this.#rows)]
			.filter(([id, row]) => id.startsWith(`${table}${TABLE_SEPARATOR}`)
				&& row.key.startsWith(options.prefix ?? '') && (options.after === undefined || row.key > options.after))
			.map(([, row]) => row)
			.toSorted((left, right) => (left.key < right.key ? -1 : 1));
		return ok(cloned(rows.slice(0, options.limit)));
	}

	async transact(transaction: Transaction): Promise<Result<readonly number[], TableError>> {
		const fault = this.transactFaults.shift();
		const intrude = this.beforeTransact;
		this.beforeTransact = undefined;
		await intrude?.();
		if (fault === 'unavailable') {
			return err({kind: 'unavailable', message: 'refused'});
		}

		if (fault === 'lost_request') {
			return err({kind: 'outcome_unknown', message: 'no answer'});
		}

		const result = this.#apply(cloned(transaction));
		return fault === 'lost_answer' ? err({kind: 'outcome_unknown', message: 'no answer'}) : result;
	}

	#apply(transaction: Transaction): Result<readonly number[], TableError> {
		const failed = transaction.conditions.filter(({table, key, version}) => (this.#rows.get(`${table}${TABLE_SEPARATOR}${key}`)?.version ?? 0) !== version);
		if (failed.length > 0) {
			return err({kind: 'condition_failed', failed});
		}

		const versions = transaction.writes.map(({table, key, value}) => this.#write(`${table}${TABLE_SEPARATOR}${key}`, key, value));
		this.onCommit?.(transaction);
		return ok(versions);
	}

	#write(id: string, key: string, value: RowValue | undefined): number {
		if (value === undefined) {
			this.#rows.delete(id);
			return 0;
		}

		this.#version++;
		// Values pass through JSON, as they do on the wire, so that undefined properties are dropped.
		const text = JSON.stringify(value);
		this.#rows.set(id, {key, value: JSON.parse(text) as RowValue, version: this.#version});
		return this.#version;
	}
}
