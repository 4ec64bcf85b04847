import {err, ok, type Result} from '@amaranthsail/core';
import {HttpService} from './http-service.js';
import {parseResponse} from './parse-response.js';
import type {HttpServiceOptions, ParsedResponse, ServiceClient, ServiceError} from './service-call.js';
import type {
	Row, RowCondition, TableError, TableStore, Transaction,
} from './table-store.js';

/** Client of the table service. */
export class HttpTableStore implements TableStore {
	readonly #service: ServiceClient;

	/**
	 * @param options - Address and limits; 32 parallel calls by default.
	 */
	constructor(options: HttpServiceOptions) {
		this.#service = new HttpService(options);
	}

	/**
	 * Reads one row.
	 *
	 * @param table - The table.
	 * @param key - The key of the row.
	 * @returns The row, or undefined when it is absent. A read without a response is `unavailable`, as it has no effect.
	 */
	async get(table: string, key: string): Promise<Result<Row | undefined, TableError>> {
		const response = await this.#service.call({method: 'GET', path: `/v1/tables/${encodeURIComponent(table)}/${encodeURIComponent(key)}`});
		return readResult(parseResponse(response), false, ({row}) => {
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
	 * @param options - Key prefix, the key after which to start, and the maximum number of rows.
	 * @returns The rows. A read without a response is `unavailable`, as it has no effect.
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

		const response = await this.#service.call({method: 'GET', path: `/v1/tables/${encodeURIComponent(table)}?${query.toString()}`});
		return readResult(parseResponse(response), false, ({rows}) => Array.isArray(rows) && rows.every(row => isRow(row)) ? ok(rows) : undefined);
	}

	/**
	 * Applies a transaction; sends it once.
	 *
	 * @param transaction - Conditions and writes.
	 * @returns The new version of each written row, or `outcome_unknown` when it was sent and no complete response was received.
	 */
	async transact(transaction: Transaction): Promise<Result<readonly number[], TableError>> {
		const response = await this.#service.call({
			method: 'POST',
			path: '/v1/transactions',
			contentType: 'application/json',
			body: JSON.stringify({
				...transaction,
				writes: transaction.writes.map(({table, key, value}) => ({table, key, value: value ?? null})),
			}),
		});
		return readResult(parseResponse(response), true, ({versions}) =>
			isVersions(versions) && versions.length === transaction.writes.length ? ok(versions) : undefined);
	}

	/** Closes all connections; calls in flight end without a response. */
	async close(): Promise<void> {
		await this.#service.close();
	}
}

function readResult<Value>(
	response: ParsedResponse,
	hasEffect: boolean,
	parseBody: (body: Readonly<Record<string, unknown>>) => Result<Value, TableError> | undefined,
): Result<Value, TableError> {
	const unansweredKind: TableError['kind'] = hasEffect ? 'outcome_unknown' : 'unavailable';
	switch (response.kind) {
		case 'not_sent': {
			return err({kind: 'unavailable', message: response.message});
		}

		case 'no_response': {
			return err({kind: unansweredKind, message: response.message});
		}

		case 'error': {
			return err(readError(response.status, response.error) ?? {kind: unansweredKind, message: response.error.message});
		}

		case 'value': {
			return parseBody(response.body) ?? err({kind: unansweredKind, message: 'the answer does not follow the protocol'});
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
