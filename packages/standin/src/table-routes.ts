import type {Row, TableStore, Transaction} from '@amaranthsail/backing-services';
import {z} from 'zod';
import type {Counters} from './counters.js';
import {jsonReply, type HttpRequest, type Reply, type Route} from './http-server.js';
import {decodePathRemainder, createReply, withJsonBody} from './replies.js';

/** Maximum number of rows of a scan without `limit`. */
const DEFAULT_SCAN_LIMIT = 100;

const TABLE_PREFIX = '/v1/tables/';

const transactionSchema = z.strictObject({
	writeId: z.string().min(1),
	conditions: z.array(z.strictObject({table: z.string().min(1), key: z.string().min(1), version: z.int().min(0)})),
	// A deletion needs an explicit null, so that a value omitted by mistake deletes nothing.
	writes: z.array(z.strictObject({table: z.string().min(1), key: z.string().min(1), value: z.record(z.string(), z.unknown()).nullable()})),
});

/**
 * Creates the routes of the table store.
 *
 * @param store - The table store.
 * @param counters - Counts the requests.
 * @returns The routes.
 */
export function createTableRoutes(store: TableStore, counters: Counters): readonly Route[] {
	return [
		['GET', '/v1/tables/:table', async request => scanTable(store, counters, request)],
		['GET', '/v1/tables/:table/*', async request => readRow(store, counters, request)],
		['POST', '/v1/transactions', withJsonBody(transactionSchema, async body => {
			counters.transactions += 1;
			const transaction: Transaction = {...body, writes: body.writes.map(write => ({...write, value: write.value ?? undefined}))};
			const result = await store.transact(transaction);
			counters.conditionsFailed += !result.ok && result.error.kind === 'condition_failed' ? 1 : 0;
			return createReply(result, versions => {
				counters.writes += versions.length;
				return jsonReply({versions});
			});
		})],
	];
}

async function readRow(store: TableStore, counters: Counters, request: HttpRequest): Promise<Reply> {
	const [encodedTable] = request.path.slice(TABLE_PREFIX.length).split('/', 1);
	const table = decodePathRemainder(encodedTable!, '');
	const key = decodePathRemainder(request.path, `${TABLE_PREFIX}${encodedTable!}/`);
	if (table === undefined || key === undefined) {
		return jsonReply({kind: 'rejected', message: 'expected /v1/tables/{table}/{key}, URL-encoded'}, 400);
	}

	counters.reads += 1;
	return createReply(await store.get(table, key), row => createRowReply(row, counters));
}

function createRowReply(row: Row | undefined, counters: Counters): Reply {
	counters.rowsRead += row ? 1 : 0;
	return jsonReply({row: row ?? null});
}

async function scanTable(store: TableStore, counters: Counters, request: HttpRequest): Promise<Reply> {
	const table = decodePathRemainder(request.path, TABLE_PREFIX);
	const limit = Number(request.query.get('limit') ?? DEFAULT_SCAN_LIMIT);
	if (table === undefined || !Number.isSafeInteger(limit) || limit < 1) {
		return jsonReply({kind: 'rejected', message: 'expected /v1/tables/{table}?prefix=&after=&limit= with a limit of at least 1'}, 400);
	}

	counters.reads += 1;
	const result = await store.scan(table, {
		prefix: request.query.get('prefix') ?? undefined,
		after: request.query.get('after') ?? undefined,
		limit,
	});
	return createReply(result, rows => {
		counters.rowsRead += rows.length;
		return jsonReply({rows});
	});
}
