import type {JobRow, Address, Heartbeat} from '@amaranthsail/core';
import {
	OWNER_TABLES,
	OwnerCore,
	OwnershipManager,
	writeResultOf,
	type OwnerEffect,
	type OwnerEvent,
	type OwnershipEffect,
	type OwnershipEvent,
	type OwnershipRow,
	type WriteResult,
} from '@amaranthsail/owner';
import type {MemoryTableStore, Transaction} from '@amaranthsail/backing-services';
import {createScheduler, type SchedulerConfig} from '@amaranthsail/scheduler';
import {SimNode} from './sim-node.js';
import type {SimNetwork} from './sim-network.js';
import type {VirtualTime} from './virtual-time.js';

/** Settings and shared parts of a simulated entry. */
export type SimEntryOptions = {
	readonly time: VirtualTime;
	readonly network: SimNetwork;
	readonly tables: MemoryTableStore;
	readonly host: string;
	readonly region: string;
	readonly failureDomain: string;
	readonly managedDomain: {readonly failureDomain: string; readonly region: string};
	readonly scheduler: SchedulerConfig;
	readonly newId: () => string;
	/** Requests another process to step down; true when it confirms, or when it is proven to have ended. */
	readonly confirmPreviousOwnerGone: (ownerId: string, address: Address, epoch: number, fromHost: string) => Promise<boolean>;
};

/** Latency of a call to the store. */
const STORE_CALL_LATENCY_MS = 2;

const TICK_INTERVAL_MS = 50;

/** Delay before a failed read or a step-down request is repeated. */
const RETRY_DELAY_MS = 500;

/** Interval between scans of the index of open jobs. */
const SCAN_INTERVAL_MS = 2000;

/** Time from the start of a drain to the end of the process. */
const DRAIN_DURATION_MS = 1000;

const MAX_SCAN_ROWS = 1000;

/** An entry process: the ownership manager, and an owner core while it owns the failure domain. */
export class SimEntry {
	readonly processId: string;
	readonly node: SimNode;
	isStoreUnreachable = false;
	readonly #options: SimEntryOptions;
	readonly #ownershipManager: OwnershipManager;
	#core: OwnerCore | undefined;
	#epoch = 0;
	/** Jobs whose row has been read, as `epoch/jobId`. */
	readonly #readJobs = new Set<string>();

	/**
	 * @param options - Settings and shared parts.
	 */
	constructor(options: SimEntryOptions) {
		this.#options = options;
		const {time, host, region, failureDomain, managedDomain, newId, network} = options;
		this.processId = newId();
		this.node = new SimNode(time);
		const address = {host, port: 1};
		this.#ownershipManager = new OwnershipManager({
			processId: this.processId, region, failureDomain, datagramAddress: address, controlAddress: address, newId,
		});
		this.#handleOwnershipEvent({kind: 'configure', domains: [managedDomain]});
		network.setReceiver(host, (message, from) => {
			this.node.deliver(() => {
				this.#handleOwnerEvent({kind: 'heartbeat', message: message as Heartbeat, host: from.host});
			});
		});
		this.node.repeat(() => TICK_INTERVAL_MS, () => {
			this.#performOwnershipEffects(this.#ownershipManager.tick(time.nowMs));
			this.#performOwnerEffects(this.#core?.tick(time.nowMs) ?? []);
		});
	}

	/** The owner of the failure domain according to this entry. */
	knownOwner(): {readonly ownerId: string; readonly epoch: number; readonly host: string; readonly port: number} | undefined {
		return this.#ownershipManager.ownerOf(this.#options.managedDomain.failureDomain);
	}

	/**
	 * Steps down as owner of the failure domain in favour of a higher epoch.
	 *
	 * @returns Whether this entry does not own the failure domain under this or a higher epoch.
	 */
	stepDown(epoch: number): boolean {
		const {failureDomain} = this.#options.managedDomain;
		this.#handleOwnershipEvent({kind: 'stepDown', failureDomain, epoch});
		return (this.#ownershipManager.heldEpoch(failureDomain) ?? 0) < epoch;
	}

	/** Notifies the owner of a new job; nothing happens when this entry is not the owner. */
	notify(jobId: string): void {
		void this.#readJobRow(jobId, this.#core);
	}

	/** Requests the cancellation of jobs; nothing happens when this entry is not the owner. */
	cancel(jobIds: readonly string[]): void {
		const core = this.#core;
		void Promise.all(jobIds.map(async jobId => this.#readJobRow(jobId, core)));
		this.#runLater(core, 2 * STORE_CALL_LATENCY_MS, () => {
			this.#handleOwnerEvent({kind: 'cancel', jobIds});
		});
	}

	/** Explains why a job waits. */
	explain(jobId: string): unknown {
		return this.#core?.explain(jobId, this.#options.time.nowMs);
	}

	/** Shuts down gracefully: releases ownership, then ends the process. */
	drain(): void {
		this.#handleOwnerEvent({kind: 'drain'});
		this.#handleOwnershipEvent({kind: 'drain'});
		this.#handleOwnershipEvent({kind: 'release'});
		this.#options.time.schedule(DRAIN_DURATION_MS, () => {
			this.node.kill();
		});
	}

	#handleOwnershipEvent(event: OwnershipEvent): void {
		this.#performOwnershipEffects(this.#ownershipManager.handle(event, this.#options.time.nowMs));
	}

	#performOwnershipEffects(effects: readonly OwnershipEffect[]): void {
		for (const effect of effects) {
			this.#performOwnershipEffect(effect);
		}
	}

	#performOwnershipEffect(effect: OwnershipEffect): void {
		const {time} = this.#options;
		switch (effect.kind) {
			case 'scan': {
				void this.#scanOwnership(time.nowMs);
				return;
			}

			case 'write': {
				void this.#writeTransaction(effect.transaction, result => {
					this.#handleOwnershipEvent({kind: 'writeResult', failureDomain: effect.failureDomain, writeId: effect.transaction.writeId, result});
				});
				return;
			}

			case 'claimed': {
				this.#startOwnerCore(effect);
				return;
			}

			case 'validity': {
				if (effect.epoch === this.#epoch) {
					this.#handleOwnerEvent({kind: 'ownership', validity: effect.validity});
					this.#core = effect.validity.kind === 'lost' ? undefined : this.#core;
				}
			}
		}
	}

	#startOwnerCore(effect: Extract<OwnershipEffect, {readonly kind: 'claimed'}>): void {
		const {time, newId, scheduler} = this.#options;
		const {failureDomain, epoch, ownershipVersion, claimedAtMs, previous} = effect;
		const core = new OwnerCore({
			failureDomain, ownerId: this.processId, epoch, ownershipVersion, claimedAtMs, wallOffsetMs: 0,
			scheduler: createScheduler(scheduler), revision: 1, newId,
		});
		this.#core = core;
		this.#epoch = epoch;
		void this.#scanJobs(core, true);
		if (previous) {
			void this.#confirmPreviousOwnerGone(core, previous, epoch);
		} else {
			this.#handleOwnerEvent({kind: 'previousOwnerGone'});
		}
	}

	async #confirmPreviousOwnerGone(core: OwnerCore, previous: OwnershipRow, epoch: number): Promise<void> {
		const isGone = await this.#options.confirmPreviousOwnerGone(previous.ownerId, previous.control, epoch, this.#options.host);
		this.#runLater(core, isGone ? 0 : RETRY_DELAY_MS, () => {
			if (isGone) {
				this.#handleOwnerEvent({kind: 'previousOwnerGone'});
			} else {
				void this.#confirmPreviousOwnerGone(core, previous, epoch);
			}
		});
	}

	#handleOwnerEvent(event: OwnerEvent): void {
		this.#performOwnerEffects(this.#core?.handle(event, this.#options.time.nowMs) ?? []);
	}

	#performOwnerEffects(effects: readonly OwnerEffect[]): void {
		const core = this.#core;
		for (const effect of effects) {
			if (effect.kind === 'send') {
				this.#options.network.send({host: this.#options.host, port: 1}, effect.host, effect.message);
			}

			if (effect.kind === 'write') {
				const {transaction} = effect;
				void this.#writeTransaction(transaction, result => {
					if (this.#core === core) {
						this.#handleOwnerEvent({kind: 'writeResult', writeId: transaction.writeId, result});
					}
				});
			}

			if (effect.kind === 'read') {
				for (const jobId of effect.jobIds) {
					void this.#readJobRow(jobId, core);
				}
			}

			if (effect.kind === 'ownershipLost') {
				this.#handleOwnershipEvent({kind: 'ownershipLost', failureDomain: this.#options.managedDomain.failureDomain, epoch: this.#epoch});
			}
		}
	}

	/** Runs a callback after a delay, provided that the process has not been killed and the core is still the current one. */
	#runLater(core: OwnerCore | undefined, delayMs: number, callback: () => void): void {
		this.#options.time.schedule(delayMs, () => {
			this.node.deliver(() => {
				if (this.#core === core && core) {
					callback();
				}
			});
		});
	}

	async #writeTransaction(transaction: Transaction, onResult: (result: WriteResult) => void): Promise<void> {
		const result = this.isStoreUnreachable
			? {ok: false, error: {kind: 'unavailable', message: 'store unreachable'}} as const
			: await this.#options.tables.transact(transaction);
		this.#options.time.schedule(STORE_CALL_LATENCY_MS, () => {
			this.node.deliver(() => {
				onResult(writeResultOf(result));
			});
		});
	}

	async #scanOwnership(sentAtMs: number): Promise<void> {
		const {tables, time} = this.#options;
		const ownership = await tables.scan(OWNER_TABLES.ownership, {limit: MAX_SCAN_ROWS});
		const renewals = await tables.scan(OWNER_TABLES.renewals, {limit: MAX_SCAN_ROWS});
		time.schedule(STORE_CALL_LATENCY_MS, () => {
			this.node.deliver(() => {
				this.#handleOwnershipEvent(ownership.ok && renewals.ok && !this.isStoreUnreachable
					? {kind: 'scanned', sentAtMs, ownership: ownership.value, renewals: renewals.value}
					: {kind: 'scanFailed'});
			});
		});
	}

	async #scanJobs(core: OwnerCore, isRecovery: boolean): Promise<void> {
		const {tables, managedDomain} = this.#options;
		const prefix = `${managedDomain.failureDomain}/`;
		const page = await tables.scan(OWNER_TABLES.openJobs, {prefix, limit: MAX_SCAN_ROWS});
		if (!page.ok || this.isStoreUnreachable) {
			this.#runLater(core, RETRY_DELAY_MS, () => {
				void this.#scanJobs(core, isRecovery);
			});
			return;
		}

		const unknownJobIds = page.value.map(row => row.key.slice(prefix.length)).filter(jobId => core.rowOf(jobId) === undefined);
		await Promise.all(unknownJobIds.map(async jobId => this.#readJobRow(jobId, core)));
		// Reads are repeated until they succeed; recovery is complete once all of them have.
		this.#runLater(core, STORE_CALL_LATENCY_MS + RETRY_DELAY_MS, () => {
			if (isRecovery && !unknownJobIds.every(jobId => this.#readJobs.has(`${this.#epoch}/${jobId}`))) {
				void this.#scanJobs(core, true);
				return;
			}

			if (isRecovery) {
				this.#handleOwnerEvent({kind: 'recoveryComplete'});
			}

			this.#runLater(core, SCAN_INTERVAL_MS, () => {
				void this.#scanJobs(core, false);
			});
		});
	}

	async #readJobRow(jobId: string, core: OwnerCore | undefined): Promise<void> {
		const row = this.isStoreUnreachable ? undefined : await this.#options.tables.get(OWNER_TABLES.jobs, jobId);
		this.#runLater(core, row?.ok ? STORE_CALL_LATENCY_MS : RETRY_DELAY_MS, () => {
			if (!row?.ok) {
				void this.#readJobRow(jobId, core);
				return;
			}

			this.#readJobs.add(`${this.#epoch}/${jobId}`);
			this.#handleOwnerEvent(row.value
				? {kind: 'jobRow', row: row.value.value as JobRow, version: row.value.version}
				: {kind: 'jobAbsent', jobId});
		});
	}
}
