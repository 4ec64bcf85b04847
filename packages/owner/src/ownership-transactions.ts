import type {Transaction} from '@amaranthsail/backing-services';
import {OWNER_TABLES} from './owner-tables.js';
import type {OwnershipRow, RenewalRow} from './ownership-rows.js';

/**
 * Creates the transaction that claims a failure domain. A renewal written after the observation makes it fail.
 *
 * @param key - The failure domain.
 * @param observed - Versions of both rows as last read.
 * @param owner - The new ownership row.
 * @param renewal - The first renewal.
 * @returns The transaction; its first write is the ownership row.
 */
export function claimTransaction(key: string, observed: {readonly ownershipVersion: number; readonly renewalVersion: number}, owner: OwnershipRow, renewal: RenewalRow): Transaction {
	return {
		writeId: owner.writeId,
		conditions: [
			{table: OWNER_TABLES.ownership, key, version: observed.ownershipVersion},
			{table: OWNER_TABLES.renewals, key, version: observed.renewalVersion},
		],
		writes: [{table: OWNER_TABLES.ownership, key, value: owner}, {table: OWNER_TABLES.renewals, key, value: renewal}],
	};
}

/**
 * Creates the transaction that renews an ownership. The ownership row keeps its version, because it is a condition of every transaction of the owner.
 *
 * @param key - The failure domain.
 * @param ownershipVersion - Version of the ownership row.
 * @param renewal - The renewal row.
 * @returns The transaction.
 */
export function renewTransaction(key: string, ownershipVersion: number, renewal: RenewalRow): Transaction {
	return {
		writeId: renewal.writeId,
		conditions: [{table: OWNER_TABLES.ownership, key, version: ownershipVersion}],
		writes: [{table: OWNER_TABLES.renewals, key, value: renewal}],
	};
}

/**
 * Creates the transaction that releases a failure domain, so that another entry can claim it without waiting.
 *
 * @param key - The failure domain.
 * @param ownershipVersion - Version of the ownership row.
 * @param owner - The ownership row, marked as released.
 * @returns The transaction.
 */
export function releaseTransaction(key: string, ownershipVersion: number, owner: OwnershipRow): Transaction {
	return {
		writeId: owner.writeId,
		conditions: [{table: OWNER_TABLES.ownership, key, version: ownershipVersion}],
		writes: [{table: OWNER_TABLES.ownership, key, value: owner}],
	};
}
