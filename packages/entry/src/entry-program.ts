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
import {ALARM_INTERVAL_MS, AlarmWatch} from './alarm-watch.js';
import {AnswerReader} from './answer-reader.js';
import {isConnectionRefused} from './connection-probe.js';
import {HttpServer} from './http-server.js';
import {Authenticator} from './identity.js';
import {JobIntake} from './job-intake.js';
import {MAX_WAIT_MS} from './job-request.js';
import {JobRoutes} from './job-routes.js';
import {JobStore} from './job-store.js';
import {LocalPeerService} from './local-peer-service.js';
import {MEMBER_INTERVAL_MS, Members, type Member} from './members.js';
import {StatsdMetrics, type Metrics} from './metrics.js';
import {OwnerGateway} from './owner-gateway.js';
import {PeerClients} from './peer-client.js';
import {servePeers} from './peer-server.js';
import {RecordCatalog} from './record-catalog.js';
import {RecordRoutes} from './record-routes.js';
import {Repeater} from './repeater.js';
import {REROUTE_INTERVAL_MS, Rerouter} from './rerouter.js';
import {Router} from './router.js';
import type {EntrySettings} from './settings.js';
import {SystemRoutes} from './system-routes.js';

/** Longest wait of a caller once a drain has begun. */
const DRAIN_WAIT_MS = 1000;

/** Longest wait for a previous owner to step down. */
const STEP_DOWN_TIMEOUT_MS = 1000;

/** The entry process: wires the parts together and runs their life. */
export class EntryProgram {
	readonly #settings: EntrySettings;
	readonly #logger: Logger;
	readonly #processId = newId();
	readonly #clock = new SystemClock();
	readonly #tables: HttpTableStore;
	readonly #objects: HttpObjectStore;
	readonly #metrics: Metrics;
	readonly #peers: PeerClients;
	readonly #members: Members;
	readonly #watcher: ConfigWatcher;
	readonly #socket: Socket;
	readonly #repeaters: readonly Repeater[];
	readonly #router: Router;
	readonly #alarmWatch: AlarmWatch;
	#catalog: RecordCatalog | undefined;
	#host: OwnerHost | undefined;
	#server: HttpServer | undefined;
	#closePeers: (() => void) | undefined;
	#address: Address;
	#isDraining = false;

	/**
	 * @param settings - The checked settings.
	 * @param logger - Takes the log lines.
	 * @param shutDown - Starts the graceful shutdown of the process.
	 */
	constructor(settings: EntrySettings, logger: Logger, readonly shutDown: () => void) {
		this.#settings = settings;
		this.#logger = logger;
		this.#address = settings.listenAddress;
		const service = {address: settings.storeAddress, timeoutMs: settings.storeTimeoutMs};
		this.#tables = new HttpTableStore(service);
		this.#objects = new HttpObjectStore(service);
		this.#metrics = new StatsdMetrics(settings.statsdAddress, logger);
		this.#peers = new PeerClients(settings.sharedSecret);
		this.#members = new Members({tables: this.#tables, clock: this.#clock, logger, describe: () => this.#describe()});
		this.#watcher = new ConfigWatcher({store: this.#tables, processId: this.#processId, memberRow: () => ({...this.#describe()})});
		this.#socket = createSocket('udp4');
		this.#router = new Router(() => [...this.#host?.loads() ?? []].map(([domain, load]) => ({failureDomain: domain, ...load})));
		this.#alarmWatch = new AlarmWatch(this.#clock, logger, this.#metrics);
		const rerouter = new Rerouter(this.#router, this.#clock);
		this.#repeaters = [
			new Repeater(CONFIG_POLL_INTERVAL_MS, async () => this.#poll(), logger),
			new Repeater(MEMBER_INTERVAL_MS, async () => this.#refreshMembers(), logger),
			new Repeater(REROUTE_INTERVAL_MS, async () => {
				rerouter.run(this.#host?.drivers() ?? [], this.#catalog);
			}, logger),
			new Repeater(ALARM_INTERVAL_MS, async () => {
				this.#alarmWatch.update((this.#host?.drivers() ?? []).flatMap(driver => driver.alarms()));
			}, logger),
		];
	}

	/**
	 * Binds the addresses and starts to serve. The process is ready once its configuration is confirmed.
	 *
	 * @returns The bound HTTP address.
	 * @throws The error of a socket, for example when an address is in use.
	 */
	async start(): Promise<Address> {
		const datagramAddress = await this.#bindDatagrams();
		const local = new LocalPeerService({
			processId: this.#processId,
			host: () => this.#host,
			revision: () => this.#revision,
			alarms: () => this.#alarmWatch.alarms,
			shutDown: this.shutDown,
		});
		this.#server = this.#createServer(local);
		this.#address = await this.#server.listen(this.#settings.listenAddress);
		this.#closePeers = servePeers(this.#server.server, local, this.#settings.sharedSecret);
		this.#host = this.#createHost(datagramAddress);
		this.#watcher.onChange(snapshot => {
			this.#putInForce(snapshot);
		});
		this.#host.start();
		for (const repeater of this.#repeaters) {
			repeater.start();
		}

		return this.#address;
	}

	/**
	 * Shuts down gracefully: not ready, no new requests, open waits answered, ownership given up, connections closed.
	 */
	async drain(): Promise<void> {
		this.#isDraining = true;
		this.#logger.info('draining', {openRequests: this.#server?.openRequests});
		await this.#host?.stop();
		// The HTTP server does not close while other entries hold WebSockets to it, and it cannot cut them itself.
		this.#closePeers?.();
		await this.#server?.close(this.#settings.drainTimeoutMs);
		await Promise.all(this.#repeaters.map(async repeater => repeater.stop()));
		this.#peers.close();
		await this.#members.leave();
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

	#describe(): Member {
		const {region, failureDomain} = this.#settings;
		return {
			processId: this.#processId,
			host: this.#address.host,
			port: this.#address.port,
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
			this.#logger.warn('datagram socket', {error: String(error)});
		});
		this.#socket.on('message', (datagram, remote) => {
			this.#host?.handleDatagram(datagram, {host: remote.address, port: remote.port});
		});
		return {host, port: this.#socket.address().port};
	}

	#createHost(datagramAddress: Address): OwnerHost {
		const {region, failureDomain, sharedSecret} = this.#settings;
		return new OwnerHost({
			processId: this.#processId,
			region,
			failureDomain,
			controlAddress: this.#address,
			datagramAddress,
			tables: this.#tables,
			clock: this.#clock,
			logger: this.#logger,
			codec: new MessageCodec(sharedSecret),
			send: (datagram, host, port) => {
				this.#socket.send(datagram, port, host, () => undefined);
			},
			createScheduler,
			confirmGone: async (ownerId, address, domain, epoch) => this.#confirmGone(ownerId, address, domain, epoch),
			onMetric: metric => {
				this.#measure(metric);
			},
		});
	}

	#createServer(local: LocalPeerService): HttpServer {
		const {accountTokens, operatorTokens, sharedSecret} = this.#settings;
		const jobs = new JobStore(this.#tables);
		const owners = new OwnerGateway({
			processId: this.#processId,
			ownerOf: domain => this.#host?.ownerOf(domain),
			local,
			peers: this.#peers,
			jobs,
		});
		const jobRoutes = new JobRoutes({
			clock: this.#clock,
			tables: this.#tables,
			admission: new Admission(),
			intake: new JobIntake({
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
			waitLimitMs: () => this.#isDraining ? DRAIN_WAIT_MS : MAX_WAIT_MS,
		});
		const records = new RecordRoutes(new ConfigStore({store: this.#tables, clock: this.#clock, checkGuarantees}), () => {
			void this.#poll();
		});
		const system = new SystemRoutes({
			self: () => this.#describe(),
			members: this.#members,
			local,
			peers: this.#peers,
			ownerOf: domain => this.#host?.ownerOf(domain),
			notReadyReason: () => this.#notReadyReason(),
		});
		return new HttpServer({
			authenticator: new Authenticator(accountTokens, operatorTokens, sharedSecret),
			logger: this.#logger,
			routes: [...system.routes, ...records.routes, ...jobRoutes.routes],
		});
	}

	async #poll(): Promise<void> {
		const polled = await this.#watcher.poll();
		if (!polled.ok) {
			this.#logger.warn('configuration not read', {error: polled.error});
		}
	}

	#putInForce(snapshot: ConfigSnapshot): void {
		this.#catalog = new RecordCatalog(snapshot);
		this.#logger.info('configuration in force', {revision: snapshot.revision});
		this.#host?.configure([...snapshot.records.FailureDomain].map(([failureDomain, {region}]) => ({
			failureDomain,
			region,
			scheduler: schedulerConfigOf(snapshot, failureDomain),
			revision: snapshot.revision,
		})));
	}

	async #refreshMembers(): Promise<void> {
		await this.#members.refresh();
		this.#peers.retain(this.#members.others);
	}

	/** Asks a previous owner to step down. A refused connection proves that it has gone: the kernel of a paused process still accepts. */
	async #confirmGone(ownerId: string, address: Address, failureDomain: string, epoch: number): Promise<boolean> {
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

		const done = await this.#peers.call(address, STEP_DOWN_TIMEOUT_MS, async (client, signal) => client.stepDown.mutate({failureDomain, epoch}, {signal}));
		return done ?? false;
	}

	#measure(metric: OwnerMetric): void {
		if (metric.valueMs !== undefined) {
			this.#metrics.histogram(metric.name, metric.valueMs, metric.tags);
		}

		if (metric.count !== undefined) {
			this.#metrics.count(metric.name, metric.count, metric.tags);
		}
	}
}
