import {formatAddress, type Resources} from '@amaranthsail/core';
import {findFreePort} from './free-port.js';
import {ManagedProcess} from './managed-process.js';

/** A worker, its endpoint and its agent. */
export type LocalWorkerSpec = {
	readonly workerId: string;
	readonly failureDomain: string;
	readonly rack: string;
	readonly capacity: Resources;
	readonly services: readonly string[];
	/** Additional settings of the worker emulator, as environment variables. */
	readonly environment?: Readonly<Record<string, string>>;
};

/** Name and location of an entry. */
export type LocalEntrySpec = {readonly name: string; readonly region: string; readonly failureDomain: string};

/** The processes of a local system and their settings. */
export type LocalSystemOptions = {
	readonly entries: readonly LocalEntrySpec[];
	/** Number of additional entry addresses known to the agents, for entries that are started later; 0 when absent. */
	readonly spareEntryCount?: number;
	readonly workers: readonly LocalWorkerSpec[];
	readonly accountTokens: Readonly<Record<string, string>>;
	readonly operatorTokens: Readonly<Record<string, string>>;
	readonly logLevel?: string;
};

/** The processes of one worker's VM. */
export type LocalWorker = {readonly spec: LocalWorkerSpec; readonly worker: ManagedProcess; readonly agent: ManagedProcess};

const SHARED_SECRET = 'local-shared-secret';

/** Node.js flags of the agent: a small young generation and optimization for size halve its private memory. */
const AGENT_NODE_FLAGS = ['--max-semi-space-size=1', '--optimize-for-size'];

function formatTokens(tokens: Readonly<Record<string, string>>): string {
	return Object.entries(tokens).map(([name, token]) => `${name}=${token}`).join(',');
}

/** Runs a whole system as child processes on this host: a platform emulator, entries, workers and agents. */
export class LocalSystem {
	readonly entries: ManagedProcess[] = [];
	readonly workers: LocalWorker[] = [];
	readonly platform = new ManagedProcess({
		name: 'platform',
		module: '@amaranthsail/standin/bin.js',
		environment: {AMARANTHSAIL_ROLE: 'platform', AMARANTHSAIL_ADDRESS: '127.0.0.1:0', AMARANTHSAIL_STATSD_ADDRESS: '127.0.0.1:0'},
	});

	readonly #options: LocalSystemOptions;
	#entryAddresses: readonly string[] = [];

	/**
	 * @param options - The processes and their settings.
	 */
	constructor(options: LocalSystemOptions) {
		this.#options = options;
	}

	/** Addresses of all entries, running or not, followed by the spare addresses. */
	get entryAddresses(): readonly string[] {
		return this.#entryAddresses;
	}

	/** Starts all processes. */
	async start(): Promise<void> {
		await this.platform.start();
		const {entries, spareEntryCount = 0} = this.#options;
		const ports = await Promise.all(Array.from({length: entries.length + spareEntryCount}, async () => findFreePort()));
		this.#entryAddresses = ports.map(port => `127.0.0.1:${port}`);
		await Promise.all(entries.map(async (spec, index) => this.startEntry(spec, this.#entryAddresses[index])));
		await Promise.all(this.#options.workers.map(async spec => this.startWorker(spec)));
	}

	/**
	 * Starts an entry.
	 *
	 * @param spec - Name, region and failure domain.
	 * @param listenAddress - HTTP address; a free port when absent.
	 * @returns The process.
	 */
	async startEntry(spec: LocalEntrySpec, listenAddress = '127.0.0.1:0'): Promise<ManagedProcess> {
		const entry = new ManagedProcess({
			name: spec.name,
			module: '@amaranthsail/entry/bin.js',
			environment: {
				AMARANTHSAIL_LISTEN_ADDRESS: listenAddress,
				AMARANTHSAIL_DATAGRAM_ADDRESS: '127.0.0.1:0',
				AMARANTHSAIL_STORE_ADDRESS: formatAddress(this.platform.address),
				AMARANTHSAIL_REGION: spec.region,
				AMARANTHSAIL_FAILURE_DOMAIN: spec.failureDomain,
				AMARANTHSAIL_SHARED_SECRET: SHARED_SECRET,
				AMARANTHSAIL_ACCOUNT_TOKENS: formatTokens(this.#options.accountTokens),
				AMARANTHSAIL_OPERATOR_TOKENS: formatTokens(this.#options.operatorTokens),
				AMARANTHSAIL_LOG_LEVEL: this.#options.logLevel ?? 'info',
			},
		});
		this.entries.push(entry);
		await entry.start();
		return entry;
	}

	/**
	 * Starts a worker, its endpoint and its agent.
	 *
	 * @param spec - Identity, capacity and settings.
	 * @returns The processes.
	 */
	async startWorker(spec: LocalWorkerSpec): Promise<LocalWorker> {
		const agentAddress = `127.0.0.1:${await findFreePort()}`;
		const worker = new ManagedProcess({
			name: `worker ${spec.workerId}`,
			module: '@amaranthsail/standin/bin.js',
			environment: {
				AMARANTHSAIL_ROLE: 'worker',
				AMARANTHSAIL_ADDRESS: '127.0.0.1:0',
				AMARANTHSAIL_AGENT_ADDRESS: agentAddress,
				AMARANTHSAIL_OBJECT_STORE_ADDRESS: formatAddress(this.platform.address),
				AMARANTHSAIL_SERVICES: spec.services.join(','),
				AMARANTHSAIL_RACK: spec.rack,
				AMARANTHSAIL_CAPACITY: JSON.stringify(spec.capacity),
				AMARANTHSAIL_ENDPOINT_ID: `${spec.workerId}-endpoint`,
				...spec.environment,
			},
		});
		await worker.start();
		const agent = this.#createAgent(spec, agentAddress, formatAddress(worker.address));
		const localWorker = {spec, worker, agent};
		this.workers.push(localWorker);
		await agent.start();
		return localWorker;
	}

	/**
	 * Starts a new agent for a running worker, as the platform does after the previous agent has ended.
	 *
	 * @param localWorker - The worker, whose agent has ended; its element of `workers` is replaced.
	 * @returns The worker with the new agent.
	 */
	async restartAgent(localWorker: LocalWorker): Promise<LocalWorker> {
		const agent = this.#createAgent(localWorker.spec, formatAddress(localWorker.agent.address), formatAddress(localWorker.worker.address));
		const updatedWorker = {...localWorker, agent};
		this.workers.splice(this.workers.indexOf(localWorker), 1, updatedWorker);
		await agent.start();
		return updatedWorker;
	}

	/** Stops all processes that this system has started. */
	async stop(): Promise<void> {
		// Paused processes do not handle SIGTERM.
		for (const managedProcess of [...this.entries, ...this.workers.flatMap(({worker, agent}) => [worker, agent])]) {
			managedProcess.signal('SIGCONT');
		}

		await Promise.all(this.workers.map(async ({agent}) => agent.stop('SIGTERM', 3000)));
		await Promise.all(this.entries.map(async entry => entry.stop('SIGTERM', 5000)));
		await Promise.all(this.workers.map(async ({worker}) => worker.stop('SIGTERM', 2000)));
		await this.platform.stop('SIGTERM', 2000);
	}

	#createAgent(spec: LocalWorkerSpec, listenAddress: string, workerAddress: string): ManagedProcess {
		return new ManagedProcess({
			name: `agent ${spec.workerId}`,
			module: '@amaranthsail/agent/bin.js',
			nodeFlags: AGENT_NODE_FLAGS,
			environment: {
				AMARANTHSAIL_LISTEN_ADDRESS: listenAddress,
				AMARANTHSAIL_DATAGRAM_ADDRESS: '127.0.0.1:0',
				AMARANTHSAIL_WORKER_ID: spec.workerId,
				AMARANTHSAIL_FAILURE_DOMAIN: spec.failureDomain,
				AMARANTHSAIL_ENTRY_ADDRESSES: this.#entryAddresses.join(','),
				AMARANTHSAIL_WORKER_ADDRESS: workerAddress,
				AMARANTHSAIL_OBJECT_STORE_ADDRESS: formatAddress(this.platform.address),
				AMARANTHSAIL_SHARED_SECRET: SHARED_SECRET,
				AMARANTHSAIL_LOG_LEVEL: this.#options.logLevel ?? 'info',
			},
		});
	}
}
