import {err, ok, type Result} from '@amaranthsail/core';
import {HttpService} from './http-service.js';
import {parseAnswer} from './parse-response.js';
import type {HttpServiceOptions, ParsedAnswer, ServiceCaller, ServiceError} from './service-call.js';
import type {
	Row, RowCondition, TableError, TableStore, Transaction,
} from './table-store.js';

/** Client of the table service. */
export class HttpTableStore implements TableStore {
	readonly #service: ServiceCaller;

	/**
	 * @param options - Address and bounds; 32 calls at once when they name no number.
	 */
	constructor(options: HttpServiceOptions) {
		this.#service = new HttpService(options);
	}

	/**
	 * Reads one row.
	 *
	 * @param table - The table.
	 * @param key - The key of the row.
	 * @returns The row, or undefined when it is absent. A read without an answer is `unavailable`, as it has no effect.
	 */
	async get(table: string, key: string): Promise<Result<Row | undefined, TableError>> {
		const answer = await this.#service.call({method: 'GET', path: `/v1/tables/${encodeURIComponent(table)}/${encodeURIComponent(key)}`});
		return readResult(parseAnswer(answer), false, ({row}) => {
			if (row === null) {
				return ok(undefined);
			}

			return isRow(row) ? ok(row) : undefined;
		});
	}

	/**
	 * Reads rows in key order.
	 *
	 * @param table - The table.
	 * @param options - Key prefix, the key after which to start, and the largest number of rows.
	 * @returns The rows. A read without an answer is `unavailable`, as it has no effect.
	 */
	async scan(
		table: string,
		options: {readonly prefix?: string; readonly after?: string; readonly limit: number},
	): Promise<Result<readonly Row[], TableError>> {
		const query = new URLSearchParams({limit: String(options.limit)});
		if (options.prefix !== undefined) {
			query.set('prefix', options.prefix);
		}

		if (options.after !== undefined) {
			query.set('after', options.after);
		}

		const answer = await this.#service.call({method: 'GET', path: `/v1/tables/${encodeURIComponent(table)}?${query.toString()}`});
		return readResult(parseAnswer(answer), false, ({rows}) => Array.isArray(rows) && rows.every(row => isRow(row)) ? ok(rows) : undefined);
	}

	/**
	 * Applies a transaction; sends it once.
	 *
	 * @param transaction - Conditions and writes.
	 * @returns The new version of each written row, or `outcome_unknown` when it was sent and no whole answer came.
	 */
	async transact(transaction: Transaction): Promise<Result<readonly number[], TableError>> {
		const answer = await this.#service.call({
			method: 'POST',
			path: '/v1/transactions',
			contentType: 'application/json',
			body: JSON.stringify({
				...transaction,
				writes: transaction.writes.map(({table, key, value}) => ({table, key, value: value ?? null})),
			}),
		});
		return readResult(parseAnswer(answer), true, ({versions}) =>
			isVersions(versions) && versions.length === transaction.writes.length ? ok(versions) : undefined);
	}

	/** Closes all connections; calls under way end without an answer. */
	async close(): Promise<void> {
		await this.#service.close();
	}
}

function readResult<Value>(
	answer: ParsedAnswer,
	hasEffect: boolean,
	read: (body: Readonly<Record<string, unknown>>) => Result<Value, TableError> | undefined,
): Result<Value, TableError> {
	const lost: TableError['kind'] = hasEffect ? 'outcome_unknown' : 'unavailable';
	switch (answer.kind) {
		case 'not_sent': {
			return err({kind: 'unavailable', message: answer.message});
		}

		case 'no_answer': {
			return err({kind: lost, message: answer.message});
		}

		case 'error': {
			return err(readError(answer.status, answer.error) ?? {kind: lost, message: answer.error.message});
		}

		case 'value': {
			return read(answer.body) ?? err({kind: lost, message: 'the answer does not follow the protocol'});
		}
	}
}

function readError(status: number, error: ServiceError): TableError | undefined {
	if (status === 409 && error.kind === 'condition_failed' && Array.isArray(error.failed)) {
		return {kind: 'condition_failed', failed: error.failed as readonly RowCondition[]};
	}

	if (status === 400 && error.kind === 'rejected') {
		return {kind: 'rejected', message: error.message};
	}

	return status === 503 && error.kind === 'unavailable' ? {kind: 'unavailable', message: error.message} : undefined;
}

function isVersions(value: unknown): value is readonly number[] {
	return Array.isArray(value) && value.every(version => Number.isSafeInteger(version));
}

function isRow(value: unknown): value is Row {
	const row = value as Partial<Row> | undefined;
	return typeof row?.key === 'string' && Number.isSafeInteger(row.version) && typeof row.value === 'object' && row.value !== null;
}
