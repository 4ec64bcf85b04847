import {ok, err, type Result} from '@amaranthsail/core';
import {
	commitWithRetries, type CommitOptions, type TableError, type TableStore, type Transaction,
} from '@amaranthsail/backing-services';
import {HEAD_ROW, LOG_TABLE, logKeyOf, RECORDS_TABLE, type LogRow} from './config-rows.js';
import type {Head, RecordRow} from './load-config.js';
import {formatRecordId} from './record-document.js';

/** Reads of the log row while the outcome of a change is unknown; more than one, since a read may be stale. */
const MAX_LOG_ROW_READS = 4;

/** The rows that a change was checked against. */
export type CommitBase = {
	readonly head: Head;
	/** The row of the record; undefined when there is none. */
	readonly row: RecordRow | undefined;
};

/** Whether a change was written, or another change came first. */
export type CommitOutcome = 'committed' | 'superseded';

/** Why a change was not written, or why its outcome is unknown. */
export type CommitError = {readonly kind: 'unavailable' | 'rejected' | 'outcome_unknown'; readonly message: string};

/**
 * Writes head, log row and record in one transaction. If the outcome is still unknown after the rows were read back, the log row
 * of the revision decides: log rows are never rewritten, so a row with this `writeId` proves that the change was accepted, and a row
 * with another `writeId` proves that it can no longer be accepted.
 *
 * @param store - The table service.
 * @param base - The rows that the change was checked against.
 * @param logRow - The log row of the change.
 * @param options - Clock, randomness and bounds of the retries.
 * @returns Whether the change was accepted or another change came first.
 */
export async function commitChange(store: TableStore, base: CommitBase, logRow: LogRow, options: CommitOptions): Promise<Result<CommitOutcome, CommitError>> {
	const written = await commitWithRetries(store, transactionOf(base, logRow), options);
	if (written.ok) {
		return ok('committed');
	}

	const {error} = written;
	if (error.kind === 'unavailable' || error.kind === 'rejected') {
		return err({kind: error.kind, message: formatTableError(error)});
	}

	// No log row of this revision exists, and the version of another row has changed, so the transaction can no longer take effect.
	if (error.kind === 'condition_failed' && !error.failed.some(({table}) => table === LOG_TABLE)) {
		return ok('superseded');
	}

	for (let readCount = 0; readCount < MAX_LOG_ROW_READS; readCount++) {
		const storedLogRow = await store.get(LOG_TABLE, logKeyOf(logRow.revision));
		if (storedLogRow.ok && storedLogRow.value) {
			return ok((storedLogRow.value.value as LogRow).writeId === logRow.writeId ? 'committed' : 'superseded');
		}
	}

	return err({kind: 'outcome_unknown', message: formatTableError(error)});
}

/**
 * Formats an error of the table service.
 *
 * @param error - The error.
 * @returns The message, in one sentence.
 */
export function formatTableError(error: TableError): string {
	return error.kind === 'condition_failed'
		? `the table service refused conditions on ${error.failed.map(({table, key}) => `${table}/${key}`).join(', ')}`
		: `the table service answered ${error.kind}: ${error.message}`;
}

function transactionOf({head, row}: CommitBase, logRow: LogRow): Transaction {
	const {revision, writeId} = logRow;
	const logKey = logKeyOf(revision);
	const revisionSum = head.revisionSum + revision - (row?.record.revision ?? 0);
	const recordKey = formatRecordId(logRow.record);
	return {
		writeId,
		conditions: [
			{...HEAD_ROW, version: head.version},
			{table: LOG_TABLE, key: logKey, version: 0},
			{table: RECORDS_TABLE, key: recordKey, version: row?.version ?? 0},
		],
		writes: [
			{...HEAD_ROW, value: {revision, revisionSum, writeId}},
			{table: LOG_TABLE, key: logKey, value: logRow},
			{table: RECORDS_TABLE, key: recordKey, value: logRow.after},
		],
	};
}
