/* eslint no-await-in-loop: "off", unicorn/no-process-exit: "off" -- as in the other programs of the project */
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {callJson} from './http.mjs';
import {Record} from './record.mjs';
import {SITES} from './sites.mjs';
import {Store} from './store.mjs';
import {System} from './system.mjs';
import {Worker} from './worker.mjs';

/** Longest time of a case. */
const MAX_CASE_MS = 110_000;

/** How long clients wait for an answer. */
const DEADLINE_MS = 3000;

const SERVICE = 'service';

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

const QUEUE = {
	name: 'queue', host: 'queue.example', pathPrefix: '/queue/', service: SERVICE, priority: 1, maxAttempts: 3, stretch: 3, targetLatencyMs: 1000,
};

/** The parts of a small deployment. */
export class Deployment {
	record;
	store = new Store();
	system;
	workers = [];
	#bounds;
	#version = 1;

	/**
	 * @param {Record} record - Receives what happens.
	 * @param {string} site - Site whose bounds hold.
	 */
	constructor(record, site) {
		this.record = record;
		this.#bounds = SITES[site];
		this.system = new System(this.store, record, this.#bounds);
	}

	/** Name of the machine of the present leader. */
	get leader() {
		return this.store.get('leader', 'region')?.holder.split('/')[0];
	}

	/**
	 * Starts entries, agents and workers, and waits until the entries are ready.
	 *
	 * @param {object} options - Sizes.
	 * @param {number} options.entries - Number of entries.
	 * @param {number} options.workers - Number of workers.
	 * @param {(task: string) => object} options.taskOf - What a task does.
	 */
	async start({entries, workers, taskOf}) {
		this.putConfiguration();
		for (let number = 1; number <= entries; number++) {
			await this.system.add('pool-entry', `front-${number}`);
		}

		for (let number = 1; number <= workers; number++) {
			const worker = new Worker({
				name: `side-${number}`,
				service: SERVICE,
				capacity: {cpu: 64_000, memoryRequestMb: 131_072, gpu: 8},
				rack: `r${Math.ceil(number / 3)}`,
				bounds: this.#bounds,
				taskOf,
				record: this.record,
			});
			this.workers.push(worker);
			await this.system.add('pool-agent', `side-${number}`, worker);
		}

		check(await this.system.untilReady(), 'the entries are ready');
	}

	/**
	 * Has the operator store a configuration.
	 *
	 * @param {string[]} apiKeys - Keys of the tenant.
	 */
	putConfiguration(apiKeys = ['key']) {
		this.store.put('op', 'config', {
			version: this.#version,
			routes: [QUEUE],
			services: [{name: SERVICE}],
			limits: {},
			tenants: [{name: 'tenant', apiKeys, guaranteed: {gpu: 4}}],
		});
		this.record.note('operator stores a configuration', {version: this.#version, apiKeys});
		this.#version += 2;
	}

	/** Sends a client's request to an entry and records the answer. */
	async call(front, {method, id, body, key = 'key', deadlineMs = DEADLINE_MS}) {
		this.record.note('client sends', {
			to: front, method, id, key,
		});
		const answer = await callJson(this.system.machines.get(front).front, {
			method,
			path: `/queue/${id}`,
			headers: {host: 'queue.example', 'x-key': key, 'x-deadline-ms': String(deadlineMs)},
			body,
			timeoutMs: deadlineMs,
		});
		this.record.note('client gets', {
			from: front, method, id, ...answer,
		});
		return answer;
	}

	close() {
		this.system.close();
		this.store.close();
		for (const worker of this.workers) {
			worker.close();
		}
	}
}

/** Ends a case that cannot run. */
export function check(condition, what) {
	if (!condition) {
		throw new Error(`not reached: ${what}`);
	}
}

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * @param {string} url - URL of the case's module; the record is written beside it.
 * @param {string} site - Site whose bounds hold.
 * @param {(deployment: Deployment) => Promise<string[]>} play - Returns what broke the rule.
 */
export async function runCase(url, site, play) {
	const record = new Record(fileURLToPath(new URL('record.txt', url)));
	const deployment = new Deployment(record, site);
	const timer = setTimeout(() => {
		record.note('the case takes too long');
		deployment.close();
		process.exit(2);
	}, MAX_CASE_MS);
	record.note('case begins', {trouble: hasTrouble, site});
	let exitCode;
	try {
		const breaks = await play(deployment);
		for (const broken of breaks) {
			record.note('RULE BROKEN', {broken});
			console.log(`rule broken: ${broken}`);
		}

		exitCode = breaks.length > 0 ? 1 : 0;
	} catch (error) {
		record.note('the case could not run', {error: error.message});
		console.log(error);
		exitCode = 2;
	}

	clearTimeout(timer);
	deployment.close();
	record.note('case ends', {exitCode});
	process.exit(exitCode);
}
