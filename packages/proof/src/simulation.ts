import {jobIdOf, newJobRow, type Address, type JobSpec, type Resources} from '@amaranthsail/core';
import {OWNER_TABLES, openJobKey} from '@amaranthsail/owner';
import {
	MemoryObjectStore,
	MemoryTableStore,
	type Fault,
	type FaultOperation,
	type MemoryWorkerRuntime,
} from '@amaranthsail/backing-services';
import type {SchedulerConfig} from '@amaranthsail/scheduler';
import {RandomSource} from './random-source.js';
import {RowHistory} from './job-row-history.js';
import {SimAgent} from './sim-agent.js';
import {SimEntry} from './sim-entry.js';
import {HEALTHY_NETWORK, SimNetwork} from './sim-network.js';
import {VirtualTime} from './virtual-time.js';

/** States of the store; `unanswered` takes requests and neither carries them out nor answers. */
export const STORE_MODES = ['up', 'down', 'lossy', 'unanswered'] as const;

/** One of {@link STORE_MODES}. */
export type StoreMode = (typeof STORE_MODES)[number];

/** A job as the fuzzer submits it. */
export type FuzzJob = {
	readonly account: string;
	readonly taskCount: number;
	readonly accelerators: number;
	readonly repeatable: boolean;
	readonly checkpointable: boolean;
	readonly runMs: number;
	readonly fails: boolean;
	readonly ignoresStop: boolean;
};

const DOMAIN = {failureDomain: 'catania', region: 'sicily'} as const;
const CAPACITY: Resources = {slots: 8, connections: 64, processors: 30, memoryMb: 65_536, accelerators: 8};
/** Time after which a drained process has ended. */
const DRAIN_LIMIT_MS = 2000;

const ENTRY_COUNT = 2;
const WORKER_COUNT = 3;

const SCHEDULER_CONFIG: SchedulerConfig = {
	policy: {
		ordering: 'balanced',
		weights: {completion: 1, fragmentation: 1, peak: 1, shortWork: 1},
		shortLaneShare: 0,
		maxWaitingPerAccount: 1000,
		checkpointGraceMs: 5000,
		stragglerFactor: 0,
	},
	guarantees: [
		{name: 'blue', account: 'blue', failureDomain: DOMAIN.failureDomain, accelerators: 8, count: 1, adjacency: 'worker', survivesRackLoss: false},
	],
	accounts: [{account: 'red', weight: 1}, {account: 'blue', weight: 1}],
};

/** One failure domain with two entries, three workers, a store and a network, on virtual time. */
export class World {
	readonly time = new VirtualTime();
	readonly tables: MemoryTableStore;
	readonly objects = new MemoryObjectStore();
	readonly network: SimNetwork;
	readonly entries: SimEntry[];
	readonly agents: SimAgent[];
	readonly runtimes: MemoryWorkerRuntime[] = [];
	readonly history: RowHistory;
	readonly accepted: string[] = [];
	storeMode: StoreMode = 'up';
	readonly #random: RandomSource;
	#idCount = 0;

	/**
	 * @param seed - Decides everything that the commands leave open.
	 */
	constructor(seed: number) {
		this.#random = new RandomSource(seed);
		this.tables = new MemoryTableStore();
		this.history = new RowHistory(this.tables);
		this.tables.faults.use(operation => this.#storeFault(operation));
		this.objects.faults.use(operation => this.#storeFault(operation));
		this.network = new SimNetwork(this.time, this.#random);
		this.entries = Array.from({length: ENTRY_COUNT}, (_unused, index) => this.#createEntry(index));
		const checkpoints = new Map<string, number>();
		this.agents = Array.from({length: WORKER_COUNT}, (_unused, index) => new SimAgent({
			time: this.time,
			network: this.network,
			objects: this.objects,
			workerId: `worker-${index}`,
			failureDomain: DOMAIN.failureDomain,
			rack: index < 2 ? 'rack-a' : 'rack-b',
			service: 'register',
			capacity: CAPACITY,
			entryAddresses: this.entries.map((_entry, entryIndex) => entryAddress(entryIndex)),
			queryOwner: async (entry, fromHost) => this.#queryOwner(entry, fromHost),
			random: () => this.#random.integer(0, 999) / 1000,
			checkpoints,
			onRuntime: runtime => {
				this.runtimes.push(runtime);
			},
			newId: () => this.#newId(),
		}));
	}

	/**
	 * Accepts a job as an entry does. Nothing happens while the store does not take it.
	 *
	 * @param job - The job.
	 * @returns The job's id, or undefined when it was not accepted.
	 */
	async submit(job: FuzzJob): Promise<string | undefined> {
		const jobId = jobIdOf(job.account, `key-${this.accepted.length}-${this.time.nowMs}`);
		const writeId = this.#newId();
		const {failureDomain} = DOMAIN;
		const row = newJobRow({jobId, spec: specOf(job), bodyDigest: 'digest', failureDomain, acceptedAtMs: this.time.nowMs, writeId});
		await this.tables.transact({
			writeId,
			conditions: [{table: OWNER_TABLES.jobs, key: jobId, version: 0}],
			writes: [
				{table: OWNER_TABLES.jobs, key: jobId, value: row},
				{table: OWNER_TABLES.openJobs, key: openJobKey(DOMAIN.failureDomain, jobId), value: {jobId, writeId}},
			],
		});
		if (!this.history.rows.has(jobId)) {
			return undefined;
		}

		this.accepted.push(jobId);
		for (const entry of this.entries) {
			entry.node.deliver(() => {
				entry.notify(jobId);
			});
		}

		return jobId;
	}

	/** Asks all entries to cancel jobs; only the owner acts. */
	cancel(jobIds: readonly string[]): void {
		for (const entry of this.entries) {
			entry.node.deliver(() => {
				entry.cancel(jobIds);
			});
		}
	}

	/** Starts a new process in the place of an entry. */
	restartEntry(index: number): void {
		this.entries[index]?.node.kill();
		this.entries[index] = this.#createEntry(index);
	}

	/** Lets writes take effect whose answer was lost long ago. */
	landLateWrites(): void {
		this.tables.faults.landLate();
	}

	/** Ends all faults and restarts what was killed. */
	async heal(): Promise<void> {
		this.storeMode = 'up';
		this.network.heal();
		this.network.faults = HEALTHY_NETWORK;
		for (const entry of this.entries) {
			entry.isCutFromStore = false;
			entry.node.thaw();
		}

		// Drains that have begun end their process first.
		await this.time.advance(DRAIN_LIMIT_MS);
		for (const [index, entry] of this.entries.entries()) {
			if (!entry.node.isAlive) {
				this.restartEntry(index);
			}
		}

		for (const agent of this.agents) {
			agent.setEndpointLeaving(false);
			agent.thawProcess();
			if (!agent.isAlive) {
				agent.restartProcess();
			}
		}
	}

	#newId(): string {
		this.#idCount += 1;
		return `id-${this.#idCount}`;
	}

	#createEntry(index: number): SimEntry {
		return new SimEntry({
			time: this.time,
			network: this.network,
			tables: this.tables,
			host: entryAddress(index).host,
			region: DOMAIN.region,
			failureDomain: 'palermo',
			domain: DOMAIN,
			scheduler: SCHEDULER_CONFIG,
			newId: () => this.#newId(),
			confirmGone: async (ownerId, address, epoch, fromHost) => this.#confirmGone(ownerId, address, epoch, fromHost),
		});
	}

	/** A process that was killed refuses connections; one that is frozen or cut off does not answer. */
	async #confirmGone(ownerId: string, address: Address, epoch: number, fromHost: string): Promise<boolean> {
		const entry = this.#entryAt(address);
		if (!entry || !this.network.isOpen(fromHost, address.host)) {
			return false;
		}

		if (!entry.node.isAlive || entry.processId !== ownerId) {
			return true;
		}

		return entry.node.isRunning && entry.stepDown(epoch);
	}

	async #queryOwner(address: Address, fromHost: string): ReturnType<ConstructorParameters<typeof SimAgent>[0]['queryOwner']> {
		const entry = this.#entryAt(address);
		if (!entry?.node.isRunning || !this.network.isOpen(fromHost, address.host)) {
			return undefined;
		}

		const owner = entry.ownerOf();
		return owner && {ownerId: owner.ownerId, epoch: owner.epoch, address: {host: owner.host, port: owner.port}};
	}

	#entryAt(address: Address): SimEntry | undefined {
		return this.entries.find((_entry, index) => entryAddress(index).host === address.host);
	}

	#storeFault(operation: FaultOperation): Fault {
		if (this.storeMode === 'down') {
			return {kind: 'unavailable'};
		}

		if (this.storeMode === 'unanswered') {
			return {kind: operation.hasEffect ? 'lost_before_effect' : 'unavailable'};
		}

		if (this.storeMode === 'lossy' && this.#random.chance(30)) {
			const kinds = operation.hasEffect
				? ['lost_before_effect', 'lost_after_effect', 'late', 'duplicated', 'unavailable'] as const
				: ['unavailable', 'stale_read'] as const;
			return {kind: kinds[this.#random.integer(0, kinds.length - 1)]!};
		}

		return {kind: 'none'};
	}
}

/** Longest time after the end of all faults until every job is final; a fence after an unconfirmed change of owner decides it. */
export const SETTLE_LIMIT_MS = 1_200_000;

function entryAddress(index: number): Address {
	return {host: `entry-${index}`, port: 1};
}

function specOf(job: FuzzJob): JobSpec {
	return {
		account: job.account,
		service: 'register',
		operation: 'revaluation',
		workClass: 'short',
		taskCount: job.taskCount,
		shape: {slots: 1, connections: 1, processors: 1, memoryMb: 1024, accelerators: job.accelerators},
		adjacency: 'failureDomain',
		repeatable: job.repeatable,
		checkpointable: job.checkpointable,
		inlineInput: JSON.stringify({runMs: job.runMs, ignoreStop: job.ignoresStop, ...(job.fails ? {fail: 'wrong data'} : {})}),
	};
}
