import {err, ok, type Result} from '@amaranthsail/core';
import type {Row, TableError, TableStore} from '@amaranthsail/backing-services';
import {HEAD_ROW, RECORDS_TABLE, type HeadRow} from './config-rows.js';
import {formatRecordId} from './record-document.js';
import type {StoredRecord} from './stored-record.js';

/** Rows of one page of a scan. */
const MAX_SCAN_PAGE_ROWS = 500;

/** Attempts to read a consistent set of records; at 1,300 changes a day even a second attempt is rare. */
const MAX_LOAD_ATTEMPTS = 5;

/** The row `config/head` as read. */
export type Head = {
	/** 0 before the first change. */
	readonly revision: number;
	/** Sum of the revisions of all records. */
	readonly revisionSum: number;
	/** Version of the row; 0 while it is absent. */
	readonly version: number;
};

/** A stored record and the version of its row. */
export type RecordRow = {readonly record: StoredRecord; readonly version: number};

/** All records at one revision. */
export type LoadedConfig = {
	readonly head: Head;
	/** All rows, withdrawn records included, by `kind/name`. */
	readonly rows: ReadonlyMap<string, RecordRow>;
};

/** Errors of a load; `moving` means that no attempt read a consistent set of records. */
export type LoadError = TableError | {readonly kind: 'moving'; readonly attempts: number};

/**
 * Reads the head.
 *
 * @param store - The table service.
 * @returns The head; revision and version are 0 while the row is absent.
 */
export async function readHead(store: TableStore): Promise<Result<Head, TableError>> {
	const row = await store.get(HEAD_ROW.table, HEAD_ROW.key);
	if (!row.ok) {
		return row;
	}

	if (!row.value) {
		return ok({revision: 0, revisionSum: 0, version: 0});
	}

	const {revision, revisionSum} = row.value.value as HeadRow;
	return ok({revision, revisionSum, version: row.value.version});
}

/**
 * Reads all records at one revision: reads the head, scans, reads the head again, and repeats if it has changed.
 * Reads may be stale, so the records are compared with the head: none may be newer, and their revisions
 * must add up to the head's sum, which a stale or missing record would lower.
 *
 * @param store - The table service.
 * @returns The records, or `moving` when no attempt read a consistent set.
 */
export async function loadConfig(store: TableStore): Promise<Result<LoadedConfig, LoadError>> {
	for (let attempt = 0; attempt < MAX_LOAD_ATTEMPTS; attempt++) {
		const before = await readHead(store);
		if (!before.ok) {
			return before;
		}

		const scanned = await scanAll(store);
		if (!scanned.ok) {
			return scanned;
		}

		const after = await readHead(store);
		if (!after.ok) {
			return after;
		}

		const rows = scanned.value.map((row): RecordRow => ({record: row.value as StoredRecord, version: row.version}));
		if (before.value.version === after.value.version && areConsistentWithHead(after.value, rows)) {
			return ok({head: after.value, rows: new Map(rows.map(row => [formatRecordId(row.record), row]))});
		}
	}

	return err({kind: 'moving', attempts: MAX_LOAD_ATTEMPTS});
}

function areConsistentWithHead(head: Head, rows: readonly RecordRow[]): boolean {
	const sum = rows.reduce((total, {record}) => total + record.revision, 0);
	return sum === head.revisionSum && rows.every(({record}) => record.revision <= head.revision);
}

async function scanAll(store: TableStore): Promise<Result<readonly Row[], TableError>> {
	const rows: Row[] = [];
	for (;;) {
		const page = await store.scan(RECORDS_TABLE, {after: rows.at(-1)?.key, limit: MAX_SCAN_PAGE_ROWS});
		if (!page.ok) {
			return page;
		}

		rows.push(...page.value);
		if (page.value.length < MAX_SCAN_PAGE_ROWS) {
			return ok(rows);
		}
	}
}
