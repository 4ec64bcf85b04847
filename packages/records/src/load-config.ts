import {err, ok, type Result} from '@amaranthsail/core';
import type {Row, TableError, TableStore} from '@amaranthsail/backing-services';
import {HEAD, RECORDS_TABLE, type HeadRow} from './config-rows.js';
import {formatRecordId} from './record-document.js';
import type {StoredRecord} from './stored-record.js';

/** Rows of one page of a scan. */
const SCAN_PAGE_ROWS = 500;

/** Reads before a load gives up; 1,300 changes a day make even one repetition rare. */
const MAX_LOAD_ATTEMPTS = 5;

/** The head as read. */
export type Head = {
	/** 0 before the first change. */
	readonly revision: number;
	/** Sum of the revisions of all records. */
	readonly revisionSum: number;
	/** Version of the head's row; 0 while it is absent. */
	readonly version: number;
};

/** A stored record and the version of its row. */
export type RecordRow = {readonly record: StoredRecord; readonly version: number};

/** All records at one revision. */
export type LoadedConfig = {
	readonly head: Head;
	/** Withdrawn ones included, by `kind/name`. */
	readonly rows: ReadonlyMap<string, RecordRow>;
};

/** Errors of a load. */
export type LoadError = TableError | {readonly kind: 'moving'; readonly attempts: number};

/**
 * Reads the head.
 *
 * @param store - The table service.
 * @returns The head; revision and version are 0 while there is none.
 */
export async function readHead(store: TableStore): Promise<Result<Head, TableError>> {
	const row = await store.get(HEAD.table, HEAD.key);
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
 * Reads all records at one revision: reads the head, scans, reads the head again and repeats if it moved.
 * Reads may come from older copies, so the records are compared with the head: none may be newer, and their revisions
 * have to add up to the head's sum, which an older or missing record would lower.
 *
 * @param store - The table service.
 * @returns The records, or `moving` when no consistent read succeeded.
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
		if (before.value.version === after.value.version && areAsOf(after.value, rows)) {
			return ok({head: after.value, rows: new Map(rows.map(row => [formatRecordId(row.record), row]))});
		}
	}

	return err({kind: 'moving', attempts: MAX_LOAD_ATTEMPTS});
}

function areAsOf(head: Head, rows: readonly RecordRow[]): boolean {
	const sum = rows.reduce((total, {record}) => total + record.revision, 0);
	return sum === head.revisionSum && rows.every(({record}) => record.revision <= head.revision);
}

async function scanAll(store: TableStore): Promise<Result<readonly Row[], TableError>> {
	const rows: Row[] = [];
	for (;;) {
		const page = await store.scan(RECORDS_TABLE, {after: rows.at(-1)?.key, limit: SCAN_PAGE_ROWS});
		if (!page.ok) {
			return page;
		}

		rows.push(...page.value);
		if (page.value.length < SCAN_PAGE_ROWS) {
			return ok(rows);
		}
	}
}
