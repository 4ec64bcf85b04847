/* eslint no-await-in-loop: "off" -- as in the other programs of the project */
import {createServer} from 'node:http';
import {
	callJson, listen, readJson, sendJson, sleep,
} from './http.mjs';

const HEARTBEAT_INTERVAL_MS = 1500;

/** A heartbeat is acknowledged if the 2xx arrives within a second. */
const ACKNOWLEDGEMENT_MS = 1000;

const TICK_MS = 10;

const MAX_LISTED_ENDS = 500;

/** A worker checkpoints after each two seconds of work; `checkpointIntervalS` of the site files. */
const CHECKPOINT_MS = 2000;

/** Share of `stopTimeoutMs` that a stop takes. */
const STOP_SHARE = 0.8;

/** Stand-in of a worker. It follows the page on running tasks, and records what it starts and how it ends. */
export class Worker {
	address;
	/** Whether a call is left unanswered and carried out by the next life, just after its start. Set by a case. */
	isLate = () => false;
	#record;
	#taskOf;
	#control;
	#name;
	#service;
	#capacity;
	#rack;
	#bounds;
	#lives = 0;
	#lateCalls = [];
	#life;
	#server;
	#port = 0;

	/**
	 * @param {object} options - What the worker is.
	 * @param {string} options.name - Machine of the worker.
	 * @param {string} options.service - Name of its service.
	 * @param {object} options.capacity - `cpu`, `memoryRequestMb` and `gpu`.
	 * @param {string} options.rack - Its rack.
	 * @param {(task: string) => {durationMs: number, outcome?: string, checkpointing?: boolean}} options.taskOf - What a task does.
	 * @param {{maxHoldMs: number, stopTimeoutMs: number}} options.bounds - Bounds of the site.
	 * @param {import('./record.mjs').Record} options.record - Receives starts and ends.
	 */
	constructor({name, service, capacity, rack, bounds, taskOf, record}) {
		this.#name = name;
		this.#service = service;
		this.#capacity = capacity;
		this.#rack = rack;
		this.#bounds = bounds;
		this.#taskOf = taskOf;
		this.#record = record;
	}

	/** Id of the present life; undefined while the worker is down. */
	get id() {
		return this.#life?.id;
	}

	/** Name of its machine. */
	get machine() {
		return this.#name;
	}

	/** Names of the running tasks. */
	get running() {
		return [...(this.#life?.runs.keys() ?? [])];
	}

	/**
	 * Opens the port for the agent.
	 *
	 * @param {string} control - Address for heartbeats.
	 * @returns {Promise<string>} The address for calls.
	 */
	async open(control) {
		this.#control = control;
		await this.#listen();
		this.address = `127.0.0.1:${this.#port}`;
		return this.address;
	}

	/**
	 * Begins a life.
	 *
	 * @param {{id?: string}} options - Its id; a new one by default.
	 */
	async start({id} = {}) {
		if (!this.#server) {
			await this.#listen();
		}

		this.#lives++;
		const born = Date.now();
		const life = {
			id: id ?? `i-${this.#name}-${this.#lives}`,
			born,
			startedAt: performance.now(),
			runs: new Map(),
			highest: new Map(),
			ends: [],
			endCount: 0,
			token: 0,
			leaseUntilMs: 0,
			sequence: 0,
			state: 'ready',
		};
		this.#life = life;
		this.#record.note('worker starts', {worker: life.id, born});
		for (const {path, body} of this.#lateCalls.splice(0)) {
			const {status, reason} = await this.#carryOut(life, path, body);
			this.#record.note('late call carried out', {
				path, task: body.task, run: body.run, worker: life.id, status, reason,
			});
		}

		this.#sendHeartbeats(life);
		this.#tick(life);
	}

	/** Crashes: everything is gone at once, and the port refuses connections. */
	crash() {
		const {id} = this.#life;
		this.#record.note('worker crashes', {worker: id, running: this.running});
		this.#end();
	}

	/**
	 * Drains the worker and ends it as the pages tell: `draining` in its heartbeats, then `drainMs` after the
	 * acknowledgement and a little longer the deregistration, then the end; some seconds later without an acknowledgement.
	 *
	 * @param {{drainMs: number, longerMs: number, unacknowledgedMs: number, onAcknowledged?: () => void}} times - Times.
	 */
	async leave({drainMs, longerMs, unacknowledgedMs, onAcknowledged}) {
		const life = this.#life;
		life.state = 'draining';
		life.leavesAt = performance.now() + drainMs;
		let isAcknowledged = false;
		while (!isAcknowledged) {
			isAcknowledged = await this.#beat(life);
		}

		this.#record.note('draining acknowledged', {worker: life.id});
		onAcknowledged?.();
		await sleep(drainMs + longerMs);
		this.#record.note('worker deregisters', {worker: life.id, running: this.running});
		const answer = await callJson(this.#control, {
			method: 'POST', path: `/instances/${life.id}/deregister`, body: {born: life.born}, timeoutMs: ACKNOWLEDGEMENT_MS,
		});
		if (answer.status !== 200) {
			this.#record.note('deregistration not acknowledged', {worker: life.id, error: answer.error ?? answer.status});
			await sleep(unacknowledgedMs - ACKNOWLEDGEMENT_MS);
		}

		this.#record.note('worker ends', {worker: life.id, running: this.running});
		this.#end();
	}

	close() {
		if (this.#life) {
			this.#end();
		}

		this.#closeServer();
	}

	/** @returns {object} Body of the next heartbeat. */
	nextHeartbeat() {
		return this.#heartbeatOf(this.#life);
	}

	async #listen() {
		this.#server = createServer((message, response) => {
			this.#serve(message, response);
		});
		const address = await listen(this.#server, '127.0.0.1', this.#port);
		this.#port = Number(address.split(':')[1]);
	}

	#closeServer() {
		this.#server?.close();
		this.#server?.closeAllConnections();
		this.#server = undefined;
	}

	#end() {
		for (const [task, {run}] of this.#life.runs) {
			this.#record.end({
				task, run, worker: this.#life.id, how: 'gone',
			});
		}

		this.#life = undefined;
		this.#closeServer();
	}

	async #sendHeartbeats(life) {
		while (this.#life === life) {
			this.#beat(life);
			await sleep(HEARTBEAT_INTERVAL_MS);
		}
	}

	async #beat(life) {
		const answer = await callJson(this.#control, {
			method: 'POST', path: `/instances/${life.id}/heartbeat`, body: this.#heartbeatOf(life), timeoutMs: ACKNOWLEDGEMENT_MS,
		});
		if (answer.status !== 200) {
			await sleep(100);
		}

		return answer.status === 200;
	}

	#heartbeatOf(life) {
		life.sequence++;
		return {
			service: this.#service,
			address: this.address,
			zone: 'a',
			version: 'v1',
			slots: 8,
			state: life.state,
			...(life.state === 'draining' && {remainingMs: Math.max(0, Math.round(life.leavesAt - performance.now()))}),
			coldRemainingMs: 0,
			capacity: this.#capacity,
			labels: ['a', this.#rack],
			clockMs: clockOf(life),
			sequence: life.sequence,
			born: life.born,
		};
	}

	async #tick(life) {
		while (this.#life === life) {
			const nowMs = clockOf(life);
			for (const [task, run] of life.runs) {
				if (nowMs > life.leaseUntilMs) {
					this.#endRun(life, task, 'lapsed');
				} else if (nowMs >= run.stopsAtMs) {
					this.#endRun(life, task, 'stopped');
				} else if (nowMs - run.startedAtMs >= run.durationMs) {
					this.#endRun(life, task, run.outcome);
				}
			}

			await sleep(TICK_MS);
		}
	}

	#endRun(life, task, how) {
		const run = life.runs.get(task);
		life.runs.delete(task);
		life.highest.set(task, Math.max(run.run, life.highest.get(task) ?? 0));
		life.endCount++;
		life.ends.push([life.endCount, task, run.run, how, savedBy(run, clockOf(life), how)]);
		this.#record.end({
			task, run: run.run, worker: life.id, how,
		});
	}

	async #serve(message, response) {
		const body = await readJson(message);
		const life = this.#life;
		if (!life) {
			return;
		}

		const expected = message.headers['x-expect-instance'];
		if (expected !== undefined && expected !== life.id) {
			sendJson(response, 421, {});
			return;
		}

		if (this.isLate(message.url, body)) {
			this.#record.note('call left unanswered', {path: message.url, task: body.task, run: body.run});
			this.#lateCalls.push({path: message.url, body});
			return;
		}

		const {status, reason, lists} = await this.#carryOut(life, message.url, body);
		if (this.#life === life) {
			sendJson(response, status, {
				clockMs: clockOf(life), born: life.born, ...(reason && {reason}), ...lists?.(),
			});
		}
	}

	async #carryOut(life, path, body) {
		if ((body.fencingToken ?? 0) < life.token) {
			return {status: 409, reason: 'fence'};
		}

		life.token = body.fencingToken ?? 0;
		switch (path) {
			case '/run-start': {
				const reason = this.#startRun(life, body);
				return {status: reason ? 409 : 200, reason};
			}

			case '/run-stop': {
				if (life.runs.get(body.task)?.run === body.run) {
					life.runs.get(body.task).stopsAtMs ??= clockOf(life) + (STOP_SHARE * this.#bounds.stopTimeoutMs);
				} else {
					life.highest.set(body.task, Math.max(body.run, life.highest.get(body.task) ?? 0));
				}

				return {status: 200};
			}

			case '/hold': {
				this.#extendLease(life, body.deadlineMs);
				life.ends = life.ends.filter(([number]) => number > (body.ackSeq ?? 0));
				this.#record.acknowledge(life.id, body.ackSeq ?? 0);
				const endMs = clockOf(life) + Math.min(2000, body.waitMs ?? 0);
				while (life.ends.length === 0 && clockOf(life) < endMs && this.#life === life) {
					await sleep(TICK_MS);
				}

				return {status: 200, lists: () => listsOf(life)};
			}

			default: {
				return {status: 404};
			}
		}
	}

	#extendLease(life, deadlineMs = 0) {
		life.leaseUntilMs = Math.max(life.leaseUntilMs, Math.min(deadlineMs, clockOf(life) + this.#bounds.maxHoldMs));
	}

	#startRun(life, {task, run, spec, deadlineMs, checkpoint = ''}) {
		this.#extendLease(life, deadlineMs);
		const present = life.runs.get(task);
		if (present?.run === run) {
			return undefined;
		}

		if (run <= Math.max(present?.run ?? 0, life.highest.get(task) ?? 0)) {
			return 'old';
		}

		if (deadlineMs < clockOf(life)) {
			return 'late';
		}

		if (present) {
			this.#endRun(life, task, 'stopped');
		}

		const {durationMs, outcome = 'done', checkpointing = false} = this.#taskOf(task);
		const savedMs = checkpoint === '' ? 0 : Number(checkpoint.split('-')[1]);
		life.runs.set(task, {
			run, startedAtMs: clockOf(life) - savedMs, durationMs, outcome, checkpointing,
		});
		this.#record.start({
			task, run, worker: life.id, spec,
		});
		return undefined;
	}
}

function clockOf(life) {
	return Math.floor(performance.now() - life.startedAt);
}

function savedBy({checkpointing, startedAtMs}, nowMs, how) {
	if (!checkpointing) {
		return '';
	}

	const workedMs = nowMs - startedAtMs;
	const savedMs = how === 'stopped' ? workedMs : Math.floor(workedMs / CHECKPOINT_MS) * CHECKPOINT_MS;
	return savedMs === 0 ? '' : `saved-${savedMs}`;
}

function listsOf(life) {
	const nowMs = clockOf(life);
	return {
		running: [...life.runs].map(([task, run]) => [task, run.run, savedBy(run, nowMs, ''), Math.min(99, Math.floor((nowMs - run.startedAtMs) / run.durationMs * 100)), 1000]),
		finished: life.ends.slice(0, MAX_LISTED_ENDS),
	};
}
