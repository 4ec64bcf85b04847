import type {Result} from '@amaranthsail/core';

/** Value of a row: a JSON object. */
export type RowValue = Readonly<Record<string, unknown>>;

/** A row as read. */
export type Row<Value = RowValue> = {
	readonly key: string;
	readonly value: Value;
	/** Increases with every write of the row. */
	readonly version: number;
};

/** Condition that a row has this version; version 0 means that the row is absent. */
export type RowCondition = {readonly table: string; readonly key: string; readonly version: number};

/** Write of a row; an undefined value deletes the row. */
export type RowWrite = {readonly table: string; readonly key: string; readonly value: RowValue | undefined};

/** Conditional writes: if all conditions hold, all writes take effect; otherwise none does. */
export type Transaction = {
	readonly writeId: string;
	readonly conditions: readonly RowCondition[];
	readonly writes: readonly RowWrite[];
};

/** Errors of the table service. */
export type TableError
	/** A condition did not hold; nothing was written. */
	= | {readonly kind: 'condition_failed'; readonly failed: readonly RowCondition[]}
	/** The service refused the request, or could not be reached before it was sent; nothing was written. */
		| {readonly kind: 'unavailable'; readonly message: string}
	/** The request was sent and no response was received; it may have taken effect. */
		| {readonly kind: 'outcome_unknown'; readonly message: string}
	/** The service does not understand the request. */
		| {readonly kind: 'rejected'; readonly message: string};

/** The platform's transactional table service. */
export interface TableStore {
	/**
	 * Reads one row.
	 *
	 * @returns The row, or undefined when it is absent.
	 */
	get(table: string, key: string): Promise<Result<Row | undefined, TableError>>;

	/**
	 * Reads rows in key order.
	 *
	 * @param table - The table.
	 * @param options - Key prefix, the key after which to start, and the maximum number of rows.
	 * @returns At most `limit` rows.
	 */
	scan(table: string, options: {readonly prefix?: string; readonly after?: string; readonly limit: number}): Promise<Result<readonly Row[], TableError>>;

	/**
	 * Applies a transaction.
	 *
	 * @returns The new version of each written row, in the order of `writes`; 0 for a deleted row.
	 */
	transact(transaction: Transaction): Promise<Result<readonly number[], TableError>>;
}
