import {createSocket, type Socket} from 'node:dgram';
import {
	CONFIG_POLL_INTERVAL_MS,
	MessageCodec,
	newId,
	SystemClock,
	type Address,
	type Logger,
} from '@amaranthsail/core';
import {OwnerHost, type OwnerMetric} from '@amaranthsail/owner';
import {HttpObjectStore, HttpTableStore} from '@amaranthsail/backing-services';
import {ConfigStore, ConfigWatcher, schedulerConfigOf, type ConfigSnapshot} from '@amaranthsail/records';
import {checkGuarantees, createScheduler} from '@amaranthsail/scheduler';
import {Admission} from './admission.js';
import {AnswerReader} from './answer-reader.js';
import {Authenticator} from './authenticator.js';
import {isConnectionRefused} from './connection-probe.js';
import {GUARANTEE_CHECK_INTERVAL_MS, GuaranteeAlarmMonitor} from './guarantee-alarm-monitor.js';
import {HttpServer} from './http-server.js';
import {MAX_JOB_WAIT_MS} from './job-request.js';
import {JobRouter} from './job-router.js';
import {JobRoutes} from './job-routes.js';
import {JobStore} from './job-store.js';
import {JobSubmission} from './job-submission.js';
import {LocalPeerService} from './local-peer-service.js';
import {MEMBER_REFRESH_INTERVAL_MS, Membership, type EntryMember} from './membership.js';
import {StatsdMetrics, type Metrics} from './metrics.js';
import {OwnerGateway} from './owner-gateway.js';
import {PeerClients} from './peer-client.js';
import {servePeers} from './peer-server.js';
import {PeriodicAction} from './periodic-action.js';
import {RecordCatalog} from './record-catalog.js';
import {RecordRoutes} from './record-routes.js';
import {REROUTE_INTERVAL_MS, Rerouter} from './rerouter.js';
import type {EntrySettings} from './settings.js';
import {SystemRoutes} from './system-routes.js';

/** Longest wait of a caller for its job during a drain. */
const MAX_WAIT_DURING_DRAIN_MS = 1000;

/** Longest wait for a previous owner to step down. */
const STEP_DOWN_TIMEOUT_MS = 1000;

/** The entry process: creates its components, starts them and shuts them down. */
export class EntryProgram {
	readonly #settings: EntrySettings;
	readonly #logger: Logger;
	readonly #processId = newId();
	readonly #clock = new SystemClock();
	readonly #tables: HttpTableStore;
	readonly #objects: HttpObjectStore;
	readonly #metrics: Metrics;
	readonly #peers: PeerClients;
	readonly #membership: Membership;
	readonly #configWatcher: ConfigWatcher;
	readonly #socket: Socket;
	readonly #periodicActions: readonly PeriodicAction[];
	readonly #router: JobRouter;
	readonly #alarmMonitor: GuaranteeAlarmMonitor;
	#catalog: RecordCatalog | undefined;
	#ownerHost: OwnerHost | undefined;
	#server: HttpServer | undefined;
	#closePeerServer: (() => void) | undefined;
	#httpAddress: Address;
	#isDraining = false;

	/**
	 * @param settings - The checked settings.
	 * @param logger - Writes the log.
	 * @param shutDown - Starts the graceful shutdown of the process.
	 */
	constructor(settings: EntrySettings, logger: Logger, readonly shutDown: () => void) {
		this.#settings = settings;
		this.#logger = logger;
		this.#httpAddress = settings.listenAddress;
		const storeOptions = {address: settings.storeAddress, timeoutMs: settings.storeTimeoutMs};
		this.#tables = new HttpTableStore(storeOptions);
		this.#objects = new HttpObjectStore(storeOptions);
		this.#metrics = new StatsdMetrics(settings.statsdAddress, logger);
		this.#peers = new PeerClients(settings.sharedSecret);
		this.#membership = new Membership({tables: this.#tables, clock: this.#clock, logger, describe: () => this.#describeMember()});
		this.#configWatcher = new ConfigWatcher({store: this.#tables, processId: this.#processId, memberRow: () => ({...this.#describeMember()})});
		this.#socket = createSocket('udp4');
		this.#router = new JobRouter(() => [...this.#ownerHost?.loads() ?? []].map(([failureDomain, load]) => ({failureDomain, ...load})));
		this.#alarmMonitor = new GuaranteeAlarmMonitor(this.#clock, logger, this.#metrics);
		const rerouter = new Rerouter(this.#router, this.#clock);
		this.#periodicActions = [
			new PeriodicAction(CONFIG_POLL_INTERVAL_MS, async () => this.#pollConfiguration(), logger),
			new PeriodicAction(MEMBER_REFRESH_INTERVAL_MS, async () => this.#refreshMembers(), logger),
			new PeriodicAction(REROUTE_INTERVAL_MS, async () => {
				rerouter.scan(this.#ownerHost?.drivers() ?? [], this.#catalog);
			}, logger),
			new PeriodicAction(GUARANTEE_CHECK_INTERVAL_MS, async () => {
				this.#alarmMonitor.update((this.#ownerHost?.drivers() ?? []).flatMap(driver => driver.alarms()));
			}, logger),
		];
	}

	/**
	 * Binds the addresses and starts serving. The process is ready once its configuration is confirmed.
	 *
	 * @returns The bound HTTP address.
	 * @throws The socket's error, for example when an address is in use.
	 */
	async start(): Promise<Address> {
		const datagramAddress = await this.#bindDatagrams();
		const local = new LocalPeerService({
			processId: this.#processId,
			ownerHost: () => this.#ownerHost,
			revision: () => this.#revision,
			alarms: () => this.#alarmMonitor.alarms,
			shutDown: this.shutDown,
		});
		this.#server = this.#createServer(local);
		this.#httpAddress = await this.#server.listen(this.#settings.listenAddress);
		this.#closePeerServer = servePeers(this.#server.server, local, this.#settings.sharedSecret);
		this.#ownerHost = this.#createOwnerHost(datagramAddress);
		this.#configWatcher.onChange(snapshot => {
			this.#applyConfiguration(snapshot);
		});
		this.#ownerHost.start();
		for (const action of this.#periodicActions) {
			action.start();
		}

		return this.#httpAddress;
	}

	/**
	 * Shuts down gracefully: reports itself as not ready, refuses new jobs, shortens the waits of callers, releases its
	 * failure domains, answers open requests and closes all connections.
	 */
	async drain(): Promise<void> {
		this.#isDraining = true;
		this.#logger.info('draining', {openRequests: this.#server?.openRequests});
		await this.#ownerHost?.stop();
		// The HTTP server does not close while other entries have WebSockets open to it, and it cannot terminate those itself.
		this.#closePeerServer?.();
		await this.#server?.close(this.#settings.drainTimeoutMs);
		await Promise.all(this.#periodicActions.map(async action => action.stop()));
		this.#peers.close();
		await this.#membership.leave();
		this.#metrics.close();
		this.#socket.close();
	}

	get #revision(): number {
		return this.#catalog?.revision ?? 0;
	}

	#notReadyReason(): string | undefined {
		if (this.#isDraining) {
			return 'This entry is shutting down.';
		}

		return this.#catalog ? undefined : 'This entry has not confirmed its configuration yet.';
	}

	#describeMember(): EntryMember {
		const {region, failureDomain} = this.#settings;
		return {
			processId: this.#processId,
			host: this.#httpAddress.host,
			port: this.#httpAddress.port,
			region,
			failureDomain,
			revision: this.#revision,
			ready: this.#notReadyReason() === undefined,
		};
	}

	async #bindDatagrams(): Promise<Address> {
		const {host, port} = this.#settings.datagramAddress;
		await new Promise<void>((resolve, reject) => {
			this.#socket.once('error', reject);
			this.#socket.bind(port, host, resolve);
		});
		this.#socket.on('error', error => {
			this.#logger.warn('datagram socket error', {error: String(error)});
		});
		this.#socket.on('message', (datagram, remote) => {
			this.#ownerHost?.handleDatagram(datagram, {host: remote.address, port: remote.port});
		});
		return {host, port: this.#socket.address().port};
	}

	#createOwnerHost(datagramAddress: Address): OwnerHost {
		const {region, failureDomain, sharedSecret} = this.#settings;
		return new OwnerHost({
			processId: this.#processId,
			region,
			failureDomain,
			controlAddress: this.#httpAddress,
			datagramAddress,
			tables: this.#tables,
			clock: this.#clock,
			logger: this.#logger,
			codec: new MessageCodec(sharedSecret),
			send: (datagram, host, port) => {
				this.#socket.send(datagram, port, host, () => undefined);
			},
			createScheduler,
			confirmPreviousOwnerGone: async (ownerId, address, domain, epoch) => this.#confirmPreviousOwnerGone(ownerId, address, domain, epoch),
			onMetric: metric => {
				this.#recordMetric(metric);
			},
		});
	}

	#createServer(local: LocalPeerService): HttpServer {
		const {accountTokens, operatorTokens, sharedSecret} = this.#settings;
		const jobs = new JobStore(this.#tables);
		const owners = new OwnerGateway({
			processId: this.#processId,
			ownerOf: domain => this.#ownerHost?.ownerOf(domain),
			local,
			peers: this.#peers,
			jobs,
		});
		const jobRoutes = new JobRoutes({
			clock: this.#clock,
			tables: this.#tables,
			admission: new Admission(),
			submission: new JobSubmission({
				tables: this.#tables,
				objects: this.#objects,
				clock: this.#clock,
				router: this.#router,
				catalog: () => this.#catalog,
			}),
			jobs,
			answers: new AnswerReader(this.#objects),
			owners,
			metrics: this.#metrics,
			isDraining: () => this.#isDraining,
			waitLimitMs: () => this.#isDraining ? MAX_WAIT_DURING_DRAIN_MS : MAX_JOB_WAIT_MS,
		});
		const records = new RecordRoutes(new ConfigStore({store: this.#tables, clock: this.#clock, checkGuarantees}), () => {
			void this.#pollConfiguration();
		});
		const system = new SystemRoutes({
			self: () => this.#describeMember(),
			membership: this.#membership,
			local,
			peers: this.#peers,
			ownerOf: domain => this.#ownerHost?.ownerOf(domain),
			notReadyReason: () => this.#notReadyReason(),
		});
		return new HttpServer({
			authenticator: new Authenticator(accountTokens, operatorTokens, sharedSecret),
			logger: this.#logger,
			routes: [...system.routes, ...records.routes, ...jobRoutes.routes],
		});
	}

	async #pollConfiguration(): Promise<void> {
		const polled = await this.#configWatcher.poll();
		if (!polled.ok) {
			this.#logger.warn('configuration not read', {error: polled.error});
		}
	}

	#applyConfiguration(snapshot: ConfigSnapshot): void {
		this.#catalog = new RecordCatalog(snapshot);
		this.#logger.info('configuration in force', {revision: snapshot.revision});
		this.#ownerHost?.configure([...snapshot.records.FailureDomain].map(([failureDomain, {region}]) => ({
			failureDomain,
			region,
			scheduler: schedulerConfigOf(snapshot, failureDomain),
			revision: snapshot.revision,
		})));
	}

	async #refreshMembers(): Promise<void> {
		await this.#membership.refresh();
		this.#peers.retain(this.#membership.others);
	}

	/**
	 * Asks a previous owner to step down; true when it has done so or has ended. A refused connection proves that its
	 * process has ended, because the kernel still accepts connections for a paused process.
	 */
	async #confirmPreviousOwnerGone(ownerId: string, address: Address, failureDomain: string, epoch: number): Promise<boolean> {
		if (await isConnectionRefused(address, STEP_DOWN_TIMEOUT_MS)) {
			return true;
		}

		const status = await this.#peers.call(address, STEP_DOWN_TIMEOUT_MS, async (client, signal) => client.status.query(undefined, {signal}));
		if (!status) {
			return false;
		}

		if (status.processId !== ownerId) {
			return true;
		}

		const hasSteppedDown = await this.#peers.call(address, STEP_DOWN_TIMEOUT_MS, async (client, signal) => client.stepDown.mutate({failureDomain, epoch}, {signal}));
		return hasSteppedDown ?? false;
	}

	#recordMetric(metric: OwnerMetric): void {
		if (metric.valueMs !== undefined) {
			this.#metrics.histogram(metric.name, metric.valueMs, metric.tags);
		}

		if (metric.count !== undefined) {
			this.#metrics.count(metric.name, metric.count, metric.tags);
		}
	}
}
