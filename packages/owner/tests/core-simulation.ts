import {HEARTBEAT_INTERVAL_MS, OWNERSHIP_RENEWAL_INTERVAL_MS, OWNERSHIP_VALIDITY_MS, type JobSpec, type JobRow} from '@amaranthsail/core';
import type {Row, Transaction} from '@amaranthsail/backing-services';
import type {Scheduler} from '@amaranthsail/scheduler';
import {FakeAgent} from './fake-agent.js';
import {FirstFitScheduler} from './first-fit-scheduler.js';
import {MemoryTables} from './memory-tables.js';
import {OwnerCore, openJobKey, type OwnerEffect, type OwnerEvent, type WriteResult} from '@amaranthsail/owner';

const STEP_MS = 10;

export const SPEC: JobSpec = {
	account: 'ledger', service: 'register', operation: 'revaluation', workClass: 'urgent', taskCount: 1,
	shape: {
		slots: 1, connections: 1, processors: 1, memoryMb: 100, accelerators: 0,
	},
	adjacency: 'failureDomain', repeatable: true, checkpointable: false,
};

/** An owner core and its scheduler, in a process that can be paused. */
export type TestOwner = {
	readonly core: OwnerCore; readonly scheduler: FirstFitScheduler; readonly epoch: number; isPaused: boolean; canRenew: boolean;
	/** Events that arrived while the process was paused. */
	readonly backlog: OwnerEvent[];
};

/** Runs owner cores, agents and a store on one virtual clock, in steps of 10 ms. */
export class CoreSimulation {
	/** Creates the scheduler of each owner; without it, the first-fit scheduler is used. */
	createScheduler: (() => Scheduler) | undefined;
	nowMs = 1000;
	readonly tables = new MemoryTables();
	readonly agents: FakeAgent[] = [];
	readonly owners: TestOwner[] = [];
	readonly answers = new Map<string, JobRow | undefined>();
	readonly metrics: string[] = [];
	/** Write ids of all decisions that were sent, whether or not they took effect. */
	readonly decisionWriteIds = new Set<string>();
	/** Outdated rows, each returned by one read; later reads are up to date. */
	readonly staleReads = new Map<string, Row>();
	readonly sentMessages: Array<Extract<OwnerEffect, {readonly kind: 'send'}>> = [];
	#nextId = 0;
	/** Whether to drop a message to an agent. */
	shouldDropToAgent: (effect: Extract<OwnerEffect, {readonly kind: 'send'}>) => boolean = () => false;
	/** Called with each transaction before it is applied; false drops it without an answer. */
	shouldApplyWrite: (transaction: Transaction) => boolean = () => true;

	/** Claims the failure domain for a new owner and lets it recover. */
	claim(options: {readonly isPreviousOwnerGone?: boolean; readonly shouldRecover?: boolean; readonly isIndexOutdated?: boolean} = {}): TestOwner {
		const epoch = this.owners.length + 1;
		const version = this.tables.row('ownership', 'catania')?.version ?? 0;
		const {fault} = this.tables;
		this.tables.fault = 'none';
		this.tables.apply({writeId: `claim-${epoch}`, conditions: [], writes: [{table: 'ownership', key: 'catania', value: {epoch, version}}]});
		const scheduler = new FirstFitScheduler();
		const core = new OwnerCore({
			failureDomain: 'catania', ownerId: `owner-${epoch}`, epoch, ownershipVersion: this.tables.row('ownership', 'catania')!.version,
			claimedAtMs: this.nowMs, wallOffsetMs: 0, scheduler: this.createScheduler?.() ?? scheduler, revision: 1, newId: () => {
				this.#nextId += 1;
				return `w${this.#nextId}`;
			},
		});
		const owner: TestOwner = {
			core, scheduler, epoch, isPaused: false, canRenew: true, backlog: [],
		};
		this.owners.push(owner);
		this.renew(owner);
		if (epoch === 1 || options.isPreviousOwnerGone) {
			this.handleEvent(owner, {kind: 'previousOwnerGone'});
		}

		for (const key of options.isIndexOutdated === true || options.shouldRecover === false ? [] : this.openJobs()) {
			this.notify(key.split('/')[1]!, owner);
		}

		if (options.shouldRecover !== false) {
			this.handleEvent(owner, {kind: 'recoveryComplete'});
		}

		this.tables.fault = fault;
		return owner;
	}

	addAgent(workerId: string): FakeAgent {
		const agent = new FakeAgent(workerId);
		this.agents.push(agent);
		return agent;
	}

	/** Accepts a job as an entry does, and notifies the owner. */
	submit(jobId: string, spec: Partial<JobSpec> = {}): void {
		const row: JobRow = {
			jobId, spec: {...SPEC, ...spec}, bodyDigest: '', failureDomain: 'catania', state: 'waiting', acceptedAtMs: this.nowMs, attempt: 0,
			members: [], startConsumed: false, failedWorkers: [], cancelRequested: false, answers: [], writeId: `accept-${jobId}`,
		};
		this.tables.apply({
			writeId: row.writeId, conditions: [{table: 'jobs', key: jobId, version: 0}], writes: [
				{table: 'jobs', key: jobId, value: row}, {table: 'open_jobs', key: openJobKey('catania', jobId), value: {jobId}},
			],
		});
		this.notify(jobId);
	}

	row(jobId: string): JobRow {
		return this.tables.row('jobs', jobId)!.value as unknown as JobRow;
	}

	openJobs(): readonly string[] {
		const keys: string[] = [];
		for (const {writes} of this.tables.transactions) {
			keys.push(...writes.filter(({table}) => table === 'open_jobs').map(({key}) => key));
		}

		return [...new Set(keys)].filter(key => this.tables.row('open_jobs', key) !== undefined);
	}

	notify(jobId: string, owner = this.owners.at(-1)!): void {
		const row = this.staleReads.get(jobId) ?? this.tables.row('jobs', jobId);
		this.staleReads.delete(jobId);
		this.handleEvent(owner, row === undefined
			? {kind: 'jobAbsent', jobId}
			: {kind: 'jobRow', row: row.value as unknown as JobRow, version: row.version});
	}

	handleEvent(owner: TestOwner, event: OwnerEvent): void {
		if (owner.isPaused) {
			owner.backlog.push(event);
			return;
		}

		this.#applyEffects(owner, owner.core.handle(event, this.nowMs));
	}

	resume(owner: TestOwner): void {
		owner.isPaused = false;
		for (const event of owner.backlog.splice(0)) {
			this.handleEvent(owner, event);
		}
	}

	renew(owner: TestOwner): void {
		this.handleEvent(owner, {kind: 'ownership', validity: {kind: 'valid', validUntilMs: this.nowMs + OWNERSHIP_VALIDITY_MS, renewedAtMs: this.nowMs}});
	}

	/** Advances time; agents send a heartbeat every second and owners renew while the store is up. */
	run(durationMs: number): void {
		for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
			this.nowMs += STEP_MS;
			for (const owner of this.owners) {
				const isRenewalDue = this.nowMs % OWNERSHIP_RENEWAL_INTERVAL_MS === 0;
				if (isRenewalDue && owner === this.owners.at(-1) && owner.canRenew && !owner.isPaused && this.tables.fault !== 'down') {
					this.renew(owner);
				}

				if (!owner.isPaused) {
					this.#applyEffects(owner, owner.core.tick(this.nowMs));
				}
			}

			for (const agent of this.agents) {
				if (this.nowMs % HEARTBEAT_INTERVAL_MS === 0) {
					this.sendHeartbeat(agent);
				}
			}
		}
	}

	/** Runs until a condition holds; throws when it does not hold in time. Returns the time taken. */
	runUntil(condition: () => boolean, timeoutMs: number): number {
		const startMs = this.nowMs;
		while (!condition()) {
			if (this.nowMs - startMs > timeoutMs) {
				throw new Error(`the condition did not hold within ${timeoutMs} ms`);
			}

			this.run(STEP_MS);
		}

		return this.nowMs - startMs;
	}

	sendHeartbeat(agent: FakeAgent, owner = this.owners.at(-1)!): void {
		if (!agent.isPaused) {
			this.handleEvent(owner, {kind: 'heartbeat', message: agent.heartbeat(this.nowMs), host: agent.facts.workerId});
		}
	}

	#applyEffects(owner: TestOwner, effects: readonly OwnerEffect[]): void {
		for (const effect of effects) {
			switch (effect.kind) {
				case 'send': {
					this.#deliver(owner, effect);
					break;
				}

				case 'write': {
					if (effect.transaction.writes.some(({value}) => value?.state === 'decided')) {
						this.decisionWriteIds.add(effect.transaction.writeId);
					}

					if (this.shouldApplyWrite(effect.transaction)) {
						this.handleEvent(owner, {kind: 'writeResult', writeId: effect.transaction.writeId, result: this.#write(effect.transaction)});
					}

					break;
				}

				case 'read': {
					// A store with a fault does not answer reads either; the core has to request them again.
					for (const jobId of this.tables.fault === 'none' ? effect.jobIds : []) {
						this.notify(jobId, owner);
					}

					break;
				}

				case 'answer': {
					this.answers.set(effect.waiterId, effect.row);
					break;
				}

				case 'metric': {
					this.metrics.push(effect.metric.name);
					break;
				}

				case 'ownershipLost': {
					break;
				}
			}
		}
	}

	#deliver(owner: TestOwner, effect: Extract<OwnerEffect, {readonly kind: 'send'}>): void {
		this.sentMessages.push(effect);
		const agent = this.agents.find(({facts, isPaused}) => facts.workerId === effect.host && !isPaused);
		if (agent !== undefined && !this.shouldDropToAgent(effect) && agent.receive(effect.message, this.nowMs)) {
			this.sendHeartbeat(agent, owner);
		}
	}

	#write(transaction: Transaction): WriteResult {
		const result = this.tables.apply(transaction);
		if (result.ok) {
			return {kind: 'committed', versions: result.value};
		}

		switch (result.error.kind) {
			case 'condition_failed': {
				return {kind: 'conditionFailed', failed: result.error.failed};
			}

			case 'outcome_unknown': {
				return {kind: 'unknown', message: ''};
			}

			case 'unavailable':
			case 'rejected': {
				return {kind: 'unavailable', message: ''};
			}
		}
	}
}
