import {
	err, ok, type Clock, type Result,
} from '@amaranthsail/core';
import {backoffDelayMs, type BackoffOptions} from './backoff.js';
import type {
	RowCondition, RowWrite, TableError, TableStore, Transaction,
} from './table-store.js';

/** Settings of {@link commitDurably}. */
export type CommitOptions = BackoffOptions & {
	readonly clock: Clock;
	/** Waits for a number of milliseconds. */
	readonly wait: (delayMs: number) => Promise<void>;
	/** Largest number of requests for the transaction; 5 when absent. */
	readonly maxAttempts?: number;
	/** Time after which no further attempt starts; 5,000 ms when absent. */
	readonly maxDurationMs?: number;
};

/** Version of each written row, in the order of `writes`; 0 for a deletion, undefined when the row could not be read back or was written again since. */
export type CommittedVersions = ReadonlyArray<number | undefined>;

/**
 * Applies a transaction, with retries, and finds out what became of it when an answer is lost.
 *
 * The write id is put into the field `writeId` of every written value; a row that carries it proves the commit, however old the read.
 * Its absence proves nothing, as the row may have been written again, the read may be stale, or the request may still be under way.
 * After a lost answer, "not written" is therefore taken only from a later refusal of the same transaction that shows both
 * that it had not taken effect (a row that it writes still has its earlier version) and that it no longer can (another condition failed
 * on a version, and versions do not return). A failed condition on an absent row is no such proof, as the row can be deleted.
 *
 * A transaction is sent again after a lost answer only when one of its conditions is on a row that it writes, so that it cannot take effect twice.
 *
 * @param store - The table service.
 * @param transaction - Conditions and writes.
 * @param options - Clock, randomness and bounds.
 * @returns The versions when it is certainly written; `condition_failed`, `unavailable` or `rejected` when it is certainly not written
 * and will not be; `outcome_unknown` otherwise.
 */
export async function commitDurably(store: TableStore, transaction: Transaction, options: CommitOptions): Promise<Result<CommittedVersions, TableError>> {
	const stamped = stamp(transaction);
	const startMs = options.clock.monotonicMs();
	const maxAttempts = options.maxAttempts ?? 5;
	const canRepeat = isRepeatable(stamped);
	let lastMessage = '';
	let maybeWritten = false;
	for (let attempt = 1; ; attempt += 1) {
		if (!maybeWritten || canRepeat) {
			const result = await store.transact(stamped);
			if (result.ok) {
				return result;
			}

			if (isCertain(result.error, stamped, maybeWritten)) {
				// One request can reach the service twice, and the answer be that to the second.
				const versions = result.error.kind === 'condition_failed' && !maybeWritten ? await readBack(store, stamped) : undefined;
				return versions ? ok(versions) : result;
			}

			maybeWritten ||= result.error.kind === 'outcome_unknown';
			lastMessage = 'message' in result.error ? result.error.message : 'a condition failed after an answer was lost';
		}

		const versions = maybeWritten ? await readBack(store, stamped) : undefined;
		if (versions) {
			return ok(versions);
		}

		const delayMs = backoffDelayMs(attempt, options);
		if (attempt >= maxAttempts || options.clock.monotonicMs() + delayMs - startMs > (options.maxDurationMs ?? 5000)) {
			return err({kind: maybeWritten ? 'outcome_unknown' : 'unavailable', message: lastMessage});
		}

		await options.wait(delayMs);
	}
}

function stamp(transaction: Transaction): Transaction {
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

/** Tells whether an error is the last word: nothing was written, and no earlier request can still write. */
function isCertain(error: TableError, transaction: Transaction, maybeWritten: boolean): boolean {
	if (error.kind === 'rejected') {
		return !maybeWritten;
	}

	if (error.kind !== 'condition_failed') {
		return false;
	}

	return !maybeWritten || (error.failed.some(({version}) => version > 0) && transaction.writes.some(write => {
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
