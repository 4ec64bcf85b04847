/* eslint-disable no-await-in-loop */
import {Buffer} from 'node:buffer';
import {
	listen, readJson, sendJson, sleep,
} from './http.mjs';

/** Times of a call, as in the settings of a small deployment. */
const CALL_MS = 4;
const MAX_PAGE_ROWS = 500;

/** Stand-in of the platform's row store (table form): linearizable, loses nothing that it has acknowledged. */
export class Store {
	/** What each process meets instead of the store, by name: absent for normal service, or 'silent', 'busy'. */
	gates = new Map();
	/** Called with each transaction; may return a delay in ms after which it is executed without an answer. */
	lateDelayOf = () => undefined;
	#rows = new Map();
	#log = [];
	#version = 1;
	#waiters = new Set();
	#servers = [];

	/** Opens one address for one process, so that the stand-in can turn that process away. */
	async open(name) {
		const server = await listen((message, response) => this.#serve(name, message, response));
		this.#servers.push(server);
		return server.address;
	}

	/** Writes a row as the operator does. */
	put(table, key, value) {
		this.#apply({
			puts: [{
				table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64'),
			}],
		});
	}

	/** Reads the decoded value of a row. */
	get(table, key) {
		const row = this.#rows.get(`${table}/${key}`);
		return row && JSON.parse(Buffer.from(row.value, 'base64').toString());
	}

	close() {
		for (const server of this.#servers) {
			server.close();
		}
	}

	async #serve(name, message, response) {
		const body = await readJson(message);
		const gate = this.gates.get(name);
		if (gate === 'silent') {
			return;
		}

		if (gate === 'busy') {
			sendJson(response, 503);
			return;
		}

		await sleep(CALL_MS);
		const url = new URL(message.url, 'http://store');
		switch (url.pathname) {
			case '/rows-tx': {
				const delayMs = this.lateDelayOf(name, body);
				if (delayMs !== undefined) {
					await sleep(delayMs);
					this.#apply(body);
					return;
				}

				const [status, answer] = this.#apply(body);
				sendJson(response, status, answer);
				return;
			}

			case '/rows-get': {
				sendJson(response, 200, this.#read(url.searchParams));
				return;
			}

			case '/rows-feed': {
				sendJson(response, 200, await this.#feed(url.searchParams));
				return;
			}

			default: {
				sendJson(response, 404);
			}
		}
	}

	#read(query) {
		const [table, part, from, to] = ['table', 'part', 'from', 'to'].map(name => query.get(name) ?? '');
		const limit = Math.min(MAX_PAGE_ROWS, Number(query.get('limit') ?? MAX_PAGE_ROWS));
		const rows = [...this.#rows.values()]
			.filter(row => row.table === table && row.part === part && row.key >= from && (to === '' || row.key < to))
			.toSorted((left, right) => Buffer.compare(Buffer.from(left.key), Buffer.from(right.key)));
		return {rows: rows.slice(0, limit), hasMore: rows.length > limit, ...this.#head()};
	}

	async #feed(query) {
		const table = query.get('table');
		const after = Number(query.get('after'));
		const endMs = performance.now() + Math.min(30_000, Number(query.get('waitMs') ?? 0));
		for (;;) {
			const rows = this.#log.filter(row => row.table === table && row.rowVersion > after);
			const leftMs = endMs - performance.now();
			if (rows.length > 0 || leftMs <= 0) {
				return {rows, ...this.#head()};
			}

			let wake;
			const changed = new Promise(resolve => {
				wake = resolve;
			});
			this.#waiters.add(wake);
			await Promise.race([changed, sleep(leftMs)]);
			this.#waiters.delete(wake);
		}
	}

	#head() {
		return {rowVersion: this.#version, nowMs: Math.floor(performance.now())};
	}

	#apply({precondition = [], puts = [], remove = []}) {
		const presentOf = row => this.#rows.get(`${row.table}/${row.key}`);
		if (precondition.some(row => (presentOf(row)?.rowVersion ?? 0) !== row.rowVersion)) {
			return [412, {rows: precondition.map(row => presentOf(row)).filter(Boolean), ...this.#head()}];
		}

		this.#version++;
		for (const {table, part, key, value} of puts) {
			const row = {
				table, part, key, value, rowVersion: this.#version,
			};
			this.#rows.set(`${table}/${key}`, row);
			this.#log.push(row);
		}

		for (const {table, part, key} of remove) {
			if (this.#rows.delete(`${table}/${key}`)) {
				this.#log.push({
					table, part, key, value: '', rowVersion: this.#version, deleted: true,
				});
			}
		}

		for (const wake of this.#waiters) {
			wake();
		}

		return [200, this.#head()];
	}
}
