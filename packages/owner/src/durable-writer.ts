import type {Logger, Result} from '@amaranthsail/core';
import type {TableError, TableStore, Transaction} from '@amaranthsail/backing-services';
import type {WriteResult} from './owner-events.js';

/** Commits one transaction. After the result `unknown` the owner sends the same transaction again and reads the rows back. */
export type DurableWriter = (transaction: Transaction) => Promise<WriteResult>;

/**
 * Converts the table service's result of a transaction. A rejected transaction counts as not written.
 *
 * @param result - The result of the table service.
 * @returns The result for the owner.
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
 * Creates a writer for a table store.
 *
 * @param tables - The store.
 * @param logger - Logs rejected transactions, which a retry cannot fix.
 * @returns A writer that sends the transaction once per call.
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
