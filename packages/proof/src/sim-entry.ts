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

/** What the entries of a simulation share. */
export type SimEntryOptions = {
	readonly time: VirtualTime;
	readonly network: SimNetwork;
	readonly tables: MemoryTableStore;
	readonly host: string;
	readonly region: string;
	readonly failureDomain: string;
	readonly domain: {readonly failureDomain: string; readonly region: string};
	readonly scheduler: SchedulerConfig;
	readonly newId: () => string;
	/** Asks another process to step down; true when it confirms or is proven gone. */
	readonly confirmGone: (ownerId: string, address: Address, epoch: number, fromHost: string) => Promise<boolean>;
};

/** Latency of a call to the store. */
const STORE_CALL_MS = 2;

/** How often the process looks for what is due. */
const TICK_MS = 50;

/** Delay before a failed read is repeated, and between two requests to step down. */
const RETRY_MS = 500;

/** How often the index of open jobs is scanned. */
const SCAN_MS = 2000;

/** Time that a drain takes. */
const DRAIN_MS = 1000;

const MAX_ROWS = 1000;

/** An entry process: the ownership manager, and an owner core while it holds the failure domain. */
export class SimEntry {
	readonly processId: string;
	readonly node: SimNode;
	/** Whether the process cannot reach the store. */
	isCutFromStore = false;
	readonly #options: SimEntryOptions;
	readonly #manager: OwnershipManager;
	#core: OwnerCore | undefined;
	#epoch = 0;
	/** Jobs whose row was read, by epoch. */
	readonly #isRead = new Set<string>();

	/**
	 * @param options - What it shares with the rest.
	 */
	constructor(options: SimEntryOptions) {
		this.#options = options;
		const {time, host, region, failureDomain, domain, newId, network} = options;
		this.processId = newId();
		this.node = new SimNode(time);
		const address = {host, port: 1};
		this.#manager = new OwnershipManager({
			processId: this.processId, region, failureDomain, datagramAddress: address, controlAddress: address, newId,
		});
		this.#manage({kind: 'configure', domains: [domain]});
		network.listen(host, (message, from) => {
			this.node.deliver(() => {
				this.#input({kind: 'heartbeat', message: message as Heartbeat, host: from.host});
			});
		});
		this.node.repeat(() => TICK_MS, () => {
			this.#carryOutAll(this.#manager.tick(time.nowMs));
			this.#run(this.#core?.tick(time.nowMs) ?? []);
		});
	}

	/** The owner as this entry knows it. */
	ownerOf(): {readonly ownerId: string; readonly epoch: number; readonly host: string; readonly port: number} | undefined {
		return this.#manager.ownerOf(this.#options.domain.failureDomain);
	}

	/** Gives up the failure domain to a higher epoch. */
	stepDown(epoch: number): boolean {
		const {failureDomain} = this.#options.domain;
		this.#manage({kind: 'stepDown', failureDomain, epoch});
		return (this.#manager.heldEpoch(failureDomain) ?? 0) < epoch;
	}

	/** Tells the owner about a job. */
	notify(jobId: string): void {
		void this.#read(jobId, this.#core);
	}

	/** Asks the owner to cancel jobs; nothing happens when this entry is not the owner. */
	cancel(jobIds: readonly string[]): void {
		const core = this.#core;
		void Promise.all(jobIds.map(async jobId => this.#read(jobId, core)));
		this.#later(core, 2 * STORE_CALL_MS, () => {
			this.#input({kind: 'cancel', jobIds});
		});
	}

	/** Explains why a job waits. */
	explain(jobId: string): unknown {
		return this.#core?.explain(jobId, this.#options.time.nowMs);
	}

	/** Releases ownership and ends the process, as a graceful shutdown does. */
	drain(): void {
		this.#input({kind: 'drain'});
		this.#manage({kind: 'drain'});
		this.#manage({kind: 'release'});
		this.#options.time.after(DRAIN_MS, () => {
			this.node.kill();
		});
	}

	#manage(event: OwnershipEvent): void {
		this.#carryOutAll(this.#manager.handle(event, this.#options.time.nowMs));
	}

	#carryOutAll(effects: readonly OwnershipEffect[]): void {
		for (const effect of effects) {
			this.#carryOut(effect);
		}
	}

	#carryOut(effect: OwnershipEffect): void {
		const {time} = this.#options;
		switch (effect.kind) {
			case 'scan': {
				void this.#scanOwnership(time.nowMs);
				return;
			}

			case 'write': {
				void this.#write(effect.transaction, result => {
					this.#manage({kind: 'writeResult', failureDomain: effect.failureDomain, writeId: effect.transaction.writeId, result});
				});
				return;
			}

			case 'claimed': {
				this.#claimed(effect);
				return;
			}

			case 'validity': {
				if (effect.epoch === this.#epoch) {
					this.#input({kind: 'ownership', validity: effect.validity});
					this.#core = effect.validity.kind === 'lost' ? undefined : this.#core;
				}
			}
		}
	}

	#claimed(effect: Extract<OwnershipEffect, {readonly kind: 'claimed'}>): void {
		const {time, newId, scheduler} = this.#options;
		const {failureDomain, epoch, ownershipVersion, claimedAtMs, previous} = effect;
		const core = new OwnerCore({
			failureDomain, ownerId: this.processId, epoch, ownershipVersion, claimedAtMs, wallOffsetMs: 0,
			scheduler: createScheduler(scheduler, time.nowMs), revision: 1, newId,
		});
		this.#core = core;
		this.#epoch = epoch;
		void this.#scanJobs(core, true);
		if (previous) {
			void this.#confirmGone(core, previous, epoch);
		} else {
			this.#input({kind: 'previousOwnerGone'});
		}
	}

	async #confirmGone(core: OwnerCore, previous: OwnershipRow, epoch: number): Promise<void> {
		const isGone = await this.#options.confirmGone(previous.ownerId, previous.control, epoch, this.#options.host);
		this.#later(core, isGone ? 0 : RETRY_MS, () => {
			if (isGone) {
				this.#input({kind: 'previousOwnerGone'});
			} else {
				void this.#confirmGone(core, previous, epoch);
			}
		});
	}

	#input(event: OwnerEvent): void {
		this.#run(this.#core?.handle(event, this.#options.time.nowMs) ?? []);
	}

	#run(effects: readonly OwnerEffect[]): void {
		const core = this.#core;
		for (const effect of effects) {
			if (effect.kind === 'send') {
				this.#options.network.send({host: this.#options.host, port: 1}, effect.host, effect.message);
			}

			if (effect.kind === 'write') {
				const {transaction} = effect;
				void this.#write(transaction, result => {
					if (this.#core === core) {
						this.#input({kind: 'writeResult', writeId: transaction.writeId, result});
					}
				});
			}

			if (effect.kind === 'read') {
				for (const jobId of effect.jobIds) {
					void this.#read(jobId, core);
				}
			}

			if (effect.kind === 'ownershipLost') {
				this.#manage({kind: 'ownershipLost', failureDomain: this.#options.domain.failureDomain, epoch: this.#epoch});
			}
		}
	}

	/** Runs a callback later, if the process lives and the core is still the current one. */
	#later(core: OwnerCore | undefined, delayMs: number, run: () => void): void {
		this.#options.time.after(delayMs, () => {
			this.node.deliver(() => {
				if (this.#core === core && core) {
					run();
				}
			});
		});
	}

	async #write(transaction: Transaction, answer: (result: WriteResult) => void): Promise<void> {
		const result = this.isCutFromStore
			? {ok: false, error: {kind: 'unavailable', message: 'cut off'}} as const
			: await this.#options.tables.transact(transaction);
		this.#options.time.after(STORE_CALL_MS, () => {
			this.node.deliver(() => {
				answer(writeResultOf(result));
			});
		});
	}

	async #scanOwnership(sentAtMs: number): Promise<void> {
		const {tables, time} = this.#options;
		const ownership = await tables.scan(OWNER_TABLES.ownership, {limit: MAX_ROWS});
		const renewals = await tables.scan(OWNER_TABLES.renewals, {limit: MAX_ROWS});
		time.after(STORE_CALL_MS, () => {
			this.node.deliver(() => {
				this.#manage(ownership.ok && renewals.ok && !this.isCutFromStore
					? {kind: 'scanned', sentAtMs, ownership: ownership.value, renewals: renewals.value}
					: {kind: 'scanFailed'});
			});
		});
	}

	async #scanJobs(core: OwnerCore, isRecovery: boolean): Promise<void> {
		const {tables, domain} = this.#options;
		const prefix = `${domain.failureDomain}/`;
		const page = await tables.scan(OWNER_TABLES.openJobs, {prefix, limit: MAX_ROWS});
		if (!page.ok || this.isCutFromStore) {
			this.#later(core, RETRY_MS, () => {
				void this.#scanJobs(core, isRecovery);
			});
			return;
		}

		const unknown = page.value.map(row => row.key.slice(prefix.length)).filter(jobId => core.rowOf(jobId) === undefined);
		await Promise.all(unknown.map(async jobId => this.#read(jobId, core)));
		// Reads are repeated until they succeed, so the end of recovery follows the last one.
		this.#later(core, STORE_CALL_MS + RETRY_MS, () => {
			if (isRecovery && !unknown.every(jobId => this.#isRead.has(`${this.#epoch}/${jobId}`))) {
				void this.#scanJobs(core, true);
				return;
			}

			if (isRecovery) {
				this.#input({kind: 'recoveryComplete'});
			}

			this.#later(core, SCAN_MS, () => {
				void this.#scanJobs(core, false);
			});
		});
	}

	async #read(jobId: string, core: OwnerCore | undefined): Promise<void> {
		const row = this.isCutFromStore ? undefined : await this.#options.tables.get(OWNER_TABLES.jobs, jobId);
		this.#later(core, row?.ok ? STORE_CALL_MS : RETRY_MS, () => {
			if (!row?.ok) {
				void this.#read(jobId, core);
				return;
			}

			this.#isRead.add(`${this.#epoch}/${jobId}`);
			this.#input(row.value
				? {kind: 'jobRow', row: row.value.value as JobRow, version: row.value.version}
				: {kind: 'jobAbsent', jobId});
		});
	}
}
