import {Buffer} from 'node:buffer';
import {err, ok, type Result} from '@amaranthsail/core';
import {type Fault, FaultPlan} from './fault-plan.js';
import type {
	Row, RowCondition, RowValue, TableError, TableStore, Transaction,
} from './table-store.js';

/** Longest JSON text of a row's value. */
export const MAX_ROW_BYTES = 256 * 1024;

/** Most conditions, and most writes, of one transaction. */
export const MAX_TRANSACTION_ROWS = 100;

type Content = {readonly text: string; readonly version: number};

type StoredRow = {
	/** Counts every write, deletions included, so that no version returns after a deletion. */
	counter: number;
	current: Content | undefined;
	/** The row before its last write, for stale reads. */
	previous: Content | undefined;
};

type StoredTable = {
	readonly rows: Map<string, StoredRow>;
	/** The keys of all rows in order; those of deleted rows stay, as their counters do. */
	readonly sortedKeys: string[];
};

/** Table service in memory, with faults on request. */
export class MemoryTableStore implements TableStore {
	/** The faults of this store. */
	readonly faults: FaultPlan;
	/** Called after each transaction that takes effect, whatever its caller learns; lets a test see what really happened. */
	onCommit: ((transaction: Transaction) => void) | undefined;
	readonly #tables = new Map<string, StoredTable>();

	/**
	 * @param faults - Decides which operations fail; none by default.
	 */
	constructor(faults: FaultPlan = new FaultPlan()) {
		this.faults = faults;
	}

	/**
	 * Reads one row.
	 *
	 * @param table - The table.
	 * @param key - The key of the row.
	 * @returns The row, or undefined when it is absent.
	 */
	async get(table: string, key: string): Promise<Result<Row | undefined, TableError>> {
		return this.faults.run({
			service: 'tables', operation: 'get', key: `${table}/${key}`, hasEffect: false,
		}, fault => ok(readRow(key, this.#tables.get(table)?.rows.get(key), fault)));
	}

	/**
	 * Reads rows in the order of their keys' UTF-16 code units.
	 *
	 * @param table - The table.
	 * @param options - Key prefix, the key after which to start, and the largest number of rows.
	 * @returns The rows.
	 */
	async scan(
		table: string,
		options: {readonly prefix?: string; readonly after?: string; readonly limit: number},
	): Promise<Result<readonly Row[], TableError>> {
		return this.faults.run({
			service: 'tables', operation: 'scan', key: table, hasEffect: false,
		}, fault => ok(this.#scan(table, options, fault)));
	}

	/**
	 * Applies a transaction. A write id that was applied before is not recognised.
	 *
	 * @param transaction - Conditions and writes.
	 * @returns The new version of each written row; 0 for a deleted row.
	 */
	async transact(transaction: Transaction): Promise<Result<readonly number[], TableError>> {
		return this.faults.run({
			service: 'tables', operation: 'transact', key: transaction.writeId, hasEffect: true,
		}, () => this.#apply(transaction));
	}

	#scan(table: string, options: {readonly prefix?: string; readonly after?: string; readonly limit: number}, fault: Fault): readonly Row[] {
		const stored = this.#tables.get(table);
		if (!stored) {
			return [];
		}

		const prefix = options.prefix ?? '';
		let firstKey = options.after ?? '';
		if (firstKey < prefix) {
			firstKey = prefix;
		}

		const rows: Row[] = [];
		for (let index = lowerBound(stored.sortedKeys, firstKey); index < stored.sortedKeys.length && rows.length < options.limit; index += 1) {
			const key = stored.sortedKeys[index]!;
			if (!key.startsWith(prefix)) {
				// Keys with the prefix are adjacent; a start after all of them, or a key past them, ends the scan.
				break;
			}

			const row = key === options.after ? undefined : readRow(key, stored.rows.get(key), fault);
			if (row) {
				rows.push(row);
			}
		}

		return rows;
	}

	#apply(transaction: Transaction): Result<readonly number[], TableError> {
		const problem = problemOf(transaction);
		if (problem !== undefined) {
			return err({kind: 'rejected', message: problem});
		}

		const failed = transaction.conditions.filter(condition => this.#versionOf(condition) !== condition.version);
		if (failed.length > 0) {
			return err({kind: 'condition_failed', failed});
		}

		const versions = transaction.writes.map(({table, key, value}) => this.#write(table, key, value));
		this.onCommit?.(transaction);
		return ok(versions);
	}

	#versionOf(condition: RowCondition): number {
		return this.#tables.get(condition.table)?.rows.get(condition.key)?.current?.version ?? 0;
	}

	#write(table: string, key: string, value: RowValue | undefined): number {
		let stored = this.#tables.get(table);
		if (!stored) {
			stored = {rows: new Map(), sortedKeys: []};
			this.#tables.set(table, stored);
		}

		let row = stored.rows.get(key);
		if (!row) {
			row = {counter: 0, current: undefined, previous: undefined};
			stored.rows.set(key, row);
			stored.sortedKeys.splice(lowerBound(stored.sortedKeys, key), 0, key);
		}

		row.counter += 1;
		row.previous = row.current;
		row.current = value === undefined ? undefined : {text: JSON.stringify(value), version: row.counter};
		return row.current?.version ?? 0;
	}
}

function readRow(key: string, stored: StoredRow | undefined, fault: Fault): Row | undefined {
	const content = fault.kind === 'stale_read' ? stored?.previous : stored?.current;
	return content && {key, value: JSON.parse(content.text) as RowValue, version: content.version};
}

function problemOf(transaction: Transaction): string | undefined {
	if (transaction.conditions.length > MAX_TRANSACTION_ROWS || transaction.writes.length > MAX_TRANSACTION_ROWS) {
		return `a transaction has at most ${MAX_TRANSACTION_ROWS} conditions and ${MAX_TRANSACTION_ROWS} writes`;
	}

	const written = new Set(transaction.writes.map(({table, key}) => JSON.stringify([table, key])));
	if (written.size < transaction.writes.length) {
		return 'a transaction writes each row once';
	}

	const tooLong = transaction.writes.find(({value}) => value !== undefined && Buffer.byteLength(JSON.stringify(value)) > MAX_ROW_BYTES);
	return tooLong && `the value of ${tooLong.table}/${tooLong.key} is longer than ${MAX_ROW_BYTES} bytes`;
}

function lowerBound(sortedKeys: readonly string[], key: string): number {
	let low = 0;
	let high = sortedKeys.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (sortedKeys[middle]! < key) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}
