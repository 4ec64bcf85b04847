import {
	err, ok, type Clock, type Result,
} from '@amaranthsail/core';
import {backoffDelayMs, type BackoffOptions} from './backoff.js';
import type {
	RowCondition, RowWrite, TableError, TableStore, Transaction,
} from './table-store.js';

/** Settings of {@link commitWithRetries}. */
export type CommitOptions = BackoffOptions & {
	readonly clock: Clock;
	/** Waits for a number of milliseconds. */
	readonly wait: (delayMs: number) => Promise<void>;
	/** Maximum number of attempts; 5 when absent. */
	readonly maxAttempts?: number;
	/** Time after which no further attempt starts; 5,000 ms when absent. */
	readonly maxDurationMs?: number;
};

/** Version of each written row, in the order of `writes`; 0 for a deletion, undefined when the row could not be read back or has been written again. */
export type CommittedVersions = ReadonlyArray<number | undefined>;

/**
 * Applies a transaction with retries, and determines its outcome when a response is lost.
 *
 * The write id is stored in the field `writeId` of every written value. A row with this id proves the commit, even if the read is stale.
 * Its absence proves nothing: the row may have been written again, the read may be stale, or the request may still be in flight.
 * After a lost response, "not written" is therefore concluded only from a later refusal of the same transaction that shows both
 * that it has not taken effect (a row that it writes still has its earlier version) and that it no longer can (another condition failed
 * on a version, and versions do not repeat). A failed condition on an absent row is no such proof, as the row can be deleted.
 *
 * After a lost response a transaction is sent again only if one of its conditions is on a row that it writes, so that it cannot take effect twice.
 *
 * @param store - The table service.
 * @param transaction - Conditions and writes.
 * @param options - Clock, randomness and bounds.
 * @returns The versions when it was certainly written; `condition_failed`, `unavailable` or `rejected` when it was certainly not written
 * and will not be; `outcome_unknown` otherwise.
 */
export async function commitWithRetries(store: TableStore, transaction: Transaction, options: CommitOptions): Promise<Result<CommittedVersions, TableError>> {
	const taggedTransaction = addWriteId(transaction);
	const startMs = options.clock.monotonicMs();
	const maxAttempts = options.maxAttempts ?? 5;
	const canRepeat = isRepeatable(taggedTransaction);
	let lastMessage = '';
	let mayHaveBeenWritten = false;
	for (let attempt = 1; ; attempt += 1) {
		if (!mayHaveBeenWritten || canRepeat) {
			const result = await store.transact(taggedTransaction);
			if (result.ok) {
				return result;
			}

			if (isFinal(result.error, taggedTransaction, mayHaveBeenWritten)) {
				// The network can deliver one request twice, and the response can be that to the second delivery.
				const versions = result.error.kind === 'condition_failed' && !mayHaveBeenWritten ? await readBack(store, taggedTransaction) : undefined;
				return versions ? ok(versions) : result;
			}

			mayHaveBeenWritten ||= result.error.kind === 'outcome_unknown';
			lastMessage = 'message' in result.error ? result.error.message : 'a condition failed after an answer was lost';
		}

		const versions = mayHaveBeenWritten ? await readBack(store, taggedTransaction) : undefined;
		if (versions) {
			return ok(versions);
		}

		const delayMs = backoffDelayMs(attempt, options);
		if (attempt >= maxAttempts || options.clock.monotonicMs() + delayMs - startMs > (options.maxDurationMs ?? 5000)) {
			return err({kind: mayHaveBeenWritten ? 'outcome_unknown' : 'unavailable', message: lastMessage});
		}

		await options.wait(delayMs);
	}
}

function addWriteId(transaction: Transaction): Transaction {
	return {
		...transaction,
		writes: transaction.writes.map(write => ({...write, value: write.value && {...write.value, writeId: transaction.writeId}})),
	};
}

function isRepeatable(transaction: Transaction): boolean {
	return transaction.writes.some(write => {
		const condition = conditionOf(transaction, write);
		return condition !== undefined && (condition.version > 0 || write.value !== undefined);
	});
}

/** Checks whether an error is final: nothing was written, and no earlier request can still take effect. */
function isFinal(error: TableError, transaction: Transaction, mayHaveBeenWritten: boolean): boolean {
	if (error.kind === 'rejected') {
		return !mayHaveBeenWritten;
	}

	if (error.kind !== 'condition_failed') {
		return false;
	}

	return !mayHaveBeenWritten || (error.failed.some(({version}) => version > 0) && transaction.writes.some(write => {
		const condition = conditionOf(transaction, write);
		return condition !== undefined && condition.version > 0 && !error.failed.some(failed => isSameRow(failed, condition));
	}));
}

async function readBack(store: TableStore, transaction: Transaction): Promise<CommittedVersions | undefined> {
	const rows = await Promise.all(transaction.writes.map(async ({table, key, value}) => {
		const result = value && await store.get(table, key);
		return result?.ok && result.value?.value.writeId === transaction.writeId ? result.value : undefined;
	}));
	return rows.some(row => row !== undefined)
		? transaction.writes.map(({value}, index) => value === undefined ? 0 : rows[index]?.version)
		: undefined;
}

function conditionOf(transaction: Transaction, write: RowWrite): RowCondition | undefined {
	return transaction.conditions.find(condition => isSameRow(condition, write));
}

function isSameRow(left: {readonly table: string; readonly key: string}, right: {readonly table: string; readonly key: string}): boolean {
	return left.table === right.table && left.key === right.key;
}
