import type {Row, Transaction} from '@amaranthsail/backing-services';
import type {OwnershipValidity, WriteResult} from './owner-events.js';
import type {Address, LoadSummary, OwnershipRow} from './ownership-rows.js';

/** A failure domain that the configuration names. */
export type DomainPlacement = {readonly failureDomain: string; readonly region: string};

/** Inputs of an ownership manager. */
export type OwnershipEvent
	= | {readonly kind: 'configure'; readonly domains: readonly DomainPlacement[]}
	/** Both tables as read; `sentAtMs` is when the first request was sent. */
		| {readonly kind: 'scanned'; readonly sentAtMs: number; readonly ownership: readonly Row[]; readonly renewals: readonly Row[]}
		| {readonly kind: 'scanFailed'}
		| {readonly kind: 'writeResult'; readonly failureDomain: string; readonly writeId: string; readonly result: WriteResult}
		| {readonly kind: 'load'; readonly failureDomain: string; readonly load: LoadSummary; readonly revision: number}
	/** A new owner asks this process to send nothing more under an older epoch. */
		| {readonly kind: 'stepDown'; readonly failureDomain: string; readonly epoch: number}
	/** A transaction of the owner core showed another owner. */
		| {readonly kind: 'ownershipLost'; readonly failureDomain: string; readonly epoch: number}
	/** Gives one failure domain, or all, up by a write that lets another entry claim at once. */
		| {readonly kind: 'release'; readonly failureDomain?: string}
	/** Claims nothing more. */
		| {readonly kind: 'drain'};

/** Outputs of an ownership manager. */
export type OwnershipEffect
	/** Read both tables and return `scanned` or `scanFailed`. */
	= | {readonly kind: 'scan'}
		| {readonly kind: 'write'; readonly purpose: 'claim' | 'renew' | 'release'; readonly failureDomain: string; readonly transaction: Transaction}
	/** The failure domain is owned from now on. `previous` is who may still be sending under the last epoch. */
		| {
			readonly kind: 'claimed'; readonly failureDomain: string; readonly epoch: number; readonly ownershipVersion: number;
			readonly claimedAtMs: number; readonly previous: OwnershipRow | undefined;
		}
		| {readonly kind: 'validity'; readonly failureDomain: string; readonly epoch: number; readonly validity: OwnershipValidity};

/** What an ownership manager needs to know of its process. */
export type OwnershipManagerOptions = {
	readonly processId: string;
	readonly region: string;
	/** Failure domain of this process. */
	readonly failureDomain: string;
	readonly datagramAddress: Address;
	readonly controlAddress: Address;
	/** Makes ids of writes. */
	readonly newId: () => string;
};
