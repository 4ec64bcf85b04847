import {err, ok, type JobRow, type Result} from '@amaranthsail/core';
import {OWNER_TABLES} from '@amaranthsail/owner';
import type {Row, RowValue, TableError, TableStore} from '@amaranthsail/backing-services';
import {apiError, type ApiError} from './api-error.js';

/** Table that indexes jobs by client account. */
export const ACCOUNT_JOBS_TABLE = 'account_jobs';

/** Maximum number of jobs in one listing. */
export const MAX_LISTED_JOBS = 100;

/**
 * Converts an error of the table store into an error of the API, for operations that only read.
 *
 * @param error - The error of the table store.
 * @returns The error of the API.
 */
export function storeReadError(error: TableError): ApiError {
	const message = 'message' in error ? error.message : error.kind;
	return apiError('store_unavailable', `The store does not answer (${message}); ask again.`, {outcome: 'unknown'});
}

/** Reads jobs from the tables. */
export class JobStore {
	readonly #tables: TableStore;

	/**
	 * @param tables - The platform's tables.
	 */
	constructor(tables: TableStore) {
		this.#tables = tables;
	}

	/**
	 * Reads a job of a client account.
	 *
	 * @param account - The client account that sent the request.
	 * @param jobId - The job.
	 * @returns The row with its version; `not_found` also for the job of another account.
	 */
	async read(account: string, jobId: string): Promise<Result<{readonly row: JobRow; readonly version: number}, ApiError>> {
		const result = await this.#tables.get(OWNER_TABLES.jobs, jobId);
		if (!result.ok) {
			return err(storeReadError(result.error));
		}

		const row = result.value?.value as JobRow | undefined;
		if (!result.value || row?.spec.account !== account) {
			return err(apiError('not_found', `There is no job ${jobId} of this account.`, {outcome: 'unknown'}));
		}

		return ok({row, version: result.value.version});
	}

	/**
	 * Lists the newest jobs of a client account.
	 *
	 * @param account - The client account.
	 * @returns At most {@link MAX_LISTED_JOBS} jobs, newest first.
	 */
	async list(account: string): Promise<Result<readonly JobRow[], ApiError>> {
		const index = await this.#tables.scan(ACCOUNT_JOBS_TABLE, {prefix: `${account}/`, limit: MAX_LISTED_JOBS});
		if (!index.ok) {
			return err(storeReadError(index.error));
		}

		const results = await Promise.all(index.value.map(async entry => this.#tables.get(OWNER_TABLES.jobs, String(entry.value.jobId))));
		const failed = results.find(result => !result.ok);
		if (failed && !failed.ok) {
			return err(storeReadError(failed.error));
		}

		const rows = results.map(result => result.ok ? result.value : undefined);
		return ok(rows.flatMap(row => row ? [row.value as JobRow] : []));
	}
}

/**
 * Builds the key of a job in the index of its account. Keys sort the newest job first.
 *
 * @param account - The client account.
 * @param acceptedAtMs - Wall time of the acceptance, in milliseconds.
 * @param jobId - The job.
 * @returns The key.
 */
export function accountJobKey(account: string, acceptedAtMs: number, jobId: string): string {
	const reversed = (Number.MAX_SAFE_INTEGER - Math.round(acceptedAtMs)).toString().padStart(16, '0');
	return `${account}/${reversed}/${jobId}`;
}
