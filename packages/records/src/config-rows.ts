import type {RecordId} from './record-document.js';
import type {StoredRecord} from './stored-record.js';

/** Table and key of the row that holds the latest revision. */
export const HEAD_ROW = {table: 'config', key: 'head'} as const;

/** Table of the change log. */
export const LOG_TABLE = 'config_log';

/** Table of the current records. */
export const RECORDS_TABLE = 'records';

/** Table of the running processes, one row each. */
export const MEMBERS_TABLE = 'members';

/** Digits of a log key; enough for 1,300 changes a day over two million years, and sortable as text. */
const LOG_KEY_DIGITS = 12;

/** The row `config/head`. */
export type HeadRow = {
	readonly revision: number;
	/** Sum of the revisions of all records; shows whether a scan returned every record as of this revision. */
	readonly revisionSum: number;
	readonly writeId: string;
};

/** One changed field of a log row. */
export type FieldChange = {
	readonly field: string;
	/** Value before; absent when the field was not set. */
	readonly from?: unknown;
	/** Value after; absent when the field was removed. */
	readonly to?: unknown;
	/** Owner before; absent for a field that never existed. */
	readonly previousOwner?: string;
};

/** The row `config_log/{revision}`. */
export type LogRow = {
	readonly revision: number;
	readonly writeId: string;
	readonly operator: string;
	/** Wall-clock time of the change, for display only. */
	readonly atMs: number;
	readonly action: 'submit' | 'withdraw';
	readonly record: RecordId;
	readonly changes: readonly FieldChange[];
	/** The whole record after the change. */
	readonly after: StoredRecord;
};

/**
 * Formats the key of a log row.
 *
 * @param revision - The revision.
 * @returns The zero-padded revision, so that keys sort by revision.
 */
export function logKeyOf(revision: number): string {
	return String(revision).padStart(LOG_KEY_DIGITS, '0');
}
