import type {Logger} from '@amaranthsail/core';
import type {TableStore, Transaction} from '@amaranthsail/platform';
import type {WriteResult} from './owner-events.js';

/** Commits one transaction. It may return `unknown`; the owner then sends the same transaction again and reads the rows back. */
export type DurableWriter = (transaction: Transaction) => Promise<WriteResult>;

/**
 * Makes a writer on a table store.
 *
 * @param tables - The store.
 * @param logger - Takes errors that no retry cures.
 * @returns A writer that makes one attempt per call.
 */
export function createDurableWriter(tables: TableStore, logger: Logger): DurableWriter {
	return async transaction => {
		const result = await tables.transact(transaction);
		if (result.ok) {
			return {kind: 'committed', versions: result.value};
		}

		switch (result.error.kind) {
			case 'condition_failed': {
				return {kind: 'conditionFailed', failed: result.error.failed};
			}

			case 'outcome_unknown': {
				return {kind: 'unknown', message: result.error.message};
			}

			case 'unavailable': {
				return {kind: 'unavailable', message: result.error.message};
			}

			case 'rejected': {
				logger.error('the table service rejected a transaction', {writeId: transaction.writeId, reason: result.error.message});
				return {kind: 'unavailable', message: result.error.message};
			}
		}
	};
}
