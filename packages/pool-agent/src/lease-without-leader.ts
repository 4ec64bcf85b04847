import type {Logger} from '@amaranthsail/core';
import {type PoolStore, TABLES} from '@amaranthsail/pool';
import {STORE_TIMEOUT_MS} from './store-timeout.js';

/**
 * Checks whether the agent may extend a lease that no leader extends.
 *
 * @param store - Lists the suspected incarnations.
 * @param worker - The incarnation whose lists the agent has; its name is absent until it has announced itself.
 * @param logger - Receives the reason if it may not.
 * @returns False if the store lists the worker as suspected or cannot be read.
 */
export async function mayExtendLease(store: PoolStore, worker: {readonly incarnation: string | undefined; readonly bornMs: number | undefined}, logger: Logger): Promise<boolean> {
	const {incarnation, bornMs} = worker;
	const suspects = await store.read(TABLES.suspects, {}, STORE_TIMEOUT_MS);
	if (!suspects.ok) {
		logger.warn('store not reached', {error: suspects.error.kind, purpose: 'lease without leader'});
		return false;
	}

	if (suspects.value.rows.some(row => row.key === incarnation || row.key.endsWith(`@${bornMs}`))) {
		logger.warn('lease not extended', {worker: incarnation ?? 'unknown', reason: 'suspected', storeVersion: suspects.value.version});
		return false;
	}

	return true;
}
