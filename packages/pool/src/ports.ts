import type {Result} from '@amaranthsail/core';
import type {OrderOutcome, Refusal, WorkerLists, WorkerOrder} from './model.js';

/** A stored row; its version increases with every transaction that writes it. */
export type StoredRow = {
	readonly table: string;
	readonly key: string;
	/** Decoded JSON; undefined for a row that has been removed or cannot be decoded. */
	readonly value: unknown;
	readonly version: number;
	readonly isRemoved: boolean;
};

/** Condition that a row has this version; version 0 means that the row is absent. */
export type RowCondition = {readonly table: string; readonly key: string; readonly version: number};

/** Writes a row; an undefined value removes it. */
export type RowWrite = {readonly table: string; readonly key: string; readonly value: unknown};

/** Reasons for which a call to the store fails. */
export type StoreError
	/** A condition did not hold; nothing was written. `rows` holds the present rows. */
	= | {readonly kind: 'condition_failed'; readonly rows: readonly StoredRow[]}
		/** A condition did not hold; nothing was written. The present rows were too large to be transferred for this. */
		| {readonly kind: 'condition_failed_unread'}
		/** The request had no effect. */
		| {readonly kind: 'unavailable'; readonly message: string}
		/** The request timed out; a write may have taken effect, or may still do so. */
		| {readonly kind: 'outcome_unknown'; readonly message: string}
		/** The changes that a follower requested are no longer kept. */
		| {readonly kind: 'history_lost'}
		| {readonly kind: 'rejected'; readonly message: string};

/** Rows at one point in time. */
export type RowPage = {
	readonly rows: readonly StoredRow[];
	/** Newest version of the store at that time. */
	readonly version: number;
	readonly hasMore: boolean;
};

/** Keys from `from` (inclusive) up to `to` (exclusive). */
export type KeyRange = {readonly from?: string; readonly to?: string};

/** The table store that holds a pool's state. Reads and writes are linearizable. */
export interface PoolStore {
	/** Applies all writes if all conditions hold, and none otherwise. */
	transact(conditions: readonly RowCondition[], writes: readonly RowWrite[], timeoutMs: number): Promise<Result<{readonly version: number}, StoreError>>;

	/** Reads rows in key order. */
	read(table: string, range: KeyRange, timeoutMs: number): Promise<Result<RowPage, StoreError>>;

	/**
	 * Waits up to `waitMs` for changes after a version.
	 *
	 * @param onProgress - Called with the bytes of a page that have arrived, whenever there are more of them. The call fails
	 * once it returns false.
	 */
	follow(table: string, afterVersion: number, waitMs: number, onProgress?: (receivedBytes: number) => boolean): Promise<Result<RowPage, StoreError>>;
}

/** One incarnation of a worker as the receiver of orders. */
export type OrderReceiver = {
	readonly id: string;
	readonly startedAtMs: number;
	/** Longest wait for the check that this incarnation answers, if one is necessary. */
	readonly identifyWithinMs?: number;
};

/** What is meant for one incarnation of a worker only. */
export type LeaseGrant = {
	readonly startedAtMs: number;
	/** Ends of runs up to this number may be forgotten. */
	readonly ackSequence: number;
	/** End of the lease on the incarnation's clock. */
	readonly leaseUntilMs?: number;
};

/** Request for a worker's lists, which also renews its lease. */
export type LeaseRenewal = {
	readonly epoch: number;
	/** Longest time for which the worker waits for the end of a run. */
	readonly waitMs: number;
	/** Time allowed for the answer beyond the wait. */
	readonly graceMs?: number;
	/** A worker with another id refuses the request. */
	readonly workerId?: string;
	/** Start time of the incarnation that is announced; calls for earlier ones are refused once it has received this one. */
	readonly startedAtMs?: number;
	/** Reaches no other incarnation than the one that it names. While it is not known which one answers, only lists are returned. */
	readonly grant?: LeaseGrant;
};

/** The worker on an agent's VM. */
export interface WorkerPort {
	/** Sends an order to one incarnation of the worker. If another one answers, or none, the order is not sent and refused. */
	order(order: WorkerOrder, epoch: number, worker: OrderReceiver): Promise<{readonly outcome: OrderOutcome; readonly clockMs?: number}>;

	/** Renews the worker's lease, acknowledges listed ends, and returns the running and ended runs. */
	renewLease(request: LeaseRenewal): Promise<
		| {readonly kind: 'lists'; readonly lists: WorkerLists}
		| {readonly kind: 'refused'; readonly reason: Refusal}
		| {readonly kind: 'unknown'; readonly message: string}
		| {readonly kind: 'gone'}
	>;
}
