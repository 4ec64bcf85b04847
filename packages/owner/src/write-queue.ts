import {DECISION_BATCH_DELAY_MS, FINAL_JOB_STATES} from '@amaranthsail/core';
import type {RowCondition, RowWrite, Transaction} from '@amaranthsail/backing-services';
import type {JobRecord, JobWrite} from './job-record.js';
import {OWNER_TABLES, openJobKey} from './owner-tables.js';
import type {WriteResult} from './owner-events.js';

/** Rows that one transaction may write. */
export const MAX_TRANSACTION_ROWS = 100;

/** Jobs in one transaction: the table service accepts 100 conditions, and one of them is for the ownership row. */
const MAX_TRANSACTION_JOBS = 99;

/** Delay before a transaction with an unknown outcome is sent again, or a write that did not take effect is made anew. */
export const WRITE_RETRY_DELAY_MS = 250;

/** A transaction without a definite result. */
type SentWrite = {
	readonly transaction: Transaction;
	readonly jobs: readonly JobRecord[];
	/** Whether a result was `unknown`, so that the transaction may have taken effect. */
	mayHaveApplied: boolean;
	/** When to send it again; undefined while a result is pending. */
	resendAtMs: number | undefined;
};

/** Consequence of a transaction's result for its jobs. */
export type WriteOutcome
	= | {readonly kind: 'committed'; readonly jobs: ReadonlyArray<{readonly job: JobRecord; readonly version: number}>}
	/** Nothing was written; new writes may be made for the jobs later. */
		| {readonly kind: 'dropped'; readonly jobs: readonly JobRecord[]}
	/** The rows must be read to find out whether the transaction took effect. */
		| {readonly kind: 'readBack'; readonly jobs: ReadonlyArray<{readonly job: JobRecord; readonly isChanged: boolean}>}
		| {readonly kind: 'ownershipLost'}
	/** The outcome is still unknown; the same transaction will be sent again. */
		| {readonly kind: 'pending'};

/** Batches writes of jobs into transactions and resends each transaction until its result is definite. */
export class WriteQueue {
	readonly #queuedJobs = new Set<JobRecord>();
	readonly #sentWrites = new Map<string, SentWrite>();
	readonly #ownershipCondition: RowCondition;
	readonly #failureDomain: string;
	readonly #newId: () => string;
	#flushAtMs: number | undefined;

	/**
	 * @param failureDomain - The failure domain.
	 * @param ownershipVersion - Version of the ownership row; a condition of every transaction.
	 * @param newId - Generates write ids.
	 */
	constructor(failureDomain: string, ownershipVersion: number, newId: () => string) {
		this.#failureDomain = failureDomain;
		this.#ownershipCondition = {table: OWNER_TABLES.ownership, key: failureDomain, version: ownershipVersion};
		this.#newId = newId;
	}

	/** Number of transactions without a definite result. */
	get pendingCount(): number {
		return this.#sentWrites.size;
	}

	/**
	 * Queues the write of a job, or removes the job from the queue when it has no write.
	 *
	 * @param job - The job; its `write` is read when the batch is sent.
	 * @param nowMs - Monotonic milliseconds.
	 */
	update(job: JobRecord, nowMs: number): void {
		if (job.write === undefined) {
			this.#queuedJobs.delete(job);
			return;
		}

		if (job.write.writeId === undefined) {
			this.#queuedJobs.add(job);
			this.#flushAtMs ??= nowMs + DECISION_BATCH_DELAY_MS;
		}
	}

	/**
	 * Removes the queued write of a job that has ended.
	 *
	 * @param job - The job.
	 */
	remove(job: JobRecord): void {
		this.#queuedJobs.delete(job);
	}

	/**
	 * Returns when {@link flush} is next due.
	 *
	 * @returns Monotonic milliseconds, or undefined when nothing is due.
	 */
	nextFlushAtMs(): number | undefined {
		const dueTimesMs = [...this.#sentWrites.values()].flatMap(sentWrite => sentWrite.resendAtMs ?? []);
		if (this.#queuedJobs.size > 0 && this.#flushAtMs !== undefined) {
			dueTimesMs.push(this.#flushAtMs);
		}

		return dueTimesMs.length === 0 ? undefined : Math.min(...dueTimesMs);
	}

	/**
	 * Returns the transactions that are due, new ones and repeated ones.
	 *
	 * @param nowMs - Monotonic milliseconds.
	 * @returns Transactions to send, each within the limits of the table service.
	 */
	flush(nowMs: number): readonly Transaction[] {
		const dueTransactions: Transaction[] = [];
		for (const sentWrite of this.#sentWrites.values()) {
			if (sentWrite.resendAtMs !== undefined && sentWrite.resendAtMs <= nowMs) {
				sentWrite.resendAtMs = undefined;
				dueTransactions.push(sentWrite.transaction);
			}
		}

		if (this.#flushAtMs === undefined || nowMs < this.#flushAtMs) {
			return dueTransactions;
		}

		this.#flushAtMs = undefined;
		const jobs = [...this.#queuedJobs];
		this.#queuedJobs.clear();
		let batch: JobRecord[] = [];
		let rowCount = 0;
		for (const job of jobs) {
			const rows = this.#rowsOf(job.write!, '').length;
			if (rowCount + rows > MAX_TRANSACTION_ROWS || batch.length === MAX_TRANSACTION_JOBS) {
				dueTransactions.push(this.#startTransaction(batch));
				batch = [];
				rowCount = 0;
			}

			batch.push(job);
			rowCount += rows;
		}

		return batch.length === 0 ? dueTransactions : [...dueTransactions, this.#startTransaction(batch)];
	}

	/**
	 * Applies the result of a transaction.
	 *
	 * @param writeId - The transaction.
	 * @param result - Its result.
	 * @param nowMs - Monotonic milliseconds.
	 * @returns The consequence for the jobs.
	 */
	applyResult(writeId: string, result: WriteResult, nowMs: number): WriteOutcome {
		const sentWrite = this.#sentWrites.get(writeId);
		if (sentWrite === undefined) {
			return {kind: 'pending'};
		}

		if (result.kind === 'unknown' || (result.kind === 'unavailable' && sentWrite.mayHaveApplied)) {
			// The same transaction is sent again: either copy may take effect first, and the other then fails its conditions.
			sentWrite.mayHaveApplied = true;
			sentWrite.resendAtMs = nowMs + WRITE_RETRY_DELAY_MS;
			return {kind: 'pending'};
		}

		this.#sentWrites.delete(writeId);
		if (result.kind === 'committed') {
			return {kind: 'committed', jobs: this.#committedVersions(sentWrite, result.versions)};
		}

		if (result.kind === 'unavailable') {
			return {kind: 'dropped', jobs: sentWrite.jobs};
		}

		const isOwnershipChanged = result.failed.some(({table}) => table === OWNER_TABLES.ownership);
		if (isOwnershipChanged) {
			return {kind: 'ownershipLost'};
		}

		const changedJobIds = new Set(result.failed.filter(({table}) => table === OWNER_TABLES.jobs).map(({key}) => key));
		return {kind: 'readBack', jobs: sentWrite.jobs.map(job => ({job, isChanged: changedJobIds.has(job.row.jobId)}))};
	}

	#committedVersions(sentWrite: SentWrite, versions: readonly number[]): ReadonlyArray<{readonly job: JobRecord; readonly version: number}> {
		return sentWrite.jobs.map(job => {
			const index = sentWrite.transaction.writes.findIndex(({table, key}) => table === OWNER_TABLES.jobs && key === job.row.jobId);
			return {job, version: versions[index] ?? 0};
		});
	}

	/** Returns the row of a job, and its index rows if the job ends or moves to another failure domain. */
	#rowsOf({kind, next}: JobWrite, writeId: string): readonly RowWrite[] {
		const row = {table: OWNER_TABLES.jobs, key: next.jobId, value: {...next, writeId}};
		const closedIndexRow = {table: OWNER_TABLES.openJobs, key: openJobKey(this.#failureDomain, next.jobId), value: undefined};
		if (kind === 'moved') {
			const openedIndexRow = {table: OWNER_TABLES.openJobs, key: openJobKey(next.failureDomain, next.jobId), value: {jobId: next.jobId, writeId}};
			return [row, closedIndexRow, openedIndexRow];
		}

		return FINAL_JOB_STATES.has(next.state) ? [row, closedIndexRow] : [row];
	}

	#startTransaction(jobs: readonly JobRecord[]): Transaction {
		const writeId = this.#newId();
		const transaction: Transaction = {
			writeId,
			conditions: [this.#ownershipCondition, ...jobs.map(job => ({table: OWNER_TABLES.jobs, key: job.row.jobId, version: job.version}))],
			writes: jobs.flatMap(job => this.#rowsOf(job.write!, writeId)),
		};
		for (const job of jobs) {
			job.write!.writeId = writeId;
		}

		this.#sentWrites.set(writeId, {
			transaction, jobs, mayHaveApplied: false, resendAtMs: undefined,
		});
		return transaction;
	}
}
