import type {PoolStore, StoredRow} from '@amaranthsail/pool';
import {sleep} from '@amaranthsail/pool-runtime';

const READ_TIMEOUT_MS = 2000;

/** Delay before the next try after the store failed. */
const RETRY_DELAY_MS = 100;

/** Rows of a table; those of later pages may be newer than `version`, at which the feed continues. */
export type TableRows = {readonly rows: readonly StoredRow[]; readonly version: number};

/**
 * Reads all rows of a table, page by page, and again until the store answers.
 *
 * @param store - The store.
 * @param table - The table.
 * @param reading - `isStopped` tells whether to give up; `onPage` is called with each answer.
 * @returns The rows read so far, and the version of the first page.
 */
export async function readWholeTable(store: PoolStore, table: string, {isStopped, onPage}: {readonly isStopped: () => boolean; readonly onPage: () => void}): Promise<TableRows> {
	const rows: StoredRow[] = [];
	let version: number | undefined;
	let from: string | undefined;
	while (!isStopped()) {
		const page = await store.read(table, from === undefined ? {} : {from}, READ_TIMEOUT_MS);
		if (!page.ok) {
			await sleep(RETRY_DELAY_MS);
			continue;
		}

		onPage();
		// The feed delivers changes between two pages: it starts at the version of the first page.
		version ??= page.value.version;
		rows.push(...page.value.rows);
		if (!page.value.hasMore) {
			break;
		}

		from = `${rows.at(-1)!.key}\0`;
	}

	return {rows, version: version ?? 0};
}
