import type {Logger} from '@amaranthsail/core';
import {
	decodeLeaderRow, LEADER_KEY, type PoolStore, TABLES,
} from '@amaranthsail/pool';

/** The agent renews the lease itself when no leader has called for this time. */
export const LEADER_TIMEOUT_MS = 2000;

/** Timeout of a store read; the store answers within milliseconds unless it is slow. */
const STORE_TIMEOUT_MS = 1500;

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

/** @returns The epoch of the leader that the store names; 0 if it names none or cannot be read. */
export async function readStoredEpoch(store: PoolStore): Promise<number> {
	const page = await store.read(TABLES.leader, {from: LEADER_KEY}, STORE_TIMEOUT_MS);
	const row = page.ok ? decodeLeaderRow(page.value.rows[0]?.value) : undefined;
	return row?.epoch ?? 0;
}
