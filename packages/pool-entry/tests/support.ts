import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from '@amaranthsail/core';
import {type RouteHandler, serveJson} from '@amaranthsail/pool-runtime';
import type {
	JobRow, KeyRange, PoolStore, RowCondition, RowPage, RowWrite, StoredRow, StoreError,
} from '@amaranthsail/pool';

/** Fault that {@link MemoryPoolStore} applies to its calls. */
export type StoreFault = 'none' | 'refuse' | 'lose_answer' | 'lose_call' | 'slow';

/** Time of one transaction of a slow store, which executes one at a time. */
export const SLOW_TRANSACTION_MS = 170;

/** A stored job with one task. */
export const JOB_ROW: JobRow = {
	queue: 'q',
	account: 'north',
	acceptedAtMs: 1,
	spec: {
		payload: '', steps: [{
			taskCount: 1, shape: {cpuMillis: 1, memoryMb: 1, accelerators: 1}, estimatedMs: 1, after: [], isGang: false, prefersOneRack: false, isCheckpointing: false, isLasting: false,
		}],
	},
};

/** Serves a peer's API on a free port of the loopback interface. */
export async function servePeer(routes: Record<string, RouteHandler>): Promise<{readonly address: string; readonly close: () => void}> {
	const server = await serveJson('127.0.0.1:0', routes, (path, error) => {
		throw new Error(`${path} failed`, {cause: error});
	});
	const address = server.address();
	return {
		address: `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`,
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
}

/** Linearizable in-memory store with injectable faults. */
export class MemoryPoolStore implements PoolStore {
	readonly rows = new Map<string, StoredRow>();
	fault: StoreFault = 'none';
	version = 1;
	transactions = 0;
	#queue: Promise<unknown> = Promise.resolve();

	put(table: string, key: string, value: unknown): StoredRow {
		const row: StoredRow = {table, key, value, version: ++this.version, isRemoved: false};
		this.rows.set(`${table}/${key}`, row);
		return row;
	}

	async transact(conditions: readonly RowCondition[], writes: readonly RowWrite[], timeoutMs = Number.POSITIVE_INFINITY): Promise<Result<{readonly version: number}, StoreError>> {
		this.transactions++;
		if (this.fault === 'slow') {
			return this.#transactSlowly(conditions, writes, timeoutMs);
		}

		if (this.fault === 'refuse') {
			return err({kind: 'unavailable', message: 'busy'});
		}

		if (this.fault === 'lose_call') {
			return err({kind: 'outcome_unknown', message: 'no answer'});
		}

		const result = this.#apply(conditions, writes);
		return this.fault === 'lose_answer' ? err({kind: 'outcome_unknown', message: 'no answer'}) : result;
	}

	async read(table: string, range: KeyRange): Promise<Result<RowPage, StoreError>> {
		if (this.fault !== 'none') {
			return err({kind: 'unavailable', message: 'busy'});
		}

		const rows = [...this.rows.values()]
			.filter(row => row.table === table && row.key >= (range.from ?? '') && (range.to === undefined || row.key < range.to))
			.toSorted((left, right) => (left.key < right.key ? -1 : 1));
		return ok({rows, version: this.version, hasMore: false});
	}

	async follow(table: string): Promise<Result<RowPage, StoreError>> {
		return this.read(table, {});
	}

	/** Executes the transaction even if it times out for its caller. */
	async #transactSlowly(conditions: readonly RowCondition[], writes: readonly RowWrite[], timeoutMs: number): Promise<Result<{readonly version: number}, StoreError>> {
		const previous = this.#queue;
		const transaction = (async () => {
			await previous;
			await delay(SLOW_TRANSACTION_MS);
			return this.#apply(conditions, writes);
		})();
		this.#queue = transaction;
		return Promise.race([transaction, delay(timeoutMs, err({kind: 'outcome_unknown' as const, message: 'timeout'}))]);
	}

	#apply(conditions: readonly RowCondition[], writes: readonly RowWrite[]): Result<{readonly version: number}, StoreError> {
		const failed = conditions.filter(({table, key, version}) => (this.rows.get(`${table}/${key}`)?.version ?? 0) !== version);
		if (failed.length > 0) {
			return err({kind: 'condition_failed', rows: conditions.flatMap(({table, key}) => this.rows.get(`${table}/${key}`) ?? [])});
		}

		this.version++;
		for (const {table, key, value} of writes) {
			if (value === undefined) {
				this.rows.delete(`${table}/${key}`);
			} else {
				this.rows.set(`${table}/${key}`, {table, key, value, version: this.version, isRemoved: false});
			}
		}

		return ok({version: this.version});
	}
}
