import {setTimeout as delay} from 'node:timers/promises';
import {FINAL_JOB_STATES, newId, type JobRow} from '@amaranthsail/core';
import type {TableStore} from '@amaranthsail/backing-services';
import {OWNER_TABLES} from './owner-tables.js';
import type {OwnerEvent} from './owner-events.js';

/** Delay before a failed read is repeated. */
export const READ_RETRY_DELAY_MS = 250;

/** Conditions that the table service accepts in one transaction. */
const MAX_TRANSACTION_CONDITIONS = 100;

/** Index rows per page of a scan. */
const SCAN_PAGE_ROWS = 500;

/** Options of a job reader. */
export type JobReaderOptions = {
	readonly tables: TableStore;
	readonly failureDomain: string;
	/** Runs a call to the store; limits how many run at once. */
	readonly runStoreCall: <Value>(call: () => Promise<Value>) => Promise<Value>;
	readonly onRow: (event: Extract<OwnerEvent, {readonly kind: 'jobRow' | 'jobAbsent'}>) => void;
};

/**
 * Reads job rows and the index of open jobs, and repeats each read until the store answers. A row that is not final is
 * used only after a transaction without writes has confirmed its version: an outdated read could hide a decided attempt.
 */
export class JobReader {
	readonly #options: JobReaderOptions;
	#isStopped = false;

	/**
	 * @param options - The store and the callback for rows.
	 */
	constructor(options: JobReaderOptions) {
		this.#options = options;
	}

	/** Stops all reads; no row is passed to the callback any more. */
	stop(): void {
		this.#isStopped = true;
	}

	/**
	 * Reads job rows and passes each to the callback.
	 *
	 * @param jobIds - The jobs.
	 */
	async readJobs(jobIds: readonly string[]): Promise<void> {
		for (let start = 0; start < jobIds.length; start += MAX_TRANSACTION_CONDITIONS) {
			let remaining: readonly string[] = jobIds.slice(start, start + MAX_TRANSACTION_CONDITIONS);
			while (remaining.length > 0 && !this.#isStopped) {
				remaining = await this.#tryReadJobs(remaining);
			}
		}
	}

	/**
	 * Reads the index of open jobs, and the rows of selected jobs.
	 *
	 * @param shouldRead - Selects the jobs whose rows are read.
	 * @returns The number of index rows.
	 */
	async readOpenJobs(shouldRead: (jobId: string) => boolean): Promise<number> {
		let rowCount = 0;
		const prefix = `${this.#options.failureDomain}/`;
		let after: string | undefined;
		while (!this.#isStopped) {
			const page = await this.#readPage(prefix, after);
			if (!page.ok) {
				await delay(READ_RETRY_DELAY_MS, undefined, {ref: false});
				continue;
			}

			await this.readJobs(page.value.map(({key}) => key.slice(prefix.length)).filter(jobId => shouldRead(jobId)));
			rowCount += page.value.length;
			if (page.value.length < SCAN_PAGE_ROWS) {
				return rowCount;
			}

			after = page.value.at(-1)!.key;
		}

		return rowCount;
	}

	async #readPage(prefix: string, after: string | undefined): ReturnType<TableStore['scan']> {
		const {tables, runStoreCall} = this.#options;
		return runStoreCall(async () => tables.scan(OWNER_TABLES.openJobs, {prefix, limit: SCAN_PAGE_ROWS, ...(after !== undefined && {after})}));
	}

	/** Reads rows once and returns the jobs that must be read again. */
	async #tryReadJobs(jobIds: readonly string[]): Promise<readonly string[]> {
		const {tables, runStoreCall, onRow} = this.#options;
		const readResults = await Promise.all(jobIds.map(async jobId => {
			const result = await runStoreCall(async () => tables.get(OWNER_TABLES.jobs, jobId));
			return {jobId, row: result.ok ? result.value : undefined, isRead: result.ok};
		}));
		const failedJobIds = new Set(readResults.filter(({isRead}) => !isRead).map(({jobId}) => jobId));
		const conditions = readResults
			.filter(({isRead, row}) => isRead && !FINAL_JOB_STATES.has((row?.value as JobRow | undefined)?.state ?? 'waiting'))
			.map(({jobId, row}) => ({table: OWNER_TABLES.jobs, key: jobId, version: row?.version ?? 0}));
		if (conditions.length > 0) {
			const confirmation = await runStoreCall(async () => tables.transact({writeId: newId(), conditions, writes: []}));
			const unconfirmed = confirmation.ok ? [] : (confirmation.error.kind === 'condition_failed' ? confirmation.error.failed : conditions);
			for (const {key} of unconfirmed) {
				failedJobIds.add(key);
			}
		}

		for (const {jobId, row} of readResults.filter(readResult => !failedJobIds.has(readResult.jobId) && !this.#isStopped)) {
			onRow(row === undefined
				? {kind: 'jobAbsent', jobId}
				: {kind: 'jobRow', row: row.value as unknown as JobRow, version: row.version});
		}

		if (failedJobIds.size > 0) {
			await delay(READ_RETRY_DELAY_MS, undefined, {ref: false});
		}

		return [...failedJobIds];
	}
}
