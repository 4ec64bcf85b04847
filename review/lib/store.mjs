/* eslint no-await-in-loop: "off" -- as in the other programs of the project */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {
	listen, readJson, sendJson, sleep,
} from './http.mjs';

/** Time that a call takes; the site files name 4 ms. */
const CALL_MS = 4;

/** What becomes of a call. */
export const FATES = {
	served: 'served',
	/** Answer 503; nothing was done. */
	busy: 'busy',
	/** Neither done nor answered. */
	silent: 'silent',
	/** Done and not answered; the connection delivers nothing further. */
	answerLost: 'answerLost',
	/** The connection is reset; nothing was done. */
	reset: 'reset',
};

/** Stand-in of the platform's store: linearizable tables with a change feed, and one address for each machine that calls. */
export class Store {
	/** Chooses the fate of a call. Set by a case; all calls are served by default. */
	chooseFate = () => FATES.served;
	/** Called after each transaction that took effect. */
	onTransaction = () => undefined;
	#rows = new Map();
	#version = 1;
	#waiters = new Set();
	#servers = [];
	#sockets = new Set();
	#silentSockets = new WeakSet();

	/**
	 * Opens an address for one machine.
	 *
	 * @param {string} machine - Name of the machine.
	 * @returns {Promise<string>} The address.
	 */
	async open(machine) {
		const server = createServer((message, response) => {
			this.#serve(machine, message, response);
		});
		server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
		this.#servers.push(server);
		return listen(server);
	}

	/** Writes a row as the operator does. */
	put(table, key, value) {
		const {body} = this.#apply({
			puts: [{
				table, part: '', key, value: encode(value),
			}],
		});
		return body.rowVersion;
	}

	/** @returns {unknown} The decoded value of a row. */
	get(table, key) {
		const row = this.#find({table, part: '', key});
		return row && JSON.parse(Buffer.from(row.value, 'base64').toString());
	}

	/**
	 * Makes all open connections silent for good; new ones work.
	 *
	 * @returns {number} Number of the connections.
	 */
	silenceConnections() {
		for (const socket of this.#sockets) {
			this.#silentSockets.add(socket);
		}

		return this.#sockets.size;
	}

	close() {
		for (const server of this.#servers) {
			server.close();
			server.closeAllConnections();
		}
	}

	async #serve(machine, message, response) {
		const body = await readJson(message);
		const url = new URL(message.url, 'http://store');
		const call = {
			machine, method: message.method, path: url.pathname, query: url.searchParams, body,
		};
		await sleep(CALL_MS);
		const fate = this.#silentSockets.has(message.socket) ? FATES.silent : this.chooseFate(call);
		if (fate === FATES.silent) {
			return;
		}

		if (fate === FATES.reset) {
			message.socket.resetAndDestroy();
			return;
		}

		if (fate === FATES.busy) {
			sendJson(response, 503, {});
			return;
		}

		const answer = await this.#answer(call);
		if (fate === FATES.served && !this.#silentSockets.has(message.socket)) {
			sendJson(response, answer.status, answer.body);
		}
	}

	async #answer({machine, path, query, body}) {
		switch (path) {
			case '/rows-tx': {
				const answer = this.#apply(body);
				if (answer.status === 200) {
					this.onTransaction({machine, transaction: body});
				}

				return answer;
			}

			case '/rows-get': {
				return this.#read(query);
			}

			case '/rows-feed': {
				return this.#follow(query);
			}

			default: {
				return {status: 404, body: {}};
			}
		}
	}

	#apply({precondition = [], puts = [], remove = []}) {
		if (precondition.some(row => (this.#find(row)?.rowVersion ?? 0) !== row.rowVersion)) {
			return {status: 412, body: this.#withVersion({rows: precondition.flatMap(row => this.#find(row) ?? [])})};
		}

		this.#version++;
		for (const {table, part, key, value} of puts) {
			this.#rows.set(keyOf({table, part, key}), {
				table, part, key, value, rowVersion: this.#version,
			});
		}

		for (const {table, part, key} of remove) {
			this.#rows.set(keyOf({table, part, key}), {
				table, part, key, value: '', rowVersion: this.#version, deleted: true,
			});
		}

		for (const wake of this.#waiters) {
			wake();
		}

		return {status: 200, body: this.#withVersion({})};
	}

	#read(query) {
		const [table, part, from, to] = ['table', 'part', 'from', 'to'].map(name => query.get(name) ?? '');
		const limit = Math.min(500, Number(query.get('limit') ?? 500));
		const rows = [...this.#rows.values()]
			.filter(row => row.table === table && row.part === part && !row.deleted && row.key >= from && (to === '' || row.key < to))
			.toSorted((left, right) => (left.key < right.key ? -1 : 1));
		return {status: 200, body: this.#withVersion({rows: rows.slice(0, limit), hasMore: rows.length > limit})};
	}

	async #follow(query) {
		const after = Number(query.get('after'));
		const changed = () => [...this.#rows.values()]
			.filter(row => row.table === query.get('table') && row.rowVersion > after)
			.toSorted((left, right) => left.rowVersion - right.rowVersion);
		const endMs = Date.now() + Number(query.get('waitMs'));
		while (changed().length === 0 && Date.now() < endMs) {
			await this.#nextChange(endMs - Date.now());
		}

		return {status: 200, body: this.#withVersion({rows: changed()})};
	}

	async #nextChange(withinMs) {
		await new Promise(resolve => {
			const wake = () => {
				clearTimeout(timer);
				this.#waiters.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, withinMs);
			this.#waiters.add(wake);
		});
	}

	#find(row) {
		const found = this.#rows.get(keyOf(row));
		return found?.deleted ? undefined : found;
	}

	#withVersion(body) {
		return {...body, rowVersion: this.#version, nowMs: Math.floor(performance.now())};
	}
}

function keyOf({table, part, key}) {
	return JSON.stringify([table, part, key]);
}

function encode(value) {
	return Buffer.from(JSON.stringify(value)).toString('base64');
}
