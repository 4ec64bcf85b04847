import {
	asFields, JsonClient, type Logger, SystemClock,
} from '@amaranthsail/core';
import {
	CONFIG_KEY, CONFIG_TABLE, decodeConfiguration, decodeEvacuation, EVACUATION_PREFIX, type NodeSettings, READINESS_PATH, RowStore,
} from '@amaranthsail/platform-adapter';
import {DEFAULT_LIMITS, leaseMsWithin, type PoolLimits} from '@amaranthsail/pool';
import {ANNOUNCE_PATH, type AnnounceRequest, decodeAnnounceRequest} from '@amaranthsail/pool-agent';
import {
	answerSafely, BoundedServer, connectionOf, decoded, ErrorGuard, GracefulServer, listen, listenerLimits, ListenerMonitor, type ListenerOptions, MAX_INTERNAL_BODY_BYTES, type ProcessMetrics, type RouteAnswer, type RouteHandler, serveJson, sleep,
} from '@amaranthsail/pool-runtime';
import {CallerApi, MAX_BODY_BYTES} from './caller-api.js';
import type {Leadership} from './commit-loop.js';
import {ConfigFollower} from './config-follower.js';
import {loggedAgeMs} from './config-freshness.js';
import {EntryDirectory} from './entry-directory.js';
import {EvacuationFollower} from './evacuation-follower.js';
import {JobService} from './job-service.js';
import {LeaderFollower} from './leadership.js';
import {
	decodeHelloRequest, decodeJobStateRequest, decodeRelayRequest, decodeStoredNotice, decodeStoredRow,
} from './peer-message-decoding.js';
import {
	type ConfigurationAnswer, type HelloAnswer, type HelloRequest, type JobStateAnswer, PEER_PATHS,
} from './peer-messages.js';
import {PendingCounts} from './pending-counts.js';
import {PoolLeader} from './pool-leader.js';

/** New connections may still arrive after SIGTERM until two readiness checks of the platform have failed. */
const DRAIN_DELAY_MS = 2500;

/** Time before the end of the grace time at which requests that are still in progress are answered. */
const END_MARGIN_MS = 1000;

/** Longest time for sending these answers; the rest of the margin is for the exit of a process that is short of processor time. */
const LAST_ANSWERS_TIMEOUT_MS = 300;

const PEER_TIMEOUT_MS = 500;

/** Longest transfer of a configuration from a peer over a slow link. */
const CONFIG_TRANSFER_TIMEOUT_MS = 4000;

/** An entry that reaches the store gets a new configuration from its feed within this time, and needs no second transfer. */
const FEED_DELAY_MS = 400;

/** Entries exchange the version of their configurations at least this often. */
const MAX_HELLO_INTERVAL_MS = 1000;

/** An entry process: the callers' API, the API for peers and agents, and the leader while this process leads. */
export class PoolEntryProgram {
	readonly #settings: NodeSettings;
	readonly #logger: Logger;
	readonly #metrics: ProcessMetrics;
	readonly #guard: ErrorGuard;
	readonly #clock = new SystemClock();
	readonly #store: RowStore;
	readonly #config: ConfigFollower;
	/** Absent in deployments without evacuations. */
	readonly #evacuations: EvacuationFollower | undefined;
	readonly #follower: LeaderFollower;
	readonly #jobs: JobService;
	readonly #callerApi: CallerApi;
	readonly #address: string;
	readonly #limits: PoolLimits;
	readonly #entries: EntryDirectory;
	readonly #pendingCounts = new PendingCounts(this.#clock);
	readonly #servers: GracefulServer[] = [];
	#leader: PoolLeader | undefined;
	#isStopping = false;
	#isFetchingConfig = false;
	#wasConfigUsable = false;

	/**
	 * @param settings - Settings of this process.
	 * @param logger - Receives log lines.
	 * @param metrics - Receives counters and histograms.
	 */
	constructor(settings: NodeSettings, logger: Logger, metrics: ProcessMetrics) {
		this.#settings = settings;
		this.#logger = logger;
		this.#metrics = metrics;
		this.#guard = new ErrorGuard(logger, metrics);
		this.#store = new RowStore(settings.storeAddress);
		this.#address = `${settings.ip}:${settings.peerPort}`;
		this.#entries = new EntryDirectory({address: this.#address, failureDomain: settings.failureDomain, cores: settings.cores}, this.#clock);
		this.#limits = {
			...DEFAULT_LIMITS,
			leaseMs: leaseMsWithin(settings.bounds.maxLeaseMs),
			maxLeaseMs: settings.bounds.maxLeaseMs,
			remoteFactor: settings.bounds.remoteFactor,
			reclaimMs: settings.bounds.reclaimMs,
			stopTimeoutMs: settings.bounds.stopTimeoutMs,
			...(settings.bounds.evacuationMs !== undefined && {evacuationMs: settings.bounds.evacuationMs}),
			minSpeedSpread: settings.minSpeedSpread ?? DEFAULT_LIMITS.minSpeedSpread,
		};
		this.#config = new ConfigFollower(this.#store, {table: CONFIG_TABLE, key: CONFIG_KEY, decode: decodeConfiguration}, this.#clock, logger);
		this.#config.onChange(config => {
			this.#leader?.setConfig(config);
		});
		this.#evacuations = settings.bounds.evacuationMs === undefined ? undefined : this.#followEvacuations();
		this.#follower = new LeaderFollower({
			store: this.#store,
			clock: this.#clock,
			logger,
			holder: `${settings.name}/${Date.now()}`,
			address: this.#address,
			cores: settings.cores,
			isLeading: () => this.#leader !== undefined,
			canLead: () => this.#config.known !== undefined && !this.#isStopping,
			hello: () => this.#buildHello(),
			onHello: (answer, address) => {
				this.#onHelloAnswer(answer, address);
			},
			onTakeover: leadership => {
				this.#startLeading(leadership);
			},
		});
		this.#jobs = new JobService({
			store: this.#store,
			clock: this.#clock,
			logger,
			metrics,
			config: this.#config,
			leader: () => this.#leader?.canAnswer ? this.#leader : undefined,
			storedJob: jobId => this.#leader?.core.storedJob(jobId),
			leaderAddress: () => this.#leader ? undefined : this.#follower.leaderAddress,
			entries: () => this.#otherEntries(),
		});
		this.#callerApi = new CallerApi({
			clock: this.#clock,
			logger,
			metrics,
			config: this.#config,
			jobs: this.#jobs,
			isConfigUsable: () => this.#isConfigUsable(),
			pendingCount: queue => this.#pendingCounts.countOf(queue, this.#leader),
			limits: listenerLimits(settings.clientLimits, 'callers', {maxBodyBytes: MAX_BODY_BYTES, isInternal: false}),
		});
	}

	/** Opens all servers and starts following the configuration and the leader. */
	async start(): Promise<void> {
		const {callerAddress, readinessAddress, ip, metricsPort, clientLimits} = this.#settings;
		const observer = new ListenerMonitor(this.#logger, this.#metrics);
		const peers: ListenerOptions = {limits: listenerLimits(clientLimits, 'peers', {maxBodyBytes: MAX_INTERNAL_BODY_BYTES, isInternal: true}), observer};
		const bodiless = {maxBodyBytes: 0, isInternal: false};
		this.#servers.push(
			new GracefulServer(await serveJson(this.#address, this.#routes(), (path, error) => {
				this.#guard.record('peer request', error, {path});
			}, peers)),
			new GracefulServer(await this.#metrics.serve(`${ip}:${metricsPort}`, {limits: listenerLimits(clientLimits, 'metrics', bodiless), observer})),
			new GracefulServer(await listen(new BoundedServer(listenerLimits(clientLimits, 'readiness', bodiless), observer, (message, response) => {
				const isReady = message.url === READINESS_PATH && this.#isReady() && !connectionOf(message)?.isRefused(message);
				response.writeHead(isReady ? 200 : 503);
				response.end();
			}), readinessAddress!)),
			new GracefulServer(await listen(new BoundedServer(this.#callerApi.limits, observer, (message, response) => {
				void answerSafely(message, response, async () => this.#callerApi.serve(message, response), (path, error) => {
					this.#guard.record('caller request', error, {path});
				});
			}), callerAddress!)),
		);
		void this.#guard.supervise('configuration', async () => this.#config.run());
		if (this.#evacuations) {
			void this.#guard.supervise('evacuations', async () => this.#evacuations!.run());
		}

		void this.#guard.supervise('leader follower', async () => this.#follower.run());
	}

	/** Resigns leadership and answers all requests within the grace time; the process may exit afterwards. */
	async stop(): Promise<void> {
		const endMs = this.#clock.monotonicMs() + this.#settings.bounds.shutdownGraceMs - END_MARGIN_MS;
		this.#isStopping = true;
		this.#follower.stop();
		for (const server of this.#servers) {
			server.drain();
		}

		await Promise.all([this.#leader?.resign(), sleep(DRAIN_DELAY_MS)]);
		const closed = this.#servers.map(async server => server.close());
		const allClosed = Promise.all(closed);
		await Promise.race([allClosed, sleep(endMs - this.#clock.monotonicMs())]);
		this.#callerApi.end();
		await Promise.race([allClosed, sleep(LAST_ANSWERS_TIMEOUT_MS)]);
		this.#logger.info('stopped', {});
	}

	#isReady(): boolean {
		return !this.#isStopping && this.#config.known !== undefined && this.#isConfigUsable();
	}

	/** Whether requests may be answered by the known configuration; see {@link ConfigFollower.isUsable}. */
	#isConfigUsable(): boolean {
		const {ageMs, behindMs, storeSilentMs, known} = this.#config;
		const leaderSilentMs = this.#leader?.canAnswer ? 0 : this.#follower.leaderSilentMs;
		const isUsable = this.#config.isUsable(this.#settings.bounds.configApplyMs, leaderSilentMs);
		if (isUsable !== this.#wasConfigUsable) {
			this.#wasConfigUsable = isUsable;
			this.#logger.info(isUsable ? 'configuration usable' : 'configuration not usable', {
				version: known?.config.version ?? 'none', ageMs: loggedAgeMs(ageMs), behindMs: loggedAgeMs(behindMs), storeSilentMs: loggedAgeMs(storeSilentMs), leaderSilentMs: loggedAgeMs(leaderSilentMs), isLeading: this.#leader !== undefined,
			});
		}

		this.#metrics.set('configuration_usable', isUsable ? 1 : 0);
		return isUsable;
	}

	#followEvacuations(): EvacuationFollower {
		const source = {table: CONFIG_TABLE, prefix: EVACUATION_PREFIX, decode: decodeEvacuation};
		const follower = new EvacuationFollower(this.#store, source, this.#clock, this.#logger);
		follower.onChange(() => {
			this.#metrics.set('evacuated_failure_domains', follower.failureDomains.size);
			if (this.#leader) {
				follower.applyTo(this.#leader.core);
			}
		});
		this.#config.setTableListener(follower);
		return follower;
	}

	#startLeading(leadership: Leadership): void {
		const leader = new PoolLeader(leadership, {
			store: this.#store,
			clock: this.#clock,
			logger: this.#logger,
			metrics: this.#metrics,
			limits: this.#limits,
			guard: this.#guard,
			evacuations: this.#evacuations,
			onLeadershipLost: (_reason, knownEpoch = 0) => {
				this.#follower.recordEpoch(knownEpoch);
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
			[PEER_PATHS.hello]: decoded(decodeHelloRequest, request => this.#onHelloRequest(request)),
			[PEER_PATHS.configuration]: () => ({status: 200, body: {row: this.#config.known?.row} satisfies ConfigurationAnswer}),
			[PEER_PATHS.jobState]: decoded(decodeJobStateRequest, ({jobId}) => {
				const view = this.#leader?.canAnswer ? this.#leader.core.jobView(jobId) : undefined;
				return {status: 200, body: {isLeading: this.#leader?.isLeading ?? false, ...view} satisfies JobStateAnswer};
			}),
			[PEER_PATHS.stored]: decoded(decodeStoredNotice, ({jobId, row}) => {
				this.#leader?.onStored(jobId, row);
				return {status: 200, body: {}};
			}),
			[PEER_PATHS.relay]: decoded(decodeRelayRequest, async request => this.#jobs.onRelay(request)),
			[ANNOUNCE_PATH]: decoded(decodeAnnounceRequest, async request => this.#onAnnounce(request)),
		};
	}

	async #onAnnounce(request: AnnounceRequest): Promise<RouteAnswer> {
		if (this.#leader) {
			this.#leader.onAnnounced(request.agent, request.address);
			return {status: 200, body: {}};
		}

		const address = this.#follower.leaderAddress;
		if (address === undefined || address === this.#address) {
			return {status: 503, body: {problem: 'no leader is known'}};
		}

		const client = new JsonClient(address, 1);
		const answer = await client.call({method: 'POST', path: ANNOUNCE_PATH, body: request, timeoutMs: PEER_TIMEOUT_MS});
		client.close();
		return answer.ok ? {status: answer.value.status, body: answer.value.body} : {status: 503, body: {problem: answer.error.message}};
	}

	#buildHello(): HelloRequest {
		return {address: this.#address, epoch: this.#follower.epoch, configRowVersion: this.#config.known?.row.version ?? 0, failureDomain: this.#settings.failureDomain, cores: this.#settings.cores};
	}

	#onHelloRequest(request: HelloRequest): RouteAnswer {
		this.#entries.recordCall(request);
		this.#leader?.recordPeerCall(request.epoch);
		const pending = this.#pendingCounts.ofLeader(this.#leader);
		const configBehindMs = Math.ceil(this.#config.ownBehindMs);
		void this.#fetchConfigIfNewer(request.configRowVersion, request.address);
		return {
			status: 200,
			body: {
				epoch: this.#leader?.epoch ?? this.#follower.epoch,
				isLeading: (this.#leader?.isLeading ?? false) || (this.#leader?.isRecovering ?? false),
				configRowVersion: this.#config.known?.row.version ?? 0,
				...(configBehindMs > 0 && {configBehindMs}),
				entries: this.#entries.addresses,
				...(pending && {pending}),
				isDeputy: this.#entries.isDeputy(request.address),
				largestCores: this.#entries.largestCores,
			} satisfies HelloAnswer,
		};
	}

	#onHelloAnswer(answer: HelloAnswer, address: string): void {
		this.#entries.recordMentioned([address, ...answer.entries]);

		if (answer.pending) {
			this.#pendingCounts.record(answer.pending);
		}

		if (answer.isLeading) {
			this.#config.recordLeader(answer.configRowVersion, answer.configBehindMs ?? 0);
		}

		void this.#fetchConfigIfNewer(answer.configRowVersion, address);
	}

	/** Fetches the configuration from a peer that has a newer one, unless the store is about to deliver it. */
	async #fetchConfigIfNewer(rowVersion: number, address: string): Promise<void> {
		if (rowVersion <= (this.#config.known?.row.version ?? 0)) {
			return;
		}

		this.#config.recordAnnounced(rowVersion);
		if (this.#isFetchingConfig || this.#config.isReceiving || (this.#config.known && this.#config.behindMs < FEED_DELAY_MS && this.#config.storeSilentMs < MAX_HELLO_INTERVAL_MS)) {
			return;
		}

		this.#isFetchingConfig = true;
		const client = new JsonClient(address, 1);
		const answer = await client.call({method: 'POST', path: PEER_PATHS.configuration, body: {}, timeoutMs: PEER_TIMEOUT_MS, transferTimeoutMs: CONFIG_TRANSFER_TIMEOUT_MS});
		client.close();
		this.#isFetchingConfig = false;
		const row = answer.ok ? decodeStoredRow(asFields(answer.value.body).row) : undefined;
		if (row) {
			this.#config.applyIfNewer(row, `peer ${address}`);
			if (row.version < rowVersion) {
				this.#config.withdrawAnnounced(rowVersion);
			}
		}
	}

	#otherEntries(): readonly string[] {
		const leader = this.#follower.leaderAddress;
		const others = this.#entries.addresses;
		const seeds = this.#settings.seedIps.map(ip => `${ip}:${this.#settings.peerPort}`);
		return [...new Set([...(leader === undefined ? [] : [leader]), ...others, ...seeds])].filter(address => address !== this.#address);
	}
}
