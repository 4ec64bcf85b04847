import {createServer, type Server} from 'node:http';
import {JsonClient, type Logger, SystemClock} from '@amaranthsail/core';
import {
	CONFIG_KEY, CONFIG_TABLE, decodeConfiguration, type NodeSettings, READINESS_PATH, RowStore,
} from '@amaranthsail/platform-adapter';
import {DEFAULT_LIMITS, leaseMsWithin, type PoolLimits} from '@amaranthsail/pool';
import {ANNOUNCE_PATH, type AnnounceRequest} from '@amaranthsail/pool-agent';
import {
	listen, type ProcessMetrics, type RouteAnswer, type RouteHandler, serveJson, sleep,
} from '@amaranthsail/pool-runtime';
import {CallerApi} from './caller-api.js';
import type {Leadership} from './commit-loop.js';
import {ConfigFollower} from './config-follower.js';
import {JobIntake} from './job-intake.js';
import {LeaderFollower} from './leadership.js';
import {
	type ConfigurationAnswer, type HelloAnswer, type HelloRequest, type JobStateAnswer, type JobStateRequest, PEER_PATHS, type RelayRequest, type StoredNotice,
} from './peer-messages.js';
import {PoolLeader} from './pool-leader.js';

/** Time kept of the bound on new configurations for the way of a request. */
const CONFIG_MARGIN_MS = 300;

/** A count of waiting jobs may be this old. */
const PENDING_AGE_MS = 1500;

/** After SIGTERM new connections may come until the platform has missed two readiness checks. */
const DRAIN_MS = 2500;

const CONFIGURATION_TIMEOUT_MS = 500;

/** Runs an entry: callers' API, API for peers and agents, and the leader while this process leads. */
export class EntryProgram {
	readonly #settings: NodeSettings;
	readonly #logger: Logger;
	readonly #metrics: ProcessMetrics;
	readonly #clock = new SystemClock();
	readonly #store: RowStore;
	readonly #config: ConfigFollower;
	readonly #follower: LeaderFollower;
	readonly #intake: JobIntake;
	readonly #callers: CallerApi;
	readonly #address: string;
	readonly #limits: PoolLimits;
	readonly #entries = new Map<string, number>();
	readonly #servers: Server[] = [];
	#leader: PoolLeader | undefined;
	#pending: {readonly counts: Readonly<Record<string, number>>; readonly atMs: number} | undefined;
	#isStopping = false;

	/**
	 * @param settings - Place in the deployment.
	 * @param logger - Takes log lines.
	 * @param metrics - Takes counters and histograms.
	 */
	constructor(settings: NodeSettings, logger: Logger, metrics: ProcessMetrics) {
		this.#settings = settings;
		this.#logger = logger;
		this.#metrics = metrics;
		this.#store = new RowStore(settings.storeAddress);
		this.#address = `${settings.ip}:${settings.peerPort}`;
		this.#limits = {
			...DEFAULT_LIMITS,
			leaseMs: leaseMsWithin(settings.bounds.maxLeaseMs),
			remoteFactor: settings.bounds.remoteFactor,
			reclaimMs: settings.bounds.reclaimMs,
		};
		this.#config = new ConfigFollower(this.#store, {table: CONFIG_TABLE, key: CONFIG_KEY, decode: decodeConfiguration}, this.#clock, logger);
		this.#config.onChange(config => {
			this.#leader?.setConfig(config);
		});
		this.#follower = new LeaderFollower({
			store: this.#store,
			clock: this.#clock,
			logger,
			holder: `${settings.name}/${Date.now()}`,
			address: this.#address,
			isLeading: () => this.#leader !== undefined,
			canLead: () => this.#config.known !== undefined && !this.#isStopping,
			hello: () => this.#hello(),
			onHello: (answer, address) => {
				this.#onHello(answer, address);
			},
			onTakeover: leadership => {
				this.#lead(leadership);
			},
		});
		this.#intake = new JobIntake({
			store: this.#store,
			clock: this.#clock,
			logger,
			config: this.#config,
			leader: () => this.#leader?.isLeading ? this.#leader : undefined,
			leaderAddress: () => this.#leader ? undefined : this.#follower.leaderAddress,
			entries: () => this.#otherEntries(),
		});
		this.#callers = new CallerApi({
			clock: this.#clock,
			logger,
			metrics,
			config: this.#config,
			intake: this.#intake,
			isConfigUsable: () => this.#isConfigUsable(),
			pendingOf: queue => this.#pendingOf(queue),
			isStopping: () => this.#isStopping,
		});
	}

	/** @returns Once the entry serves. */
	async start(): Promise<void> {
		const {callerAddress, readinessAddress, ip, metricsPort} = this.#settings;
		this.#servers.push(
			await serveJson(this.#address, this.#routes()),
			await this.#metrics.serve(`${ip}:${metricsPort}`),
			await listen(createServer((message, response) => {
				const isReady = message.url === READINESS_PATH && this.#isReady();
				response.writeHead(isReady ? 200 : 503);
				response.end();
			}), readinessAddress!),
			await listen(createServer((message, response) => {
				void this.#callers.serve(message, response);
			}), callerAddress!),
		);
		void this.#config.run();
		void this.#follower.run();
	}

	/** Hands leadership over and lets callers finish; the process may end afterwards. */
	async stop(): Promise<void> {
		this.#isStopping = true;
		this.#follower.stop();
		await Promise.all([this.#leader?.resign(), sleep(DRAIN_MS)]);
		const closed = this.#servers.map(async server => new Promise(resolve => {
			server.close(resolve);
			server.closeIdleConnections();
		}));
		await Promise.race([Promise.all(closed), sleep(this.#settings.bounds.shutdownGraceMs - DRAIN_MS - CONFIG_MARGIN_MS)]);
		this.#logger.info('stopped', {});
	}

	#isReady(): boolean {
		return !this.#isStopping && this.#config.known !== undefined && this.#isConfigUsable();
	}

	/** The configuration counts as current while the store or the leader has confirmed it within the bound. */
	#isConfigUsable(): boolean {
		const limitMs = this.#settings.bounds.configApplyMs - CONFIG_MARGIN_MS;
		return this.#config.ageMs < limitMs || this.#leader !== undefined || this.#follower.leaderSilentMs < limitMs;
	}

	#lead(leadership: Leadership): void {
		const leader = new PoolLeader(leadership, {
			store: this.#store,
			clock: this.#clock,
			logger: this.#logger,
			metrics: this.#metrics,
			limits: this.#limits,
			onDeposed: () => {
				if (this.#leader === leader) {
					this.#leader = undefined;
				}
			},
		});
		this.#leader = leader;
		if (this.#config.known) {
			leader.setConfig(this.#config.known.config);
		}

		void leader.run();
	}

	#routes(): Record<string, RouteHandler> {
		return {
			[PEER_PATHS.hello]: body => this.#onHelloRequest(body as HelloRequest),
			[PEER_PATHS.configuration]: () => ({status: 200, body: {row: this.#config.known?.row} satisfies ConfigurationAnswer}),
			[PEER_PATHS.jobState]: body => {
				const view = this.#leader?.isLeading ? this.#leader.core.jobView((body as JobStateRequest).jobId) : undefined;
				return {status: 200, body: {isLeading: this.#leader?.isLeading ?? false, ...view} satisfies JobStateAnswer};
			},
			[PEER_PATHS.stored]: body => {
				const {jobId, row} = body as StoredNotice;
				this.#leader?.onStored(jobId, row);
				return {status: 200, body: {}};
			},
			[PEER_PATHS.relay]: async body => this.#intake.onRelay(body as RelayRequest),
			[ANNOUNCE_PATH]: async body => this.#onAnnounce(body as AnnounceRequest),
		};
	}

	async #onAnnounce(request: AnnounceRequest): Promise<RouteAnswer> {
		if (this.#leader) {
			this.#leader.addAgent(request.agent, request.address);
			return {status: 200, body: {}};
		}

		const address = this.#follower.leaderAddress;
		if (address === undefined || address === this.#address) {
			return {status: 503, body: {problem: 'no leader is known'}};
		}

		const client = new JsonClient(address, 1);
		const answer = await client.call({method: 'POST', path: ANNOUNCE_PATH, body: request, timeoutMs: CONFIGURATION_TIMEOUT_MS});
		client.close();
		return answer.ok ? {status: answer.value.status, body: answer.value.body} : {status: 503, body: {problem: answer.error.message}};
	}

	#hello(): HelloRequest {
		return {address: this.#address, epoch: this.#follower.epoch, configRowVersion: this.#config.known?.row.version ?? 0};
	}

	#onHelloRequest(request: HelloRequest): RouteAnswer {
		this.#entries.set(request.address, this.#clock.monotonicMs());
		this.#leader?.notePeer();
		void this.#learnConfig(request.configRowVersion, request.address);
		return {
			status: 200,
			body: {
				epoch: this.#leader?.epoch ?? this.#follower.epoch,
				isLeading: (this.#leader?.isLeading ?? false) || (this.#leader?.isRecovering ?? false),
				configRowVersion: this.#config.known?.row.version ?? 0,
				entries: [...this.#entries.keys()],
				pending: Object.fromEntries(this.#leader?.core.pendingCounts() ?? []),
			} satisfies HelloAnswer,
		};
	}

	#onHello(answer: HelloAnswer, address: string): void {
		const nowMs = this.#clock.monotonicMs();
		for (const entry of [address, ...answer.entries]) {
			this.#entries.set(entry, nowMs);
		}

		if (answer.isLeading) {
			this.#pending = {counts: answer.pending, atMs: nowMs};
		}

		void this.#learnConfig(answer.configRowVersion, address);
	}

	/** Fetches the configuration of a peer that has a newer one. */
	async #learnConfig(rowVersion: number, address: string): Promise<void> {
		if (rowVersion <= (this.#config.known?.row.version ?? 0)) {
			return;
		}

		const client = new JsonClient(address, 1);
		const answer = await client.call({method: 'POST', path: PEER_PATHS.configuration, body: {}, timeoutMs: CONFIGURATION_TIMEOUT_MS});
		client.close();
		const row = answer.ok ? (answer.value.body as ConfigurationAnswer).row : undefined;
		if (row) {
			this.#config.offer(row, `peer ${address}`);
		}
	}

	#pendingOf(queue: string): number | undefined {
		if (this.#leader?.isLeading) {
			return this.#leader.core.pendingCounts().get(queue) ?? 0;
		}

		const pending = this.#pending;
		return pending && this.#clock.monotonicMs() - pending.atMs < PENDING_AGE_MS ? pending.counts[queue] ?? 0 : undefined;
	}

	#otherEntries(): readonly string[] {
		const leader = this.#follower.leaderAddress;
		const others = [...this.#entries.entries()].toSorted((left, right) => right[1] - left[1]).map(([address]) => address);
		const seeds = this.#settings.seedIps.map(ip => `${ip}:${this.#settings.peerPort}`);
		return [...new Set([...(leader === undefined ? [] : [leader]), ...others, ...seeds])].filter(address => address !== this.#address);
	}
}
