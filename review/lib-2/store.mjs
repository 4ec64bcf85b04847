/* eslint-disable no-await-in-loop -- events are awaited one after another */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {answerJson, readJson, sleep} from './http.mjs';

const HISTORY_MS = 20_000;
const MAX_PAGE_ROWS = 500;
const MAX_TRANSACTION_ROWS = 100;

/** Stand-in of the platform's store: rows in tables, transactions and the feed, as the protocol page describes them. */
export class Store {
	/** Either `up`, `busy` (503, nothing is done) or `silent` (nothing is done, no answer). */
	mode = 'up';
	answerDelayMs = 4;
	/** Decides about each transaction; a number is the time in ms after which it is done without an answer. */
	lateMsOf = () => undefined;
	#rows = new Map();
	#version = 1;
	#history = [];
	#waiting = new Set();
	#server;
	#startedAtMs = performance.now();

	async listen(ip, port) {
		this.#server = createServer((request, response) => {
			this.#serve(request, response).catch(() => {
				response.destroy();
			});
		});
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, ip, resolve);
		});
	}

	close() {
		this.#server?.closeAllConnections();
		this.#server?.close();
	}

	/** Writes a row without a condition, as the operator does. */
	put(table, key, value) {
		this.#apply({
			puts: [{
				table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64'),
			}],
		});
	}

	/** @returns The value of a row, or undefined. */
	get(table, key) {
		const row = this.#rows.get(`${table}\n\n${key}`);
		return row && JSON.parse(Buffer.from(row.value, 'base64').toString());
	}

	async #serve(request, response) {
		const body = await readJson(request);
		if (this.mode === 'silent') {
			return;
		}

		await sleep(this.answerDelayMs);
		if (this.mode === 'silent') {
			return;
		}

		if (this.mode === 'busy') {
			answerJson(response, 503, {});
			return;
		}

		const url = new URL(request.url, 'http://store');
		switch (url.pathname) {
			case '/rows-tx': {
				const lateMs = this.lateMsOf(body ?? {});
				if (lateMs !== undefined) {
					await sleep(lateMs);
					this.#apply(body ?? {});
					return;
				}

				const [status, answer] = this.#apply(body ?? {});
				answerJson(response, status, {...answer, nowMs: this.#nowMs()});
				return;
			}

			case '/rows-get': {
				answerJson(response, 200, this.#read(url.searchParams));
				return;
			}

			case '/rows-feed': {
				await this.#feed(url.searchParams, response);
				return;
			}

			default: {
				answerJson(response, 404, {});
			}
		}
	}

	#nowMs() {
		return Math.floor(performance.now() - this.#startedAtMs);
	}

	#read(parameters) {
		const [table, part, from, to] = ['table', 'part', 'from', 'to'].map(name => parameters.get(name));
		const limit = Math.min(MAX_PAGE_ROWS, Number(parameters.get('limit') ?? MAX_PAGE_ROWS));
		const found = [...this.#rows.values()]
			.filter(row => row.table === table && row.part === (part ?? '') && (from === null || row.key >= from) && (to === null || row.key < to))
			.toSorted((left, right) => Buffer.compare(Buffer.from(left.key), Buffer.from(right.key)));
		return {
			rows: found.slice(0, limit), hasMore: found.length > limit, rowVersion: this.#version, nowMs: this.#nowMs(),
		};
	}

	async #feed(parameters, response) {
		const table = parameters.get('table');
		const after = Number(parameters.get('after'));
		const untilMs = this.#nowMs() + Math.min(30_000, Number(parameters.get('waitMs') ?? 0));
		for (;;) {
			const oldest = this.#history[0];
			if (oldest !== undefined && after < oldest.rowVersion - 1 && after < this.#forgottenUpTo) {
				answerJson(response, 410, {});
				return;
			}

			const changes = this.#history.filter(change => change.rowVersion > after && change.table === table);
			const leftMs = untilMs - this.#nowMs();
			if (changes.length > 0 || leftMs <= 0) {
				const newest = new Map(changes.map(change => [`${change.part}\n${change.key}`, change]));
				answerJson(response, 200, {rows: [...newest.values()], rowVersion: this.#version, nowMs: this.#nowMs()});
				return;
			}

			await new Promise(resolve => {
				const timer = setTimeout(resolve, leftMs);
				this.#waiting.add(() => {
					clearTimeout(timer);
					resolve();
				});
			});
			if (this.mode !== 'up') {
				if (this.mode === 'busy') {
					answerJson(response, 503, {});
				}

				return;
			}
		}
	}

	#forgottenUpTo = 0;

	#apply({precondition = [], puts = [], remove = []}) {
		if (precondition.length + puts.length + remove.length > MAX_TRANSACTION_ROWS) {
			return [400, {}];
		}

		const keyOf = ({table, part, key}) => `${table}\n${part ?? ''}\n${key}`;
		if (precondition.some(row => (this.#rows.get(keyOf(row))?.rowVersion ?? 0) !== row.rowVersion)) {
			return [412, {rows: precondition.flatMap(row => this.#rows.get(keyOf(row)) ?? []), rowVersion: this.#version}];
		}

		this.#version++;
		for (const {table, part, key, value} of puts) {
			const row = {
				table, part: part ?? '', key, value, rowVersion: this.#version,
			};
			this.#rows.set(keyOf(row), row);
			this.#history.push({...row, atMs: this.#nowMs()});
		}

		for (const row of remove) {
			if (this.#rows.delete(keyOf(row))) {
				this.#history.push({
					table: row.table, part: row.part ?? '', key: row.key, value: '', rowVersion: this.#version, deleted: true, atMs: this.#nowMs(),
				});
			}
		}

		while (this.#history.length > 0 && this.#history[0].atMs < this.#nowMs() - HISTORY_MS) {
			this.#forgottenUpTo = this.#history.shift().rowVersion;
		}

		for (const wake of this.#waiting) {
			wake();
		}

		this.#waiting.clear();
		return [200, {rowVersion: this.#version}];
	}
}
