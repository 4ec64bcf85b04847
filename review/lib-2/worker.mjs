/* eslint-disable no-await-in-loop -- events are awaited one after another */
import {createServer} from 'node:http';
import {
	answerJson, call, readJson, sleep,
} from './http.mjs';

const MAX_LISTED_ENDS = 500;
const LIST_INTERVAL_MS = 20;
const HEARTBEAT_ACK_MS = 1000;

/** Workers hold the members of a gang back until all of them are there, for at most this time. */
const GANG_TIMEOUT_MS = 3000;

/** The gangs whose members run on the workers of one system, by job, occurrence, step and run. */
const gangs = new Map();

function joinGang(task, run, size) {
	const key = `${task.slice(0, task.lastIndexOf('.'))} run ${run}`;
	const gang = gangs.get(key) ?? {
		members: 0, hasBegun: false, isBroken: false, isDone: false,
	};
	gangs.set(key, gang);
	gang.members++;
	gang.hasBegun ||= gang.members === size;
	return gang;
}

/**
 * Stand-in of a worker on a VM. It accepts only what the protocol page allows: fencing tokens, leases, runs by number,
 * ends in order, 500 at a time. It does not guard its capacity.
 *
 * The text `spec` of a job is JSON with `taskMs`, the time that each of its tasks takes, and `gangSize` for a gang.
 */
export class Worker {
	/** While true, nothing is answered or sent. */
	isDark = false;
	life = undefined;
	machine;
	#options;
	#record;
	#server;
	#lives = 0;

	/**
	 * @param machine - Addresses of the VM: `name`, `ip`, `appPort`, `controlPort` and `zone`.
	 * @param options - `service`, `capacity`, `labels`, `maxHoldMs` and `heartbeatIntervalMs`.
	 * @param record - Called with each event.
	 */
	constructor(machine, options, record) {
		this.machine = machine;
		this.#options = options;
		this.#record = record;
	}

	/** Starts a life of the worker. */
	async start(id = `i-${this.machine.name}-${this.#lives + 1}`) {
		this.#lives++;
		this.life = {
			id, born: Date.now(), startedAtMs: performance.now(), sequence: 0, fence: 0, leaseUntilMs: 0, hasLease: false, runs: new Map(), highest: new Map(), ends: [], endCount: 0, ackSeq: 0, wakes: new Set(),
		};
		const {life} = this;
		const server = createServer((request, response) => {
			this.#serve(life, request, response).catch(() => {
				response.destroy();
			});
		});
		this.#server = server;
		await new Promise((resolve, reject) => {
			server.once('error', reject);
			server.listen(this.machine.appPort, this.machine.ip, resolve);
		});
		this.#record('worker started', {worker: id, born: life.born});
		this.#beat(life);
		this.#tick(life);
	}

	/** Ends the life at once: its runs are gone, its port refuses connections. */
	async crash() {
		const {life} = this;
		this.life = undefined;
		for (const {gang} of life.runs.values()) {
			if (gang) {
				gang.isBroken = true;
			}
		}

		this.#server.closeAllConnections();
		await new Promise(resolve => {
			this.#server.close(resolve);
		});
		this.#record('worker crashed', {worker: life.id, runs: [...life.runs].map(([task, {run}]) => `${task} run ${run}`)});
	}

	close() {
		this.life = undefined;
		this.#server?.closeAllConnections();
		this.#server?.close();
	}

	#clockMs(life) {
		return Math.floor(performance.now() - life.startedAtMs);
	}

	async #beat(life) {
		const {machine, options} = {machine: this.machine, options: this.#options};
		while (this.life === life) {
			if (!this.isDark) {
				life.sequence++;
				await call({
					ip: machine.ip, port: machine.controlPort, method: 'POST', path: `/instances/${life.id}/heartbeat`, timeoutMs: HEARTBEAT_ACK_MS,
					body: {
						service: options.service, address: `${machine.ip}:${machine.appPort}`, zone: machine.zone, version: 'v1', slots: 8, state: 'ready', coldRemainingMs: 0, capacity: options.capacity, labels: options.labels, clockMs: this.#clockMs(life), sequence: life.sequence, born: life.born,
					},
				});
			}

			await sleep(options.heartbeatIntervalMs);
		}
	}

	async #tick(life) {
		while (this.life === life) {
			this.#checkLease(life);
			const nowMs = performance.now();
			for (const [task, run] of life.runs) {
				const outcome = outcomeOf(run, nowMs);
				if (outcome !== undefined) {
					this.#end(life, task, outcome);
				}
			}

			await sleep(LIST_INTERVAL_MS);
		}
	}

	#checkLease(life) {
		if (!life.hasLease || this.#clockMs(life) <= life.leaseUntilMs) {
			return;
		}

		life.hasLease = false;
		this.#record('lease lapsed', {worker: life.id, born: life.born, runs: life.runs.size});
		for (const task of life.runs.keys()) {
			this.#end(life, task, 'lapsed');
		}
	}

	#extendLease(life, deadlineMs) {
		this.#checkLease(life);
		if (typeof deadlineMs !== 'number') {
			return;
		}

		const nowMs = this.#clockMs(life);
		const untilMs = Math.min(deadlineMs, nowMs + this.#options.maxHoldMs);
		if (untilMs > life.leaseUntilMs) {
			life.leaseUntilMs = untilMs;
		}

		life.hasLease ||= life.leaseUntilMs >= nowMs;
	}

	#end(life, task, how) {
		const {run, gang} = life.runs.get(task);
		if (gang) {
			gang.isDone ||= how === 'done';
			gang.isBroken ||= how !== 'done';
		}

		life.runs.delete(task);
		life.highest.set(task, Math.max(run, life.highest.get(task) ?? 0));
		life.endCount++;
		life.ends.push([life.endCount, task, run, how, '']);
		this.#record('run ended', {
			task, run, how, worker: life.id, born: life.born, number: life.endCount,
		});
		for (const wake of life.wakes) {
			wake();
		}

		life.wakes.clear();
	}

	async #serve(life, request, response) {
		const body = await readJson(request) ?? {};
		if (this.isDark || this.life !== life) {
			return;
		}

		const answer = (status, fields = {}) => {
			if (!this.isDark && this.life === life) {
				answerJson(response, status, {clockMs: this.#clockMs(life), born: life.born, ...fields});
			}
		};

		const expected = request.headers['x-expect-instance'];
		if (expected !== undefined && expected !== life.id) {
			answer(421);
			return;
		}

		const token = body.fencingToken ?? 0;
		if (token < life.fence) {
			answer(409, {reason: 'fence'});
			return;
		}

		life.fence = token;
		switch (`${request.method} ${request.url}`) {
			case 'POST /run-start': {
				const reason = this.#startRun(life, body);
				answer(reason === undefined ? 200 : 409, reason === undefined ? {} : {reason});
				return;
			}

			case 'POST /run-stop': {
				if (life.runs.get(body.task)?.run === body.run) {
					this.#end(life, body.task, 'stopped');
				} else {
					life.highest.set(body.task, Math.max(body.run, life.highest.get(body.task) ?? 0));
				}

				answer(200);
				return;
			}

			case 'POST /hold': {
				this.#extendLease(life, body.deadlineMs);
				this.#acknowledge(life, body.ackSeq ?? 0);
				await this.#waitForEnd(life, Math.min(2000, body.waitMs ?? 0));
				const nowMs = performance.now();
				answer(200, {
					running: [...life.runs].map(([task, run]) => [task, run.run, '', Math.min(99, Math.floor((nowMs - run.startedAtMs) / run.taskMs * 100)), 0]),
					finished: life.ends.slice(0, MAX_LISTED_ENDS),
				});
				return;
			}

			default: {
				answer(404);
			}
		}
	}

	#startRun(life, {task, run, spec, deadlineMs}) {
		this.#extendLease(life, deadlineMs);
		const present = life.runs.get(task);
		if (present?.run === run) {
			return undefined;
		}

		if (run <= (life.highest.get(task) ?? 0) || (present && run < present.run)) {
			return 'old';
		}

		if (deadlineMs < this.#clockMs(life)) {
			return 'late';
		}

		if (present) {
			this.#end(life, task, 'stopped');
		}

		const {taskMs, gangSize} = JSON.parse(spec);
		life.runs.set(task, {
			run, taskMs, startedAtMs: performance.now(), ...(gangSize !== undefined && {gang: joinGang(task, run, gangSize)}),
		});
		this.#record('run started', {
			task, run, worker: life.id, born: life.born,
		});
		return undefined;
	}

	#acknowledge(life, ackSeq) {
		if (ackSeq <= life.ackSeq) {
			return;
		}

		life.ackSeq = ackSeq;
		this.#record('ends acknowledged', {worker: life.id, born: life.born, ackSeq});
		life.ends = life.ends.filter(([number]) => number > ackSeq);
	}

	async #waitForEnd(life, waitMs) {
		if (life.ends.length > 0 || waitMs === 0) {
			return;
		}

		await new Promise(resolve => {
			const timer = setTimeout(resolve, waitMs);
			life.wakes.add(() => {
				clearTimeout(timer);
				resolve();
			});
		});
	}
}

/** @returns How a run ends now; undefined while it goes on. */
function outcomeOf(run, nowMs) {
	const {gang, startedAtMs, taskMs} = run;
	if (gang && !gang.hasBegun) {
		if (gang.isBroken) {
			return 'broken';
		}

		return nowMs >= startedAtMs + GANG_TIMEOUT_MS ? 'alone' : undefined;
	}

	run.begunAtMs ??= gang ? nowMs : startedAtMs;
	if (gang?.isDone || nowMs >= run.begunAtMs + taskMs) {
		return 'done';
	}

	return gang?.isBroken ? 'broken' : undefined;
}
