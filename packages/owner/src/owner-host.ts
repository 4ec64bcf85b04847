import {setTimeout as delay} from 'node:timers/promises';
import PQueue from 'p-queue';
import {
	newId, OWNERSHIP_RENEWAL_INTERVAL_MS, type Clock, type ControlMessage, type Heartbeat, type Logger, type MessageCodec,
} from '@amaranthsail/core';
import type {Row, TableStore, Transaction} from '@amaranthsail/backing-services';
import type {Scheduler, SchedulerConfig} from '@amaranthsail/scheduler';
import {createDurableWriter, type DurableWriter} from './durable-writer.js';
import {withoutDuplicateAttempts} from './owner-core.js';
import {OwnerDriver} from './owner-driver.js';
import {OWNER_TABLES} from './owner-tables.js';
import type {OwnerMetric} from './owner-events.js';
import type {OwnershipEffect, OwnershipEvent} from './ownership-events.js';
import {OwnershipManager} from './ownership-manager.js';
import type {Address, LoadSummary, OwnerAddress, OwnershipRow} from './ownership-rows.js';

/** Interval at which due renewals, scans and claims are started. */
const MANAGER_TICK_INTERVAL_MS = 50;

/** Delay between two requests to the previous owner to step down. */
const CONFIRM_RETRY_DELAY_MS = 2000;

/** Failure domains that one scan reads. */
const MAX_SCANNED_DOMAINS = 1000;

/** Longest wait for the release writes of a shutdown. */
const RELEASE_TIMEOUT_MS = 2000;

/** Configuration of one failure domain, as the host uses it. */
export type DomainConfig = {
	readonly failureDomain: string;
	readonly region: string;
	readonly scheduler: SchedulerConfig;
	readonly revision: number;
};

/** Options of an owner host. */
export type OwnerHostOptions = {
	/** Unique for each start of the process. */
	readonly processId: string;
	readonly region: string;
	/** Failure domain of the process. */
	readonly failureDomain: string;
	readonly controlAddress: Address;
	readonly datagramAddress: Address;
	readonly tables: TableStore;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly codec: MessageCodec;
	/** Sends one datagram; losses are allowed. */
	readonly send: (datagram: Uint8Array, host: string, port: number) => void;
	readonly createScheduler: (config: SchedulerConfig) => Scheduler;
	/** Requests a previous owner to step down; resolves to true when it confirms or is proven to have ended. */
	readonly confirmPreviousOwnerGone?: (ownerId: string, address: Address, failureDomain: string, epoch: number) => Promise<boolean>;
	/** Commits transactions; the default sends each to `tables` once per call. */
	readonly write?: DurableWriter;
	readonly onMetric?: (metric: OwnerMetric) => void;
};

type OwnedDomain = {readonly driver: OwnerDriver; readonly scheduler: Scheduler; readonly epoch: number};

/** Owns failure domains for an entry: claims them, runs an owner for each, and dispatches heartbeats to them. */
export class OwnerHost {
	readonly #options: OwnerHostOptions;
	readonly #manager: OwnershipManager;
	readonly #write: DurableWriter;
	readonly #ownedDomains = new Map<string, OwnedDomain>();
	readonly #configs = new Map<string, DomainConfig>();
	readonly #stepQueue = new PQueue({concurrency: 1});
	readonly #pendingWrites = new Set<Promise<void>>();
	#nextLoadReportAtMs = Number.NEGATIVE_INFINITY;
	#timer: NodeJS.Timeout | undefined;
	#isStopped = false;

	/**
	 * @param options - Identity, addresses and collaborators.
	 */
	constructor(options: OwnerHostOptions) {
		this.#options = options;
		const {processId, region, failureDomain, datagramAddress, controlAddress} = options;
		this.#manager = new OwnershipManager({
			processId, region, failureDomain, datagramAddress, controlAddress, newId,
		});
		this.#write = options.write ?? createDurableWriter(options.tables, options.logger);
	}

	/** Starts to observe and claim the configured failure domains. */
	start(): void {
		this.#timer = setInterval(() => {
			this.#reportLoadsIfDue();
			this.#enqueue(() => this.#manager.tick(this.#nowMs()));
		}, MANAGER_TICK_INTERVAL_MS);
	}

	/** Drains all owners, writes the release of their failure domains and stops. Bounded in time. */
	async stop(): Promise<void> {
		if (this.#isStopped) {
			return;
		}

		this.#enqueueEvent({kind: 'drain'});
		await Promise.all([...this.#ownedDomains.values()].map(async ({driver}) => driver.drain()));
		this.#enqueueEvent({kind: 'release'});
		await this.#stepQueue.onIdle();
		this.#isStopped = true;
		clearInterval(this.#timer);
		await Promise.race([
			Promise.all(this.#pendingWrites),
			delay(RELEASE_TIMEOUT_MS, undefined, {ref: false}),
		]);
	}

	/**
	 * Applies a configuration.
	 *
	 * @param domains - All configured failure domains.
	 */
	configure(domains: readonly DomainConfig[]): void {
		this.#configs.clear();
		for (const domain of domains) {
			this.#configs.set(domain.failureDomain, domain);
			this.#ownedDomains.get(domain.failureDomain)?.driver.configure(domain.scheduler, domain.revision);
		}

		this.#enqueueEvent({kind: 'configure', domains: domains.map(({failureDomain, region}) => ({failureDomain, region}))});
	}

	/**
	 * Finds the owner of a failure domain that runs in this process.
	 *
	 * @param failureDomain - The failure domain.
	 * @returns Its driver, or undefined when this process does not own the failure domain.
	 */
	driverOf(failureDomain: string): OwnerDriver | undefined {
		return this.#ownedDomains.get(failureDomain)?.driver;
	}

	/**
	 * Lists the owners that run in this process.
	 *
	 * @returns Their drivers.
	 */
	drivers(): readonly OwnerDriver[] {
		return [...this.#ownedDomains.values()].map(({driver}) => driver);
	}

	/**
	 * Drains and releases a failure domain, so that another entry can claim it at once.
	 *
	 * @param failureDomain - The failure domain; ignored when this process does not own it.
	 */
	async release(failureDomain: string): Promise<void> {
		await this.#ownedDomains.get(failureDomain)?.driver.drain();
		this.#enqueueEvent({kind: 'release', failureDomain});
		await this.#stepQueue.onIdle();
	}

	/**
	 * Finds the owner of a failure domain in any process.
	 *
	 * @param failureDomain - The failure domain.
	 * @returns The owner as last read, or undefined when there is none.
	 */
	ownerOf(failureDomain: string): OwnerAddress | undefined {
		return this.#manager.ownerOf(failureDomain);
	}

	/**
	 * Lists the load of all failure domains for routing.
	 *
	 * @returns Load by failure domain.
	 */
	loads(): ReadonlyMap<string, LoadSummary> {
		return this.#manager.loads();
	}

	/**
	 * Drops the ownership of a failure domain that another process has claimed under a higher epoch.
	 *
	 * @param failureDomain - The failure domain.
	 * @param epoch - The epoch of the claim.
	 * @returns True when this process no longer sends anything under an older epoch.
	 */
	async stepDown(failureDomain: string, epoch: number): Promise<boolean> {
		this.#enqueueEvent({kind: 'stepDown', failureDomain, epoch});
		await this.#stepQueue.onIdle();
		return (this.#manager.heldEpoch(failureDomain) ?? 0) < epoch;
	}

	/**
	 * Handles a datagram. Datagrams that cannot be decoded and heartbeats of failure domains not owned here are dropped.
	 *
	 * @param datagram - The bytes received.
	 * @param remote - The sender's address.
	 */
	handleDatagram(datagram: Uint8Array, remote: Address): void {
		const decoded = this.#options.codec.decode(datagram);
		if (!decoded.ok) {
			this.#recordMetric({name: 'owner.datagram_dropped', count: 1, tags: {because: decoded.error.kind}});
			return;
		}

		const message = decoded.value;
		if (message.type !== 'heartbeat') {
			return;
		}

		this.#ownedDomains.get(message.failureDomain)?.driver.handleDatagram(message, remote);
	}

	#nowMs(): number {
		return this.#options.clock.monotonicMs();
	}

	#recordMetric(metric: OwnerMetric): void {
		this.#options.onMetric?.(metric);
	}

	#enqueueEvent(event: OwnershipEvent): void {
		this.#enqueue(() => this.#manager.handle(event, this.#nowMs()));
	}

	#enqueue(step: () => readonly OwnershipEffect[]): void {
		if (this.#isStopped) {
			return;
		}

		void this.#stepQueue.add(() => {
			for (const effect of step()) {
				this.#applyEffect(effect);
			}
		});
	}

	#reportLoadsIfDue(): void {
		const nowMs = this.#nowMs();
		if (nowMs < this.#nextLoadReportAtMs) {
			return;
		}

		this.#nextLoadReportAtMs = nowMs + OWNERSHIP_RENEWAL_INTERVAL_MS;
		for (const [failureDomain, {scheduler}] of this.#ownedDomains) {
			this.#enqueueEvent({
				kind: 'load', failureDomain, load: scheduler.load(), revision: this.#configs.get(failureDomain)?.revision ?? 0,
			});
		}
	}

	#applyEffect(effect: OwnershipEffect): void {
		switch (effect.kind) {
			case 'scan': {
				void this.#scan();
				return;
			}

			case 'write': {
				this.#commitTransaction(effect.failureDomain, effect.transaction);
				return;
			}

			case 'claimed': {
				this.#startOwner(effect);
				return;
			}

			case 'validity': {
				const ownedDomain = this.#ownedDomains.get(effect.failureDomain);
				if (ownedDomain?.epoch !== effect.epoch) {
					return;
				}

				if (effect.validity.kind === 'lost') {
					this.#ownedDomains.delete(effect.failureDomain);
					this.#options.logger.info('a failure domain is no longer owned', {failureDomain: effect.failureDomain, epoch: effect.epoch});
					void ownedDomain.driver.stop();
					return;
				}

				ownedDomain.driver.setValidity(effect.validity);
			}
		}
	}

	async #scan(): Promise<void> {
		const sentAtMs = this.#nowMs();
		const {tables} = this.#options;
		const [ownership, renewals] = await Promise.all([
			tables.scan(OWNER_TABLES.ownership, {limit: MAX_SCANNED_DOMAINS}),
			tables.scan(OWNER_TABLES.renewals, {limit: MAX_SCANNED_DOMAINS}),
		]);
		this.#enqueueEvent(ownership.ok && renewals.ok
			? {
				kind: 'scanned', sentAtMs, ownership: ownership.value, renewals: renewals.value,
			}
			: {kind: 'scanFailed'});
	}

	#commitTransaction(failureDomain: string, transaction: Transaction): void {
		const pendingWrite = (async () => {
			const result = await this.#write(transaction);
			this.#enqueueEvent({
				kind: 'writeResult', failureDomain, writeId: transaction.writeId, result,
			});
		})();
		this.#pendingWrites.add(pendingWrite);
		void pendingWrite.finally(() => {
			this.#pendingWrites.delete(pendingWrite);
		});
	}

	#startOwner(effect: Extract<OwnershipEffect, {readonly kind: 'claimed'}>): void {
		const {failureDomain, epoch, ownershipVersion, claimedAtMs, previous} = effect;
		const config = this.#configs.get(failureDomain);
		if (config === undefined) {
			this.#enqueueEvent({kind: 'release', failureDomain});
			return;
		}

		const {clock, logger, tables, processId, createScheduler} = this.#options;
		const scheduler = createScheduler(withoutDuplicateAttempts(config.scheduler));
		const driver = new OwnerDriver({
			core: {
				failureDomain, ownerId: processId, epoch, ownershipVersion, claimedAtMs, scheduler, revision: config.revision, newId,
			},
			tables,
			write: this.#write,
			clock,
			logger,
			send: (message, host, port) => {
				this.#send(message, host, port);
			},
			onMetric: metric => {
				this.#recordMetric(metric);
			},
			onOwnershipLost: () => {
				this.#enqueueEvent({kind: 'ownershipLost', failureDomain, epoch});
			},
		});
		this.#ownedDomains.set(failureDomain, {driver, scheduler, epoch});
		logger.info('a failure domain is owned', {failureDomain, epoch});
		driver.start();
		if (previous === undefined) {
			driver.notifyPreviousOwnerGone();
			return;
		}

		void this.#confirmPreviousOwnerGone(failureDomain, driver, previous);
	}

	/** Requests the previous owner to step down until it is certain that it sends nothing more, or until this process loses the failure domain. */
	async #confirmPreviousOwnerGone(failureDomain: string, driver: OwnerDriver, previous: OwnershipRow): Promise<void> {
		const {logger} = this.#options;
		while (this.#ownedDomains.get(failureDomain)?.driver === driver) {
			try {
				if (await this.#options.confirmPreviousOwnerGone?.(previous.ownerId, previous.control, failureDomain, driver.epoch)) {
					driver.notifyPreviousOwnerGone();
					return;
				}
			} catch (error) {
				logger.debug('step-down request to the previous owner failed', {failureDomain, error: String(error)});
			}

			await delay(CONFIRM_RETRY_DELAY_MS, undefined, {ref: false});
		}
	}

	#send(message: ControlMessage, host: string, port: number): void {
		this.#options.send(this.#options.codec.encode(message), host, port);
	}
}
