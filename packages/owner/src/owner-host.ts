import {setTimeout as delay} from 'node:timers/promises';
import PQueue from 'p-queue';
import {
	newId, OWNERSHIP_RENEWAL_INTERVAL_MS, type Clock, type ControlMessage, type Heartbeat, type Logger, type MessageCodec,
} from '@amaranthsail/core';
import type {Row, TableStore, Transaction} from '@amaranthsail/backing-services';
import type {Scheduler, SchedulerConfig} from '@amaranthsail/scheduler';
import {createDurableWriter, type DurableWriter} from './durable-writer.js';
import {withoutDuplicates} from './owner-core.js';
import {OwnerDriver} from './owner-driver.js';
import {OWNER_TABLES} from './owner-tables.js';
import type {OwnerMetric} from './owner-events.js';
import type {OwnershipEffect, OwnershipEvent} from './ownership-events.js';
import {OwnershipManager} from './ownership-manager.js';
import type {Address, LoadSummary, OwnerAddress, OwnershipRow} from './ownership-rows.js';

/** How often due renewals, scans and claims are looked for. */
const MANAGER_TICK_MS = 50;

/** Delay between two attempts to confirm that a previous owner is gone. */
const CONFIRM_RETRY_MS = 2000;

/** Largest number of failure domains that a scan reads. */
const MAX_DOMAINS = 1000;

/** Longest wait for the releasing writes of a shutdown. */
const RELEASE_TIMEOUT_MS = 2000;

/** What the host needs of the configuration for one failure domain. */
export type DomainConfig = {
	readonly failureDomain: string;
	readonly region: string;
	readonly scheduler: SchedulerConfig;
	readonly revision: number;
};

/** What an owner host is made of. */
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
	readonly createScheduler: (config: SchedulerConfig, nowMs: number) => Scheduler;
	/** Asks a previous owner to step down; true when it confirms, or is proven to run no more. */
	readonly confirmGone?: (ownerId: string, address: Address, failureDomain: string, epoch: number) => Promise<boolean>;
	/** Commits transactions; by default one attempt on `tables`. */
	readonly write?: DurableWriter;
	readonly onMetric?: (metric: OwnerMetric) => void;
};

type Held = {readonly driver: OwnerDriver; readonly scheduler: Scheduler; readonly epoch: number};

/** Owns failure domains for an entry: claims them, runs an owner for each, and dispatches heartbeats to them. */
export class OwnerHost {
	readonly #options: OwnerHostOptions;
	readonly #manager: OwnershipManager;
	readonly #write: DurableWriter;
	readonly #held = new Map<string, Held>();
	readonly #configs = new Map<string, DomainConfig>();
	readonly #inputs = new PQueue({concurrency: 1});
	readonly #writesUnderWay = new Set<Promise<void>>();
	#loadsDueAtMs = Number.NEGATIVE_INFINITY;
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

	/** Starts to watch and claim the configured failure domains. */
	start(): void {
		this.#timer = setInterval(() => {
			this.#reportLoadsWhenDue();
			this.#enqueue(() => this.#manager.tick(this.#nowMs()));
		}, MANAGER_TICK_MS);
	}

	/** Drains all owners, releases their failure domains by a write and stops. Bounded in time. */
	async stop(): Promise<void> {
		if (this.#isStopped) {
			return;
		}

		this.#handle({kind: 'drain'});
		await Promise.all([...this.#held.values()].map(async ({driver}) => driver.drain()));
		this.#handle({kind: 'release'});
		await this.#inputs.onIdle();
		this.#isStopped = true;
		clearInterval(this.#timer);
		await Promise.race([
			Promise.all(this.#writesUnderWay),
			delay(RELEASE_TIMEOUT_MS, undefined, {ref: false}),
		]);
	}

	/**
	 * Puts a configuration in force.
	 *
	 * @param domains - The configured failure domains, all of them.
	 */
	configure(domains: readonly DomainConfig[]): void {
		this.#configs.clear();
		for (const domain of domains) {
			this.#configs.set(domain.failureDomain, domain);
			this.#held.get(domain.failureDomain)?.driver.configure(domain.scheduler, domain.revision);
		}

		this.#handle({kind: 'configure', domains: domains.map(({failureDomain, region}) => ({failureDomain, region}))});
	}

	/**
	 * Finds the owner that runs in this process.
	 *
	 * @param failureDomain - The failure domain.
	 * @returns Its driver, or undefined when another process owns it.
	 */
	driverOf(failureDomain: string): OwnerDriver | undefined {
		return this.#held.get(failureDomain)?.driver;
	}

	/**
	 * Lists the owners that run in this process.
	 *
	 * @returns Their drivers.
	 */
	drivers(): readonly OwnerDriver[] {
		return [...this.#held.values()].map(({driver}) => driver);
	}

	/**
	 * Gives a failure domain up, so that another entry can claim it at once.
	 *
	 * @param failureDomain - The failure domain; nothing happens when another process owns it.
	 */
	async release(failureDomain: string): Promise<void> {
		await this.#held.get(failureDomain)?.driver.drain();
		this.#handle({kind: 'release', failureDomain});
		await this.#inputs.onIdle();
	}

	/**
	 * Finds the owner of a failure domain anywhere.
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
	 * Gives up a failure domain that another process has claimed.
	 *
	 * @param failureDomain - The failure domain.
	 * @param epoch - The claimer's epoch.
	 * @returns True when this process sends nothing more under an older epoch.
	 */
	async stepDown(failureDomain: string, epoch: number): Promise<boolean> {
		this.#handle({kind: 'stepDown', failureDomain, epoch});
		await this.#inputs.onIdle();
		return (this.#manager.heldEpoch(failureDomain) ?? 0) < epoch;
	}

	/**
	 * Takes a datagram. Datagrams that do not decode, and heartbeats of failure domains owned elsewhere, are dropped.
	 *
	 * @param datagram - The bytes received.
	 * @param remote - The sender's address.
	 */
	handleDatagram(datagram: Uint8Array, remote: Address): void {
		const decoded = this.#options.codec.decode(datagram);
		if (!decoded.ok) {
			this.#measure({name: 'owner.datagram_dropped', count: 1, tags: {because: decoded.error.kind}});
			return;
		}

		const message = decoded.value;
		if (message.type !== 'heartbeat') {
			return;
		}

		this.#held.get(message.failureDomain)?.driver.handleDatagram(message, remote);
	}

	#nowMs(): number {
		return this.#options.clock.monotonicMs();
	}

	#measure(metric: OwnerMetric): void {
		this.#options.onMetric?.(metric);
	}

	#handle(event: OwnershipEvent): void {
		this.#enqueue(() => this.#manager.handle(event, this.#nowMs()));
	}

	#enqueue(step: () => readonly OwnershipEffect[]): void {
		if (this.#isStopped) {
			return;
		}

		void this.#inputs.add(() => {
			for (const effect of step()) {
				this.#carryOut(effect);
			}
		});
	}

	#reportLoadsWhenDue(): void {
		const nowMs = this.#nowMs();
		if (nowMs < this.#loadsDueAtMs) {
			return;
		}

		this.#loadsDueAtMs = nowMs + OWNERSHIP_RENEWAL_INTERVAL_MS;
		for (const [failureDomain, {scheduler}] of this.#held) {
			this.#handle({
				kind: 'load', failureDomain, load: scheduler.load(), revision: this.#configs.get(failureDomain)?.revision ?? 0,
			});
		}
	}

	#carryOut(effect: OwnershipEffect): void {
		switch (effect.kind) {
			case 'scan': {
				void this.#scan();
				return;
			}

			case 'write': {
				this.#commit(effect.failureDomain, effect.transaction);
				return;
			}

			case 'claimed': {
				this.#claimed(effect);
				return;
			}

			case 'validity': {
				const held = this.#held.get(effect.failureDomain);
				if (held?.epoch !== effect.epoch) {
					return;
				}

				if (effect.validity.kind === 'lost') {
					this.#held.delete(effect.failureDomain);
					this.#options.logger.info('a failure domain is no longer owned', {failureDomain: effect.failureDomain, epoch: effect.epoch});
					void held.driver.stop();
					return;
				}

				held.driver.setValidity(effect.validity);
			}
		}
	}

	async #scan(): Promise<void> {
		const sentAtMs = this.#nowMs();
		const {tables} = this.#options;
		const [ownership, renewals] = await Promise.all([
			tables.scan(OWNER_TABLES.ownership, {limit: MAX_DOMAINS}),
			tables.scan(OWNER_TABLES.renewals, {limit: MAX_DOMAINS}),
		]);
		this.#handle(ownership.ok && renewals.ok
			? {
				kind: 'scanned', sentAtMs, ownership: ownership.value, renewals: renewals.value,
			}
			: {kind: 'scanFailed'});
	}

	#commit(failureDomain: string, transaction: Transaction): void {
		const underWay = (async () => {
			const result = await this.#write(transaction);
			this.#handle({
				kind: 'writeResult', failureDomain, writeId: transaction.writeId, result,
			});
		})();
		this.#writesUnderWay.add(underWay);
		void underWay.finally(() => {
			this.#writesUnderWay.delete(underWay);
		});
	}

	#claimed(effect: Extract<OwnershipEffect, {readonly kind: 'claimed'}>): void {
		const {failureDomain, epoch, ownershipVersion, claimedAtMs, previous} = effect;
		const config = this.#configs.get(failureDomain);
		if (config === undefined) {
			this.#handle({kind: 'release', failureDomain});
			return;
		}

		const {clock, logger, tables, processId, createScheduler} = this.#options;
		const scheduler = createScheduler(withoutDuplicates(config.scheduler), clock.monotonicMs());
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
				this.#measure(metric);
			},
			onOwnershipLost: () => {
				this.#handle({kind: 'ownershipLost', failureDomain, epoch});
			},
		});
		this.#held.set(failureDomain, {driver, scheduler, epoch});
		logger.info('a failure domain is owned', {failureDomain, epoch});
		driver.start();
		if (previous === undefined) {
			driver.previousOwnerGone();
			return;
		}

		void this.#confirmGone(failureDomain, driver, previous);
	}

	/** Asks the previous owner to step down until it is certain that it sends nothing more, or the failure domain is held no longer. */
	async #confirmGone(failureDomain: string, driver: OwnerDriver, previous: OwnershipRow): Promise<void> {
		const {logger} = this.#options;
		while (this.#held.get(failureDomain)?.driver === driver) {
			try {
				if (await this.#options.confirmGone?.(previous.ownerId, previous.control, failureDomain, driver.epoch)) {
					driver.previousOwnerGone();
					return;
				}
			} catch (error) {
				logger.debug('the previous owner did not answer', {failureDomain, error: String(error)});
			}

			await delay(CONFIRM_RETRY_MS, undefined, {ref: false});
		}
	}

	#send(message: ControlMessage, host: string, port: number): void {
		this.#options.send(this.#options.codec.encode(message), host, port);
	}
}
