import type {Result} from '@amaranthsail/core';
import type {OrderOutcome, Refusal, WorkerLists, WorkerOrder} from './model.js';

/** A stored row; its version grows with every transaction that writes it. */
export type StoredRow = {
	readonly table: string;
	readonly key: string;
	/** Decoded JSON; undefined for a row that was removed or cannot be read. */
	readonly value: unknown;
	readonly version: number;
	readonly isRemoved: boolean;
};

/** Holds while the row has this version; version 0 means that the row is absent. */
export type RowCondition = {readonly table: string; readonly key: string; readonly version: number};

/** Writes a row; an undefined value removes it. */
export type RowWrite = {readonly table: string; readonly key: string; readonly value: unknown};

/** Why the store did not do what it was asked. */
export type StoreError
	/** A condition did not hold; nothing was written. The rows are the present ones. */
	= | {readonly kind: 'condition_failed'; readonly rows: readonly StoredRow[]}
		/** Nothing was done. */
		| {readonly kind: 'unavailable'; readonly message: string}
		/** No answer came; a write may have taken effect, or may do so later. */
		| {readonly kind: 'outcome_unknown'; readonly message: string}
		/** The history that a follower asked for is no longer kept. */
		| {readonly kind: 'history_lost'}
		| {readonly kind: 'rejected'; readonly message: string};

/** Rows as of one moment. */
export type RowPage = {
	readonly rows: readonly StoredRow[];
	/** Newest version of the store at that moment. */
	readonly version: number;
	readonly hasMore: boolean;
};

/** Keys `from` (included) up to `to` (excluded). */
export type KeyRange = {readonly from?: string; readonly to?: string};

/** The table store that a pool keeps its state in. Answers are linearizable. */
export interface PoolStore {
	/** Applies all writes if all conditions hold, otherwise none. */
	transact(conditions: readonly RowCondition[], writes: readonly RowWrite[], timeoutMs: number): Promise<Result<{readonly version: number}, StoreError>>;

	/** Reads rows in key order. */
	read(table: string, range: KeyRange, timeoutMs: number): Promise<Result<RowPage, StoreError>>;

	/** Waits up to `waitMs` for changes after a version. */
	follow(table: string, afterVersion: number, waitMs: number): Promise<Result<RowPage, StoreError>>;
}

/** The worker on an agent's VM. */
export interface WorkerPort {
	/** Sends an order for a life of the worker. */
	order(order: WorkerOrder, epoch: number, workerId: string): Promise<{readonly outcome: OrderOutcome; readonly clockMs?: number}>;

	/** Extends the worker's lease, acknowledges ends, and lists what runs and what ended. */
	hold(request: {readonly epoch: number; readonly ackSequence: number; readonly leaseUntilMs?: number; readonly waitMs: number; readonly workerId?: string}): Promise<
		| {readonly kind: 'lists'; readonly lists: WorkerLists}
		| {readonly kind: 'refused'; readonly reason: Refusal}
		| {readonly kind: 'unknown'; readonly message: string}
		| {readonly kind: 'gone'}
	>;
}

