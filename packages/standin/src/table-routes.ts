import type {Row, TableStore, Transaction} from '@amaranthsail/backing-services';
import {z} from 'zod';
import type {Counters} from './counters.js';
import {json, type AppRequest, type Reply, type Route} from './http-server.js';
import {decodeRest, replyOf, withBody} from './replies.js';

/** Rows of a scan without `limit`. */
const DEFAULT_SCAN_ROWS = 100;

const PREFIX = '/v1/tables/';

const transactionSchema = z.strictObject({
	writeId: z.string().min(1),
	conditions: z.array(z.strictObject({table: z.string().min(1), key: z.string().min(1), version: z.int().min(0)})),
	// A deletion is an explicit null, so that a value that was left out by mistake deletes nothing.
	writes: z.array(z.strictObject({table: z.string().min(1), key: z.string().min(1), value: z.record(z.string(), z.unknown()).nullable()})),
});

/**
 * Makes the routes of the table service.
 *
 * @param store - Holds the rows.
 * @param counters - Counts what is served.
 * @returns The routes.
 */
export function tableRoutes(store: TableStore, counters: Counters): readonly Route[] {
	return [
		['GET', '/v1/tables/:table', async request => scan(store, counters, request)],
		['GET', '/v1/tables/:table/*', async request => read(store, counters, request)],
		['POST', '/v1/transactions', withBody(transactionSchema, async body => {
			counters.transactions += 1;
			const transaction: Transaction = {...body, writes: body.writes.map(write => ({...write, value: write.value ?? undefined}))};
			const result = await store.transact(transaction);
			counters.conditionsFailed += !result.ok && result.error.kind === 'condition_failed' ? 1 : 0;
			return replyOf(result, versions => {
				counters.writes += versions.length;
				return json({versions});
			});
		})],
	];
}

async function read(store: TableStore, counters: Counters, request: AppRequest): Promise<Reply> {
	const [encodedTable] = request.path.slice(PREFIX.length).split('/', 1);
	const table = decodeRest(encodedTable!, '');
	const key = decodeRest(request.path, `${PREFIX}${encodedTable!}/`);
	if (table === undefined || key === undefined) {
		return json({kind: 'rejected', message: 'expected /v1/tables/{table}/{key}, URL-encoded'}, 400);
	}

	counters.reads += 1;
	return replyOf(await store.get(table, key), row => rowReply(row, counters));
}

function rowReply(row: Row | undefined, counters: Counters): Reply {
	counters.rowsRead += row ? 1 : 0;
	return json({row: row ?? null});
}

async function scan(store: TableStore, counters: Counters, request: AppRequest): Promise<Reply> {
	const table = decodeRest(request.path, PREFIX);
	const limit = Number(request.query.get('limit') ?? DEFAULT_SCAN_ROWS);
	if (table === undefined || !Number.isSafeInteger(limit) || limit < 1) {
		return json({kind: 'rejected', message: 'expected /v1/tables/{table}?prefix=&after=&limit= with a limit of at least 1'}, 400);
	}

	counters.reads += 1;
	const result = await store.scan(table, {
		prefix: request.query.get('prefix') ?? undefined,
		after: request.query.get('after') ?? undefined,
		limit,
	});
	return replyOf(result, rows => {
		counters.rowsRead += rows.length;
		return json({rows});
	});
}
