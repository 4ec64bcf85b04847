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
import {JobRowHistory} from './job-row-history.js';
import {SimAgent} from './sim-agent.js';
import {SimEntry} from './sim-entry.js';
import {HEALTHY_NETWORK, SimNetwork} from './sim-network.js';
import {VirtualTime} from './virtual-time.js';

/** States of the store; with `unanswered` it accepts requests but neither executes nor answers them. */
export const STORE_MODES = ['up', 'down', 'lossy', 'unanswered'] as const;

/** One of {@link STORE_MODES}. */
export type StoreMode = (typeof STORE_MODES)[number];

/** A job submitted by the fuzzer. */
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

const MANAGED_DOMAIN = {failureDomain: 'catania', region: 'sicily'} as const;
const WORKER_CAPACITY: Resources = {slots: 8, connections: 64, processors: 30, memoryMb: 65_536, accelerators: 8};
/** Time within which a draining process has ended. */
const DRAIN_TIMEOUT_MS = 2000;

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
		{name: 'blue', account: 'blue', failureDomain: MANAGED_DOMAIN.failureDomain, accelerators: 8, count: 1, adjacency: 'worker', survivesRackLoss: false},
	],
	accounts: [{account: 'red', weight: 1}, {account: 'blue', weight: 1}],
};

/** One failure domain with two entries, three workers, a store and a network, in virtual time. */
export class Simulation {
	readonly time = new VirtualTime();
	readonly tables: MemoryTableStore;
	readonly objects = new MemoryObjectStore();
	readonly network: SimNetwork;
	readonly entries: SimEntry[];
	readonly agents: SimAgent[];
	readonly runtimes: MemoryWorkerRuntime[] = [];
	readonly jobHistory: JobRowHistory;
	readonly acceptedJobIds: string[] = [];
	storeMode: StoreMode = 'up';
	readonly #random: RandomSource;
	#idCount = 0;

	/**
	 * @param seed - Determines what the commands leave open: network delays and losses, store faults, and the random numbers of agents.
	 */
	constructor(seed: number) {
		this.#random = new RandomSource(seed);
		this.tables = new MemoryTableStore();
		this.jobHistory = new JobRowHistory(this.tables);
		this.tables.faults.use(operation => this.#chooseStoreFault(operation));
		this.objects.faults.use(operation => this.#chooseStoreFault(operation));
		this.network = new SimNetwork(this.time, this.#random);
		this.entries = Array.from({length: ENTRY_COUNT}, (_unused, index) => this.#createEntry(index));
		const checkpoints = new Map<string, number>();
		this.agents = Array.from({length: WORKER_COUNT}, (_unused, index) => new SimAgent({
			time: this.time,
			network: this.network,
			objects: this.objects,
			workerId: `worker-${index}`,
			failureDomain: MANAGED_DOMAIN.failureDomain,
			rack: index < 2 ? 'rack-a' : 'rack-b',
			service: 'register',
			capacity: WORKER_CAPACITY,
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
	 * Accepts a job as an entry does. The job is not accepted if the store does not commit its row.
	 *
	 * @param job - The job.
	 * @returns The job's id; undefined when it was not accepted.
	 */
	async submit(job: FuzzJob): Promise<string | undefined> {
		const jobId = jobIdOf(job.account, `key-${this.acceptedJobIds.length}-${this.time.nowMs}`);
		const writeId = this.#newId();
		const {failureDomain} = MANAGED_DOMAIN;
		const row = newJobRow({jobId, spec: createJobSpec(job), bodyDigest: 'digest', failureDomain, acceptedAtMs: this.time.nowMs, writeId});
		await this.tables.transact({
			writeId,
			conditions: [{table: OWNER_TABLES.jobs, key: jobId, version: 0}],
			writes: [
				{table: OWNER_TABLES.jobs, key: jobId, value: row},
				{table: OWNER_TABLES.openJobs, key: openJobKey(MANAGED_DOMAIN.failureDomain, jobId), value: {jobId, writeId}},
			],
		});
		if (!this.jobHistory.rows.has(jobId)) {
			return undefined;
		}

		this.acceptedJobIds.push(jobId);
		for (const entry of this.entries) {
			entry.node.deliver(() => {
				entry.notify(jobId);
			});
		}

		return jobId;
	}

	/** Sends a cancellation of jobs to all entries; only the owner acts on it. */
	cancel(jobIds: readonly string[]): void {
		for (const entry of this.entries) {
			entry.node.deliver(() => {
				entry.cancel(jobIds);
			});
		}
	}

	/** Kills an entry and starts a new process at its address. */
	restartEntry(index: number): void {
		this.entries[index]?.node.kill();
		this.entries[index] = this.#createEntry(index);
	}

	/** Applies the delayed writes that have been reported with an unknown outcome. */
	applyLateWrites(): void {
		this.tables.faults.applyLateChanges();
	}

	/** Ends all faults and restarts the killed processes. */
	async heal(): Promise<void> {
		this.storeMode = 'up';
		this.network.heal();
		this.network.faults = HEALTHY_NETWORK;
		for (const entry of this.entries) {
			entry.isStoreUnreachable = false;
			entry.node.resume();
		}

		// Draining processes have to end first, so that they are restarted as well.
		await this.time.advance(DRAIN_TIMEOUT_MS);
		for (const [index, entry] of this.entries.entries()) {
			if (!entry.node.isAlive) {
				this.restartEntry(index);
			}
		}

		for (const agent of this.agents) {
			agent.setEndpointLeaving(false);
			agent.resumeProcess();
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
			region: MANAGED_DOMAIN.region,
			failureDomain: 'palermo',
			managedDomain: MANAGED_DOMAIN,
			scheduler: SCHEDULER_CONFIG,
			newId: () => this.#newId(),
			confirmPreviousOwnerGone: async (ownerId, address, epoch, fromHost) => this.#confirmPreviousOwnerGone(ownerId, address, epoch, fromHost),
		});
	}

	/** A killed process refuses connections, which proves that it has ended; a paused or unreachable one does not answer. */
	async #confirmPreviousOwnerGone(ownerId: string, address: Address, epoch: number, fromHost: string): Promise<boolean> {
		const entry = this.#findEntry(address);
		if (!entry || !this.network.isReachable(fromHost, address.host)) {
			return false;
		}

		if (!entry.node.isAlive || entry.processId !== ownerId) {
			return true;
		}

		return entry.node.isRunning && entry.stepDown(epoch);
	}

	async #queryOwner(address: Address, fromHost: string): ReturnType<ConstructorParameters<typeof SimAgent>[0]['queryOwner']> {
		const entry = this.#findEntry(address);
		if (!entry?.node.isRunning || !this.network.isReachable(fromHost, address.host)) {
			return undefined;
		}

		const owner = entry.knownOwner();
		return owner && {ownerId: owner.ownerId, epoch: owner.epoch, address: {host: owner.host, port: owner.port}};
	}

	#findEntry(address: Address): SimEntry | undefined {
		return this.entries.find((_entry, index) => entryAddress(index).host === address.host);
	}

	#chooseStoreFault(operation: FaultOperation): Fault {
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

/**
 * Longest time from the end of all faults until every job has ended. The longest part is the fence after a change of
 * owner that the previous owner has not confirmed.
 */
export const SETTLE_TIMEOUT_MS = 1_200_000;

function entryAddress(index: number): Address {
	return {host: `entry-${index}`, port: 1};
}

function createJobSpec(job: FuzzJob): JobSpec {
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
