import {DECISION_BATCH_MS, FINAL_JOB_STATES} from '@amaranthsail/core';
import type {RowCondition, RowWrite, Transaction} from '@amaranthsail/backing-services';
import type {JobRecord, JobWrite} from './job-record.js';
import {OWNER_TABLES, openJobKey} from './owner-tables.js';
import type {WriteResult} from './owner-events.js';

/** Largest number of rows that one transaction writes. */
export const MAX_TRANSACTION_ROWS = 100;

/** Largest number of jobs in one transaction: the table service takes 100 conditions, and one is the ownership row's. */
const MAX_TRANSACTION_JOBS = 99;

/** Delay before a transaction without a definite result is sent again. */
export const WRITE_RETRY_MS = 250;

/** A transaction without a definite result. */
type SentWrite = {
	readonly transaction: Transaction;
	readonly jobs: readonly JobRecord[];
	/** A result was `unknown`, so the transaction may have taken effect. */
	mayHaveApplied: boolean;
	/** When to send it again; undefined while a result is awaited. */
	resendAtMs: number | undefined;
};

/** What the result of a transaction means for its jobs. */
export type SettledWrite
	= | {readonly kind: 'committed'; readonly jobs: ReadonlyArray<{readonly job: JobRecord; readonly version: number}>}
	/** Nothing was written; the jobs may be written anew later. */
		| {readonly kind: 'dropped'; readonly jobs: readonly JobRecord[]}
	/** The rows have to be read to know. */
		| {readonly kind: 'readBack'; readonly jobs: ReadonlyArray<{readonly job: JobRecord; readonly isChanged: boolean}>}
		| {readonly kind: 'ownershipLost'}
	/** Nothing is known yet; the same transaction will be sent again. */
		| {readonly kind: 'pending'};

/** Collects writes of jobs into transactions and follows each until its result is definite. */
export class WriteQueue {
	readonly #queued = new Set<JobRecord>();
	readonly #sent = new Map<string, SentWrite>();
	readonly #ownership: RowCondition;
	readonly #failureDomain: string;
	readonly #newId: () => string;
	#flushAtMs: number | undefined;

	/**
	 * @param failureDomain - The failure domain.
	 * @param ownershipVersion - Version of the ownership row; a condition of every transaction.
	 * @param makeId - Makes write ids.
	 */
	constructor(failureDomain: string, ownershipVersion: number, makeId: () => string) {
		this.#failureDomain = failureDomain;
		this.#ownership = {table: OWNER_TABLES.ownership, key: failureDomain, version: ownershipVersion};
		this.#newId = makeId;
	}

	/** Number of transactions without a definite result. */
	get sentCount(): number {
		return this.#sent.size;
	}

	/**
	 * Queues the write of a job, or drops it from the queue when it has none to send.
	 *
	 * @param job - The job; its `write` is taken when the batch is sent.
	 * @param nowMs - Monotonic milliseconds.
	 */
	update(job: JobRecord, nowMs: number): void {
		if (job.write === undefined) {
			this.#queued.delete(job);
			return;
		}

		if (job.write.writeId === undefined) {
			this.#queued.add(job);
			this.#flushAtMs ??= nowMs + DECISION_BATCH_MS;
		}
	}

	/**
	 * Drops the queued write of a job that has ended.
	 *
	 * @param job - The job.
	 */
	forget(job: JobRecord): void {
		this.#queued.delete(job);
	}

	/**
	 * Tells when {@link flush} has something to do.
	 *
	 * @returns Monotonic milliseconds, or undefined when nothing is due.
	 */
	wakeAtMs(): number | undefined {
		const times = [...this.#sent.values()].flatMap(sent => sent.resendAtMs ?? []);
		if (this.#queued.size > 0 && this.#flushAtMs !== undefined) {
			times.push(this.#flushAtMs);
		}

		return times.length === 0 ? undefined : Math.min(...times);
	}

	/**
	 * Takes the transactions that are due.
	 *
	 * @param nowMs - Monotonic milliseconds.
	 * @returns Transactions to send, each within the row limit.
	 */
	flush(nowMs: number): readonly Transaction[] {
		const due: Transaction[] = [];
		for (const sent of this.#sent.values()) {
			if (sent.resendAtMs !== undefined && sent.resendAtMs <= nowMs) {
				sent.resendAtMs = undefined;
				due.push(sent.transaction);
			}
		}

		if (this.#flushAtMs === undefined || nowMs < this.#flushAtMs) {
			return due;
		}

		this.#flushAtMs = undefined;
		const jobs = [...this.#queued];
		this.#queued.clear();
		let batch: JobRecord[] = [];
		let rowCount = 0;
		for (const job of jobs) {
			const rows = this.#rowsOf(job.write!, '').length;
			if (rowCount + rows > MAX_TRANSACTION_ROWS || batch.length === MAX_TRANSACTION_JOBS) {
				due.push(this.#send(batch));
				batch = [];
				rowCount = 0;
			}

			batch.push(job);
			rowCount += rows;
		}

		return batch.length === 0 ? due : [...due, this.#send(batch)];
	}

	/**
	 * Takes the result of a transaction.
	 *
	 * @param writeId - The transaction.
	 * @param result - Its result.
	 * @param nowMs - Monotonic milliseconds.
	 * @returns What it means for the jobs.
	 */
	settle(writeId: string, result: WriteResult, nowMs: number): SettledWrite {
		const sent = this.#sent.get(writeId);
		if (sent === undefined) {
			return {kind: 'pending'};
		}

		if (result.kind === 'unknown' || (result.kind === 'unavailable' && sent.mayHaveApplied)) {
			// The same transaction is sent again: either copy may arrive first, and the other then fails its conditions.
			sent.mayHaveApplied = true;
			sent.resendAtMs = nowMs + WRITE_RETRY_MS;
			return {kind: 'pending'};
		}

		this.#sent.delete(writeId);
		if (result.kind === 'committed') {
			return {kind: 'committed', jobs: this.#committedVersions(sent, result.versions)};
		}

		if (result.kind === 'unavailable') {
			return {kind: 'dropped', jobs: sent.jobs};
		}

		const isOwnershipChanged = result.failed.some(({table}) => table === OWNER_TABLES.ownership);
		if (isOwnershipChanged) {
			return {kind: 'ownershipLost'};
		}

		const changed = new Set(result.failed.filter(({table}) => table === OWNER_TABLES.jobs).map(({key}) => key));
		return {kind: 'readBack', jobs: sent.jobs.map(job => ({job, isChanged: changed.has(job.row.jobId)}))};
	}

	#committedVersions(sent: SentWrite, versions: readonly number[]): ReadonlyArray<{readonly job: JobRecord; readonly version: number}> {
		return sent.jobs.map(job => {
			const index = sent.transaction.writes.findIndex(({table, key}) => table === OWNER_TABLES.jobs && key === job.row.jobId);
			return {job, version: versions[index] ?? 0};
		});
	}

	/** The row of a job, and its index rows where its end or its failure domain changes them. */
	#rowsOf({kind, next}: JobWrite, writeId: string): readonly RowWrite[] {
		const row = {table: OWNER_TABLES.jobs, key: next.jobId, value: {...next, writeId}};
		const closed = {table: OWNER_TABLES.openJobs, key: openJobKey(this.#failureDomain, next.jobId), value: undefined};
		if (kind === 'moved') {
			const opened = {table: OWNER_TABLES.openJobs, key: openJobKey(next.failureDomain, next.jobId), value: {jobId: next.jobId, writeId}};
			return [row, closed, opened];
		}

		return FINAL_JOB_STATES.has(next.state) ? [row, closed] : [row];
	}

	#send(jobs: readonly JobRecord[]): Transaction {
		const writeId = this.#newId();
		const transaction: Transaction = {
			writeId,
			conditions: [this.#ownership, ...jobs.map(job => ({table: OWNER_TABLES.jobs, key: job.row.jobId, version: job.version}))],
			writes: jobs.flatMap(job => this.#rowsOf(job.write!, writeId)),
		};
		for (const job of jobs) {
			job.write!.writeId = writeId;
		}

		this.#sent.set(writeId, {
			transaction, jobs, mayHaveApplied: false, resendAtMs: undefined,
		});
		return transaction;
	}
}
