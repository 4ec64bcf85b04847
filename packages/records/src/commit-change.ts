import {ok, err, type Result} from '@amaranthsail/core';
import {
	commitDurably, type CommitOptions, type TableError, type TableStore, type Transaction,
} from '@amaranthsail/backing-services';
import {HEAD, LOG_TABLE, logKeyOf, RECORDS_TABLE, type LogRow} from './config-rows.js';
import type {Head, RecordRow} from './load-config.js';
import {formatRecordId} from './record-document.js';

/** Reads of the log row while the outcome of a change is unknown; more than one, since a read may come from an older copy. */
const MAX_LOG_READS = 4;

/** What a change was checked against. */
export type CommitBase = {
	readonly head: Head;
	/** The record's row; undefined when there is none. */
	readonly row: RecordRow | undefined;
};

/** What became of a change. */
export type CommitOutcome = 'committed' | 'superseded';

/** Why a change was not written, or why that is not known. */
export type CommitError = {readonly kind: 'unavailable' | 'rejected' | 'outcome_unknown'; readonly message: string};

/**
 * Writes head, log row and record in one transaction. Where reading back the rows leaves the outcome unknown, the log row
 * of the revision settles it: log rows are never rewritten, so a row with this `writeId` proves the change, and one with
 * another `writeId` proves that it can no longer be accepted.
 *
 * @param store - The table service.
 * @param base - What the change was checked against.
 * @param entry - The change.
 * @param options - Clock, randomness and bounds of the retries.
 * @returns Whether the change was accepted, or another one came first.
 */
export async function commitChange(store: TableStore, base: CommitBase, entry: LogRow, options: CommitOptions): Promise<Result<CommitOutcome, CommitError>> {
	const written = await commitDurably(store, transactionOf(base, entry), options);
	if (written.ok) {
		return ok('committed');
	}

	const {error} = written;
	if (error.kind === 'unavailable' || error.kind === 'rejected') {
		return err({kind: error.kind, message: messageOfTableError(error)});
	}

	// Without a log row of this revision, another changed row keeps the transaction from ever taking effect.
	if (error.kind === 'condition_failed' && !error.failed.some(({table}) => table === LOG_TABLE)) {
		return ok('superseded');
	}

	for (let read = 0; read < MAX_LOG_READS; read++) {
		const row = await store.get(LOG_TABLE, logKeyOf(entry.revision));
		if (row.ok && row.value) {
			return ok((row.value.value as LogRow).writeId === entry.writeId ? 'committed' : 'superseded');
		}
	}

	return err({kind: 'outcome_unknown', message: messageOfTableError(error)});
}

/**
 * Formats an error of the table service.
 *
 * @param error - The error.
 * @returns One sentence.
 */
export function messageOfTableError(error: TableError): string {
	return error.kind === 'condition_failed'
		? `the table service refused conditions on ${error.failed.map(({table, key}) => `${table}/${key}`).join(', ')}`
		: `the table service answered ${error.kind}: ${error.message}`;
}

function transactionOf({head, row}: CommitBase, entry: LogRow): Transaction {
	const {revision, writeId} = entry;
	const logKey = logKeyOf(revision);
	const revisionSum = head.revisionSum + revision - (row?.record.revision ?? 0);
	const recordKey = formatRecordId(entry.record);
	return {
		writeId,
		conditions: [
			{...HEAD, version: head.version},
			{table: LOG_TABLE, key: logKey, version: 0},
			{table: RECORDS_TABLE, key: recordKey, version: row?.version ?? 0},
		],
		writes: [
			{...HEAD, value: {revision, revisionSum, writeId}},
			{table: LOG_TABLE, key: logKey, value: entry},
			{table: RECORDS_TABLE, key: recordKey, value: entry.after},
		],
	};
}
