import {ok, err, type Result} from '@amaranthsail/core';
import type {TableError, TableStore, Transaction} from '@amaranthsail/platform';
import {HEAD, LOG_TABLE, logKeyOf, RECORDS_TABLE, type LogRow} from './config-rows.js';
import type {Head} from './load-config.js';
import {formatRecordId} from './record-document.js';

/** Sends and reads of one change while its outcome is unknown. */
const MAX_COMMIT_ATTEMPTS = 4;

/** What became of a change. */
export type CommitOutcome = 'committed' | 'superseded';

/** Why it is not known, or certain not to have been sent. */
export type CommitError
	= | {readonly kind: 'store_unavailable'; readonly message: string}
		| {readonly kind: 'outcome_unknown'; readonly message: string};

/**
 * Writes head, log row and record in one transaction. After a lost acknowledgement, the log row of the revision
 * settles the question: log rows are never rewritten, so a row with this `writeId` proves the change, and one with
 * another `writeId` proves that it can no longer be accepted. While there is no row, the same transaction is sent again;
 * its conditions let it take effect only once.
 *
 * @param store - The table service.
 * @param head - The head that the change was checked against.
 * @param recordVersion - Version of the record's row that it was checked against; 0 for none.
 * @param entry - The change.
 * @returns Whether the change was accepted, or another one came first.
 */
export async function commitChange(store: TableStore, head: Head, recordVersion: number, entry: LogRow): Promise<Result<CommitOutcome, CommitError>> {
	const transaction = transactionOf(head, recordVersion, entry);
	let mayHaveTakenEffect = false;
	let lastError: TableError | undefined;
	for (let attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt++) {
		const written = await store.transact(transaction);
		if (written.ok) {
			return ok('committed');
		}

		lastError = written.error;
		if (!mayHaveTakenEffect && lastError.kind === 'condition_failed') {
			return ok('superseded');
		}

		if (!mayHaveTakenEffect && lastError.kind !== 'outcome_unknown') {
			return err({kind: 'store_unavailable', message: messageOfTableError(lastError)});
		}

		mayHaveTakenEffect = true;
		const row = await store.get(LOG_TABLE, logKeyOf(entry.revision));
		if (row.ok && row.value) {
			return ok((row.value.value as LogRow).writeId === entry.writeId ? 'committed' : 'superseded');
		}
	}

	return err({kind: 'outcome_unknown', message: messageOfTableError(lastError!)});
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

function transactionOf(head: Head, recordVersion: number, entry: LogRow): Transaction {
	const {revision, writeId} = entry;
	const logKey = logKeyOf(revision);
	const recordKey = formatRecordId(entry.record);
	return {
		writeId,
		conditions: [
			{...HEAD, version: head.version},
			{table: LOG_TABLE, key: logKey, version: 0},
			{table: RECORDS_TABLE, key: recordKey, version: recordVersion},
		],
		writes: [
			{...HEAD, value: {revision, writeId}},
			{table: LOG_TABLE, key: logKey, value: entry},
			{table: RECORDS_TABLE, key: recordKey, value: entry.after},
		],
	};
}
