import type {Logger, Result} from '@amaranthsail/core';
import type {TableError, TableStore, Transaction} from '@amaranthsail/backing-services';
import type {WriteResult} from './owner-events.js';

/** Commits one transaction. It may return `unknown`; the owner then sends the same transaction again and reads the rows back. */
export type DurableWriter = (transaction: Transaction) => Promise<WriteResult>;

/**
 * Turns the result of a transaction into what the owner acts on. A rejected transaction counts as not written.
 *
 * @param result - The result of the table service.
 * @returns What became of the transaction.
 */
export function writeResultOf(result: Result<readonly number[], TableError>): WriteResult {
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

		case 'unavailable':
		case 'rejected': {
			return {kind: 'unavailable', message: result.error.message};
		}
	}
}

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
		if (!result.ok && result.error.kind === 'rejected') {
			logger.error('the table service rejected a transaction', {writeId: transaction.writeId, reason: result.error.message});
		}

		return writeResultOf(result);
	};
}
