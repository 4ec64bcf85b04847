import type {Row, Transaction} from '@amaranthsail/backing-services';
import type {OwnershipValidity, WriteResult} from './owner-events.js';
import type {Address, LoadSummary, OwnershipRow} from './ownership-rows.js';

/** A configured failure domain and its region. */
export type DomainLocation = {readonly failureDomain: string; readonly region: string};

/** Inputs of an ownership manager. */
export type OwnershipEvent
	= | {readonly kind: 'configure'; readonly domains: readonly DomainLocation[]}
	/** Rows of both ownership tables; `sentAtMs` is when the first request was sent. */
		| {readonly kind: 'scanned'; readonly sentAtMs: number; readonly ownership: readonly Row[]; readonly renewals: readonly Row[]}
		| {readonly kind: 'scanFailed'}
		| {readonly kind: 'writeResult'; readonly failureDomain: string; readonly writeId: string; readonly result: WriteResult}
		| {readonly kind: 'load'; readonly failureDomain: string; readonly load: LoadSummary; readonly revision: number}
	/** A new owner requests that this process sends nothing more under an older epoch. */
		| {readonly kind: 'stepDown'; readonly failureDomain: string; readonly epoch: number}
	/** A transaction of the owner core failed because another process owns the failure domain. */
		| {readonly kind: 'ownershipLost'; readonly failureDomain: string; readonly epoch: number}
	/** Releases one failure domain, or all, by a write that lets another entry claim at once. */
		| {readonly kind: 'release'; readonly failureDomain?: string}
	/** Stops further claims, for a shutdown. */
		| {readonly kind: 'drain'};

/** Outputs of an ownership manager. */
export type OwnershipEffect
	/** Read both tables and return `scanned` or `scanFailed`. */
	= | {readonly kind: 'scan'}
		| {readonly kind: 'write'; readonly purpose: 'claim' | 'renew' | 'release'; readonly failureDomain: string; readonly transaction: Transaction}
	/** The failure domain is owned from now on. `previous` is the owner that may still send under the last epoch. */
		| {
			readonly kind: 'claimed'; readonly failureDomain: string; readonly epoch: number; readonly ownershipVersion: number;
			readonly claimedAtMs: number; readonly previous: OwnershipRow | undefined;
		}
		| {readonly kind: 'validity'; readonly failureDomain: string; readonly epoch: number; readonly validity: OwnershipValidity};

/** Options of an ownership manager. */
export type OwnershipManagerOptions = {
	readonly processId: string;
	readonly region: string;
	/** Failure domain of this process. */
	readonly failureDomain: string;
	readonly datagramAddress: Address;
	readonly controlAddress: Address;
	/** Generates write ids. */
	readonly newId: () => string;
};
