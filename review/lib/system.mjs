/* eslint no-await-in-loop: "off" -- as in the other programs of the project */
import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {callJson, sleep, until} from './http.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** A process that exits or is killed is restarted after a short delay. */
const RESTART_DELAY_MS = 300;

/** Ports of a machine, from its base port. */
const PORTS = {
	peer: 0, front: 16, ready: 17, control: 18,
};

/** The project's programs as processes, started with the commands of the deploy file. */
export class System {
	machines = new Map();
	#record;
	#store;
	#bounds;
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	#basePort;
	#count = 0;
	#isClosed = false;

	/**
	 * @param {import('./store.mjs').Store} store - The platform's store.
	 * @param {import('./record.mjs').Record} record - Receives starts and ends of processes.
	 * @param {object} bounds - Bounds of the settings.
	 */
	constructor(store, record, bounds) {
		this.#store = store;
		this.#record = record;
		this.#bounds = bounds;
		process.once('exit', () => {
			this.close();
		});
	}

	/** Addresses of the entries for clients. */
	get fronts() {
		return [...this.machines.values()].filter(({role}) => role === 'pool-entry').map(({front}) => front);
	}

	/**
	 * Starts a program on a machine of its own.
	 *
	 * @param {string} role - Role in the deploy file.
	 * @param {string} name - Name of the machine.
	 * @param {import('./worker.mjs').Worker} [worker] - The worker beside it.
	 */
	async add(role, name, worker) {
		this.#count++;
		const ip = `127.77.${process.pid % 250}.${this.#count}`;
		this.#basePort ??= await findBasePort();
		const addressOf = port => `${ip}:${this.#basePort + port}`;
		const control = addressOf(PORTS.control);
		const listenAddresses = worker ? {control} : {front: addressOf(PORTS.front), ready: addressOf(PORTS.ready)};
		const settings = {
			nodeName: name,
			role,
			machineClass: worker ? 'side' : 'front',
			serves: [worker ? 'side' : 'front'],
			ip,
			zone: 'a',
			region: 'r',
			internalPortRange: [this.#basePort, this.#basePort + 15],
			seeds: [],
			bootstrap: true,
			heartbeatIntervalMs: 1500,
			orders: 'call',
			listenAddresses,
			limits: {
				cpuShare: 0.675, cores: 1, memoryMb: 350, fileDescriptors: 4100,
			},
			bounds: this.#bounds,
			platform: {
				address: await this.#store.open(name), form: 'table', writesPerS: 800, readsPerS: 2000, rowBytes: 65_536, historyS: 20,
			},
			...(worker && {app: await worker.open(control), service: 'service'}),
		};
		const file = path.join(this.#folder, `${name}.json`);
		writeFileSync(file, JSON.stringify(settings));
		const machine = {
			name, role, ip, file, control, front: listenAddresses.front, ready: listenAddresses.ready, log: [], isHeld: false,
		};
		this.machines.set(name, machine);
		this.#spawn(machine);
		await worker?.start();
	}

	/** Sends a signal to the process on a machine. */
	signal(name, signal) {
		this.#record.note('signal', {process: name, signal});
		this.machines.get(name).child.kill(signal);
	}

	/** @returns {Promise<boolean>} Whether all entries have become ready. */
	async untilReady() {
		return until(async () => {
			const answers = await Promise.all([...this.machines.values()].filter(({ready}) => ready).map(async ({ready}) => callJson(ready, {method: 'GET', path: '/readiness', timeoutMs: 500})));
			return answers.every(({status}) => status === 200);
		}, 15_000);
	}

	/** Ends all processes and removes the temporary folder. */
	close() {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		for (const {child} of this.machines.values()) {
			child.kill('SIGCONT');
			child.kill('SIGKILL');
		}

		if (process.env.REVIEW_LOGS) {
			const lines = [...this.machines.values()].flatMap(({log}) => log).toSorted();
			writeFileSync(process.env.REVIEW_LOGS, `${lines.join('\n')}\n`);
		}

		rmSync(this.#folder, {recursive: true, force: true});
	}

	#spawn(machine) {
		const [program, ...words] = commandOf(machine.role);
		const child = spawn(program, words, {
			cwd: ROOT, env: {PATH: process.env.PATH, HOME: process.env.HOME, AMARANTHSAIL_NODE_FILE: machine.file}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		machine.child = child;
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8').on('data', text => {
				machine.log.push(...text.split('\n').filter(line => line !== ''));
			});
		}

		child.once('exit', async (code, signal) => {
			if (this.#isClosed) {
				return;
			}

			this.#record.note('process ended', {process: machine.name, code, signal});
			await sleep(RESTART_DELAY_MS);
			if (!this.#isClosed) {
				this.#spawn(machine);
			}
		});
	}
}

/** @returns {readonly string[]} The words of a role's command in the deploy file. */
function commandOf(role) {
	const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
	const section = text.split(`[roles.${role}]`)[1];
	return /^run = "(.+)"$/mv.exec(section)[1].split(' ');
}

/** @returns {Promise<number>} First of a range of free ports. */
async function findBasePort() {
	for (let base = 20_000 + (process.pid % 400 * 20); ; base += 20) {
		const isFree = await Promise.all(Array.from({length: 20}, async (_, offset) => canListen(base + offset)));
		if (isFree.every(Boolean)) {
			return base;
		}
	}
}

async function canListen(port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '0.0.0.0', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}
