/* eslint-disable no-await-in-loop, no-void */
import {Agent} from 'node:http';
import {
	call, listen, readJson, sendJson, sleep,
} from './http.mjs';

const TICK_MS = 20;
const MAX_LISTED_ENDS = 500;

/** Calls that are carried out late come 2 to 12 s after they were sent. */
const LATE_MS = 4000;

/** The bounds that concern a worker, as on the site cespiti-sail. */
export const WORKER_BOUNDS = {maxHoldMs: 10_000, stopTimeoutMs: 200, heartbeatIntervalMs: 1500};

/** One life of a worker: its clock, lease, fencing token, runs and their ends. */
class Life {
	born = Date.now();
	/** Time on the clock of this life before which it does not leave; absent unless it drains. */
	leavesAtMs;
	#startedAtMs = performance.now();
	#deps;
	#runs = new Map();
	#highest = new Map();
	#finished = [];
	#endCount = 0;
	#fence = 0;
	#leaseUntilMs = 0;
	#sequence = 0;

	constructor(id, deps) {
		this.id = id;
		this.#deps = deps;
	}

	get clockMs() {
		return Math.floor(performance.now() - this.#startedAtMs);
	}

	get tasks() {
		return [...this.#runs.keys()];
	}

	heartbeat({service, zone, capacity, labels, address}) {
		const remainingMs = this.leavesAtMs === undefined ? undefined : Math.max(0, this.leavesAtMs - this.clockMs);
		return {
			service,
			address,
			zone,
			version: 'v1',
			slots: 8,
			state: remainingMs === undefined ? 'ready' : 'draining',
			capacity,
			labels,
			clockMs: this.clockMs,
			sequence: ++this.#sequence,
			born: this.born,
			...(remainingMs > 0 && {remainingMs}),
		};
	}

	tick() {
		const nowMs = this.clockMs;
		if (this.#runs.size > 0 && nowMs > this.#leaseUntilMs) {
			for (const task of this.tasks) {
				this.#end(task, 'lapsed');
			}
		}

		for (const [task, run] of this.#runs) {
			if (run.stopAtMs !== undefined && nowMs >= run.stopAtMs) {
				this.#end(task, 'stopped');
			} else if (nowMs >= run.endAtMs) {
				this.#end(task, run.how);
			}
		}
	}

	/** Carries out a call; returns status and body. */
	async handle(path, request) {
		if ((request.fencingToken ?? 0) < this.#fence) {
			return [409, {clockMs: this.clockMs, reason: 'fence'}];
		}

		this.#fence = request.fencingToken ?? 0;
		switch (path) {
			case '/run-start': {
				const reason = this.#start(request);
				return reason === undefined ? [200, {clockMs: this.clockMs}] : [409, {clockMs: this.clockMs, reason}];
			}

			case '/run-stop': {
				this.#stop(request);
				return [200, {clockMs: this.clockMs}];
			}

			case '/hold': {
				return [200, await this.#hold(request)];
			}

			default: {
				return [404, undefined];
			}
		}
	}

	#extendLease(deadlineMs = 0) {
		this.tick();
		this.#leaseUntilMs = Math.max(this.#leaseUntilMs, Math.min(deadlineMs, this.clockMs + WORKER_BOUNDS.maxHoldMs));
	}

	#start({task, run, spec, deadlineMs}) {
		const present = this.#runs.get(task);
		if (run <= (this.#highest.get(task) ?? 0) || run < (present?.number ?? 0)) {
			this.#extendLease(deadlineMs);
			return 'old';
		}

		if (deadlineMs < this.clockMs) {
			return 'late';
		}

		this.#extendLease(deadlineMs);
		if (present?.number === run) {
			return undefined;
		}

		if (present) {
			this.#end(task, 'stopped');
		}

		const {workMs, how} = this.#deps.workOf(spec, task);
		this.#runs.set(task, {
			number: run, sinceMs: this.clockMs, endAtMs: this.clockMs + workMs, how,
		});
		this.#deps.onRun({
			event: 'start', task, run, worker: this.id, spec,
		});
		return undefined;
	}

	#stop({task, run}) {
		const present = this.#runs.get(task);
		if (present?.number === run) {
			present.stopAtMs ??= this.clockMs + 50;
		} else if ((present?.number ?? 0) < run) {
			this.#highest.set(task, Math.max(run, this.#highest.get(task) ?? 0));
		}
	}

	async #hold({ackSeq = 0, deadlineMs, waitMs = 0}) {
		this.#extendLease(deadlineMs);
		this.#finished = this.#finished.filter(([number]) => number > ackSeq);
		this.#deps.onRun({event: 'acknowledged', worker: this.id, ackSeq});
		const untilMs = this.clockMs + Math.min(waitMs, 2000);
		while (this.#finished.length === 0 && this.clockMs < untilMs) {
			await sleep(TICK_MS);
		}

		const nowMs = this.clockMs;
		return {
			clockMs: nowMs,
			born: this.born,
			running: [...this.#runs].map(([task, {number, sinceMs, endAtMs}]) => [task, number, '', Math.min(99, Math.floor((nowMs - sinceMs) * 100 / (endAtMs - sinceMs)))]),
			finished: this.#finished.slice(0, MAX_LISTED_ENDS),
		};
	}

	#end(task, how) {
		const {number} = this.#runs.get(task);
		this.#runs.delete(task);
		this.#highest.set(task, Math.max(number, this.#highest.get(task) ?? 0));
		this.#finished.push([++this.#endCount, task, number, how, '']);
		this.#deps.onRun({
			event: 'end', task, run: number, worker: this.id, how, number: this.#endCount,
		});
	}
}

/** Stand-in of a worker on a side machine: a life behind one port, replaced by a new one after a crash. */
export class Worker {
	/** While true, starts are neither answered nor carried out; other calls and heartbeats go on. */
	isHanging = false;
	/** Decides which starts get no answer and are carried out late, if the life that received them is still there. */
	isStartLate = () => false;
	#options;
	#life;
	#server;
	#port = 0;
	#lives = 0;
	#timers = [];
	#control = new Agent({keepAlive: true, maxSockets: 1});
	#isClosed = false;

	/**
	 * @param options - `name`, `control` (where it sends its heartbeats), `facts` of its heartbeats, `workOf` (work and end
	 * of a run by its spec), `onRun` (receives what runs) and `keepsId` (whether it starts again under its id).
	 */
	constructor(options) {
		this.#options = options;
	}

	get tasks() {
		return this.#life?.tasks ?? [];
	}

	async start() {
		const server = await listen((message, response) => this.#serve(message, response), '127.0.0.1', this.#port);
		if (this.#isClosed) {
			server.close();
			return;
		}

		this.#server = server;
		this.#port = server.port;
		this.address = server.address;
		this.#lives++;
		const {name, keepsId, workOf, onRun} = this.#options;
		this.#life = new Life(keepsId || this.#lives === 1 ? name : `${name}-${this.#lives}`, {workOf, onRun});
		const life = this.#life;
		this.#timers = [
			setInterval(() => life.tick(), TICK_MS),
			setInterval(() => {
				void this.#beat(life);
			}, WORKER_BOUNDS.heartbeatIntervalMs),
		];
		void this.#beat(life);
	}

	/** Ends the life without a word; a new one with nothing of this one starts at the same address after `downMs`. */
	async crash(downMs) {
		const life = this.#life;
		this.#options.onRun({event: 'crash', worker: life.id, tasks: life.tasks});
		this.#endLife();
		await sleep(downMs);
		if (!this.#isClosed) {
			await this.start();
			this.#options.onRun({event: 'back', worker: this.#life.id});
		}
	}

	/**
	 * Leaves as planned: reports that it drains, serves for as long as it has said, then deregisters and ends, without an
	 * acknowledgement some seconds later.
	 */
	async leave({remainingMs, endsUnacknowledgedAfterMs}) {
		const life = this.#life;
		life.leavesAtMs = life.clockMs + remainingMs;
		await this.#beat(life);
		await sleep(remainingMs + 100);
		this.#options.onRun({event: 'deregisters', worker: life.id, tasks: life.tasks});
		const answer = await this.#send(`/instances/${life.id}/deregister`, {born: life.born});
		if (answer.status !== 200) {
			await sleep(endsUnacknowledgedAfterMs);
		}

		this.#options.onRun({event: 'leaves', worker: life.id, tasks: life.tasks});
		this.#endLife();
	}

	close() {
		this.#isClosed = true;
		this.#endLife();
		this.#control.destroy();
	}

	#endLife() {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.#server?.close();
		this.#server = undefined;
		this.#life = undefined;
	}

	async #beat(life) {
		return this.#send(`/instances/${life.id}/heartbeat`, life.heartbeat({...this.#options.facts, address: this.address}));
	}

	async #send(path, body) {
		return call(this.#options.control, {
			method: 'POST', path, body, timeoutMs: 1000, agent: this.#control,
		});
	}

	async #serve(message, response) {
		const life = this.#life;
		const body = await readJson(message);
		const expected = message.headers['x-expect-instance'];
		if (this.isHanging && message.url === '/run-start') {
			return;
		}

		if (message.url === '/run-start' && life && this.isStartLate(body, life.id)) {
			await sleep(LATE_MS);
			if (life === this.#life) {
				await life.handle(message.url, body);
			}
		} else if (!life || life !== this.#life) {
			response.destroy();
		} else if (expected !== undefined && expected !== life.id) {
			sendJson(response, 421);
		} else {
			const [status, answer] = await life.handle(message.url, body);
			if (life === this.#life) {
				sendJson(response, status, answer);
			} else {
				response.destroy();
			}
		}
	}
}
