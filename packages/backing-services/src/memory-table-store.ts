import {Buffer} from 'node:buffer';
import {err, ok, type Result} from '@amaranthsail/core';
import {type Fault, FaultPlan} from './fault-plan.js';
import type {
	Row, RowCondition, RowValue, TableError, TableStore, Transaction,
} from './table-store.js';

/** Maximum length of a row's value as JSON. */
export const MAX_ROW_BYTES = 256 * 1024;

/** Maximum number of conditions, and of writes, of one transaction. */
export const MAX_TRANSACTION_ROWS = 100;

type RowContent = {readonly text: string; readonly version: number};

type StoredRow = {
	/** Number of writes, deletions included, so that no version repeats after a deletion. */
	writeCount: number;
	current: RowContent | undefined;
	/** The content before the last write, for stale reads. */
	previous: RowContent | undefined;
};

type StoredTable = {
	readonly rows: Map<string, StoredRow>;
	/** The keys of all rows in order, deleted rows included, as their write counts are kept. */
	readonly sortedKeys: string[];
};

/** In-memory table service with injected faults. */
export class MemoryTableStore implements TableStore {
	/** The fault plan of this store. */
	readonly faults: FaultPlan;
	/** Called after each transaction that takes effect, even if its caller gets an error; lets a test observe the actual changes. */
	onCommit: ((transaction: Transaction) => void) | undefined;
	readonly #tables = new Map<string, StoredTable>();

	/**
	 * @param faults - Injects faults; none by default.
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
	 * @param options - Key prefix, the key after which to start, and the maximum number of rows.
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
	 * Applies a transaction. A transaction with a write id that was already applied is applied again.
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
				// Keys with the prefix are adjacent, so the first key without it ends the scan.
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
		const rejectionReason = rejectionReasonOf(transaction);
		if (rejectionReason !== undefined) {
			return err({kind: 'rejected', message: rejectionReason});
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
			row = {writeCount: 0, current: undefined, previous: undefined};
			stored.rows.set(key, row);
			stored.sortedKeys.splice(lowerBound(stored.sortedKeys, key), 0, key);
		}

		row.writeCount += 1;
		row.previous = row.current;
		row.current = value === undefined ? undefined : {text: JSON.stringify(value), version: row.writeCount};
		return row.current?.version ?? 0;
	}
}

function readRow(key: string, stored: StoredRow | undefined, fault: Fault): Row | undefined {
	const content = fault.kind === 'stale_read' ? stored?.previous : stored?.current;
	return content && {key, value: JSON.parse(content.text) as RowValue, version: content.version};
}

function rejectionReasonOf(transaction: Transaction): string | undefined {
	if (transaction.conditions.length > MAX_TRANSACTION_ROWS || transaction.writes.length > MAX_TRANSACTION_ROWS) {
		return `a transaction has at most ${MAX_TRANSACTION_ROWS} conditions and ${MAX_TRANSACTION_ROWS} writes`;
	}

	const written = new Set(transaction.writes.map(({table, key}) => JSON.stringify([table, key])));
	if (written.size < transaction.writes.length) {
		return 'a transaction writes each row once';
	}

	const oversizedWrite = transaction.writes.find(({value}) => value !== undefined && Buffer.byteLength(JSON.stringify(value)) > MAX_ROW_BYTES);
	return oversizedWrite && `the value of ${oversizedWrite.table}/${oversizedWrite.key} is longer than ${MAX_ROW_BYTES} bytes`;
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
