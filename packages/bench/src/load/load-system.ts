import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Resources} from '@amaranthsail/core';
import {ApiClient, LocalSystem, type LocalWorkerSpec} from '@amaranthsail/quickstart';
import {request} from 'undici';

/** The failure domain under load. */
export const LOAD_FAILURE_DOMAIN = 'load-domain';

/** The client account that submits all jobs. */
export const LOAD_ACCOUNT = 'load-account';

const SERVICE = 'load';
const ACCOUNT_TOKEN = 'token-load-account';
const OPERATOR_TOKEN = 'token-load-operator';
const WORKERS_PER_RACK = 3;
const DEFAULT_WAIT_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 50;

/** Resources of each worker; three workers have enough slots for the highest level of concurrency. */
export const LOAD_CAPACITY: Resources = {
	slots: 16, connections: 64, processors: 60, memoryMb: 128_000, accelerators: 8,
};

/** Operations that the platform emulator has served. */
export type StoreCounters = Readonly<Record<'reads' | 'rowsRead' | 'transactions' | 'writes' | 'conditionsFailed' | 'objects', number>>;

/** Store operations per unit of load, such as a job or a second. */
export type StoreUse = Readonly<Record<Exclude<keyof StoreCounters, 'conditionsFailed'>, number>>;

/**
 * Computes the store operations per unit of load between two readings of the counters.
 *
 * @param before - The earlier reading.
 * @param after - The later reading.
 * @param options - `divisor` is the number of units; `idlePerSecond` is subtracted for each of `seconds`.
 * @returns Operations per unit.
 */
export function computeStoreUse(before: StoreCounters, after: StoreCounters, options: {
	readonly divisor: number; readonly idlePerSecond?: StoreUse; readonly seconds?: number;
}): StoreUse {
	const {divisor, idlePerSecond, seconds = 0} = options;
	const countOf = (name: keyof StoreUse): number => (after[name] - before[name] - ((idlePerSecond?.[name] ?? 0) * seconds)) / divisor;
	return {
		reads: countOf('reads'), rowsRead: countOf('rowsRead'), transactions: countOf('transactions'), writes: countOf('writes'), objects: countOf('objects'),
	};
}

/**
 * Returns the name of the rack of a worker.
 *
 * @param index - Index of the worker, from 0.
 * @returns The name.
 */
export function rackNameOf(index: number): string {
	return `rack-${Math.floor(index / WORKERS_PER_RACK)}`;
}

/**
 * Waits until a condition holds.
 *
 * @param description - Description of the condition for the error.
 * @param condition - Checked at an interval until it holds.
 * @param timeoutMs - Longest wait in milliseconds.
 * @throws Error when it does not hold in time.
 */
export async function waitUntil(description: string, condition: () => boolean | Promise<boolean>, timeoutMs = DEFAULT_WAIT_TIMEOUT_MS): Promise<void> {
	const deadlineMs = performance.now() + timeoutMs;
	while (!await condition()) {
		if (performance.now() > deadlineMs) {
			throw new Error(`timed out after ${timeoutMs} ms waiting for: ${description}`);
		}

		await sleep(POLL_INTERVAL_MS);
	}
}

/** A local system of two entries and the platform emulator, with the records of a failure domain for a number of workers. */
export class LoadSystem {
	readonly local: LocalSystem;
	readonly #workerCount: number;

	/**
	 * @param workerCount - Workers that the records declare.
	 * @param workers - Workers to start with real agents; none if they are emulated.
	 */
	constructor(workerCount: number, workers: readonly LocalWorkerSpec[] = []) {
		this.#workerCount = workerCount;
		this.local = new LocalSystem({
			entries: ['first', 'second'].map(name => ({name: `${name} entry`, region: 'load-region', failureDomain: `${name}-place`})),
			workers,
			accountTokens: {[LOAD_ACCOUNT]: ACCOUNT_TOKEN},
			operatorTokens: {operator: OPERATOR_TOKEN},
		});
	}

	/** The shared secret of the processes. */
	get sharedSecret(): string {
		return this.local.entries[0]!.spec.environment.AMARANTHSAIL_SHARED_SECRET!;
	}

	/** A client of the operator at the first entry. */
	get operator(): ApiClient {
		return new ApiClient(this.local.entryAddresses[0]!, OPERATOR_TOKEN);
	}

	/** A client of the account at the first entry. */
	get account(): ApiClient {
		return new ApiClient(this.local.entryAddresses[0]!, ACCOUNT_TOKEN);
	}

	/** Environment variables with the settings of the command line. */
	get cliEnvironment(): Readonly<Record<string, string | undefined>> {
		return {PATH: process.env.PATH, AMARANTHSAIL_ENTRY_ADDRESSES: this.local.entryAddresses.join(','), AMARANTHSAIL_TOKEN: OPERATOR_TOKEN};
	}

	/** Starts the system and applies the records. */
	async start(): Promise<void> {
		await this.local.start();
		await waitUntil('entries ready', async () => {
			const replies = await Promise.all(this.local.entryAddresses.map(async address => new ApiClient(address, OPERATOR_TOKEN).call('GET', '/readyz')));
			return replies.every(({status}) => status === 200);
		});
		const racks: Record<string, {workers: Resources[]}> = {};
		for (let index = 0; index < this.#workerCount; index++) {
			racks[rackNameOf(index)] ??= {workers: []};
			racks[rackNameOf(index)]!.workers.push(LOAD_CAPACITY);
		}

		await this.apply('FailureDomain', LOAD_FAILURE_DOMAIN, {region: 'load-region', racks});
		await this.apply('Service', SERVICE, {
			operations: {
				// Empty tasks take no accelerator, so that only slots limit their concurrency.
				empty: {workClass: 'short', repeatable: true, maxRunMs: 3_600_000},
				held: {workClass: 'long', repeatable: true, maxRunMs: 3_600_000, shape: {accelerators: 1}},
			},
		});
		await this.apply('ClientAccount', LOAD_ACCOUNT, {weight: 1});
		await this.apply('Policy', 'load', {
			ordering: 'balanced',
			weights: {
				completion: 1, fragmentation: 1, peak: 1, shortWork: 1,
			},
			limits: {maxWaitingPerAccount: 10_000},
			stragglerFactor: 0,
		});
	}

	/**
	 * Submits a record.
	 *
	 * @param kind - Kind of the record.
	 * @param name - Its name.
	 * @param spec - Its fields.
	 * @returns The revision of the change.
	 * @throws Error when the record is refused.
	 */
	async apply(kind: string, name: string, spec: unknown): Promise<number> {
		const record = {
			schemaVersion: 1, kind, name, spec,
		};
		const reply = await this.operator.call('PUT', `/v1/records/${kind}/${name}`, {body: {record}});
		if (reply.status !== 200) {
			throw new Error(`record ${kind}/${name} was refused: ${JSON.stringify(reply.body)}`);
		}

		return Number(reply.body.revision);
	}

	/**
	 * Submits a job.
	 *
	 * @param operation - `empty` completes at once; `held` runs until it is stopped.
	 * @param key - Its idempotency key.
	 * @param waitMs - Longest wait for its answer in milliseconds.
	 * @returns The state of the job.
	 * @throws Error when the job is refused.
	 */
	async submit(operation: 'empty' | 'held', key: string, waitMs: number): Promise<string> {
		const body = {
			service: SERVICE, operation, input: {runMs: 0}, waitMs,
		};
		const reply = await this.account.call('POST', '/v1/jobs', {key, body});
		if (reply.status >= 300) {
			throw new Error(`job was refused: ${JSON.stringify(reply.body)}`);
		}

		return String(reply.body.state);
	}

	/** Waits for an owner of the failure domain and returns the id of its process. */
	async findOwnerPid(): Promise<number> {
		let pid = 0;
		await waitUntil('owner of the failure domain', async () => {
			const {body} = await this.operator.call('GET', '/v1/status');
			const entries = body.entries as ReadonlyArray<{readonly port: number; readonly owned: ReadonlyArray<{readonly failureDomain: string}>}>;
			const owner = entries.find(({owned}) => owned.some(({failureDomain}) => failureDomain === LOAD_FAILURE_DOMAIN));
			pid = this.local.entries.find(entry => entry.address.port === owner?.port)?.pid ?? 0;
			return pid !== 0;
		});
		return pid;
	}

	/** Reads the counters of the platform emulator since its start. */
	async readCounters(): Promise<StoreCounters> {
		const {host, port} = this.local.platform.address;
		const response = await request(`http://${host}:${port}/v1/counters`);
		return await response.body.json() as StoreCounters;
	}
}
