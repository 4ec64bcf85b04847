import {ManualClock} from '@amaranthsail/core';
import type {FakeWorker} from './fake-worker.js';
import {
	cancellationKey, DEFAULT_LIMITS, type JobRow, type JobSpec, type PoolConfig, PoolCore, type PoolLimits, type Queue, type StepSpec, type StoredRow, TABLES, termsOf, type WorkerOrder,
} from '@amaranthsail/pool';

/** @returns A step with defaults for the fields that a test does not set. */
export function makeStep(step: Partial<StepSpec> = {}): StepSpec {
	return {
		taskCount: 1,
		shape: {cpuMillis: 1000, memoryMb: 1000, accelerators: 1},
		estimatedMs: 3000,
		after: [],
		isGang: false,
		prefersOneRack: false,
		isCheckpointing: false,
		isLasting: false,
		...step,
	};
}

function makeQueue(name: string, priority: number): Queue {
	return {
		name, host: 'h', pathPrefix: `/${name}/`, service: 'registry', priority, maxAttempts: 2, stretch: priority === 0 ? 1.5 : 3, targetLatencyMs: 250, isPublic: false,
	};
}

/** Queues of three priorities and two accounts with guarantees. */
export const TEST_CONFIG: PoolConfig = {
	version: 1,
	queues: [makeQueue('urgent', 0), makeQueue('normal', 1), makeQueue('batch', 2)],
	accounts: [
		{name: 'north', keys: ['n'], guaranteedAccelerators: 8},
		{name: 'south', keys: ['s'], guaranteedAccelerators: 8},
	],
};

/** A manual clock whose wall time can be set back or forward. */
export class HarnessClock extends ManualClock {
	wallOffsetMs = 0;

	override wallMs(): number {
		return super.wallMs() + this.wallOffsetMs;
	}
}

/** Runs a core on a manual clock, with a store and workers in memory. */
export class PoolHarness {
	readonly clock = new HarnessClock(100_000);
	/** Configuration that the next leader reads. */
	config = TEST_CONFIG;
	readonly rows = new Map<string, StoredRow>();
	readonly log: Array<{event: string; fields: Readonly<Record<string, unknown>>}> = [];
	/** While false, commits stay pending. */
	isStoreAvailable = true;
	core: PoolCore;
	/** Called with an order that an unreachable worker does not get now. */
	onLostOrder?: (worker: FakeWorker, order: WorkerOrder) => void;
	#version = 1;

	constructor(readonly workers: readonly FakeWorker[] = [], readonly limits: PoolLimits = DEFAULT_LIMITS) {
		this.core = this.#createCore();
		this.core.recover({jobs: [], runs: [], incarnations: []});
	}

	/** Replaces the leader; the new one has not read the stored state yet. */
	replaceLeader(): void {
		this.core = this.#createCore();
	}

	recoverLeader(): void {
		this.core.recover({jobs: this.rowsOf(TABLES.jobs), runs: this.rowsOf(TABLES.runs), incarnations: this.rowsOf(TABLES.lives)});
		this.core.restoreSpeeds(this.rowsOf(TABLES.speeds));
	}

	submit(id: string, queue: string, steps: readonly StepSpec[], options: {account?: string; spec?: Partial<JobSpec>} = {}): void {
		const accepting = this.config.queues.find(({name}) => name === queue)!;
		const row: JobRow = {queue, account: options.account ?? 'north', acceptedAtMs: this.clock.wallMs(), terms: termsOf(accepting), spec: {payload: `payload of ${id}`, steps, ...options.spec}};
		this.write(TABLES.jobs, id, row);
		this.core.onJobStored(id, row);
	}

	/** Replaces the configuration, also that of the present leader. */
	configure(config: PoolConfig): void {
		this.config = config;
		this.core.setConfig(config);
	}

	cancel(id: string): void {
		this.write(TABLES.jobs, cancellationKey(id), {});
		this.core.onCancellationStored(id);
	}

	/** Advances the clock in steps of 100 ms; agents of reachable workers report in each. */
	advance(byMs: number): void {
		for (let passed = 0; passed < byMs; passed += 100) {
			this.clock.advance(100);
			this.runCycle();
		}
	}

	runCycle(): void {
		for (const worker of this.workers) {
			this.report(worker);
		}

		for (let round = 0; round < 4; round++) {
			this.core.tick();
			this.commit();
			for (const outgoing of this.core.takeOrders()) {
				const worker = this.workers.find(candidate => candidate.facts.life === outgoing.incarnation);
				const isLost = worker !== undefined && (worker.isUnreachable || worker.areOrdersLost);
				if (worker && isLost) {
					this.onLostOrder?.(worker, outgoing.order);
				}

				if (!worker || isLost) {
					this.core.onOrderOutcome(outgoing.incarnation, outgoing.order, {kind: 'unknown', message: 'no answer'}, 0);
				} else {
					const {outcome, orderCount} = worker.order(outgoing.order);
					this.core.onOrderOutcome(outgoing.incarnation, outgoing.order, outcome, orderCount);
				}
			}

			for (const worker of this.workers) {
				this.report(worker);
			}
		}
	}

	report(worker: FakeWorker): void {
		if (worker.isUnreachable) {
			return;
		}

		this.core.onReport(worker.agent, worker.report(this.clock.monotonicMs()));
		const lease = this.core.leaseFor(worker.facts.life);
		if (lease) {
			worker.ackSequence = Math.max(worker.ackSequence, lease.ackSequence);
			worker.leaseUntilMs = Math.max(worker.leaseUntilMs, lease.leaseUntilMs);
		}
	}

	commit(): void {
		if (!this.isStoreAvailable) {
			return;
		}

		for (let commit = this.core.nextCommit(); commit; commit = this.core.nextCommit()) {
			for (const {table, key, value} of commit.writes) {
				this.write(table, key, value);
			}

			commit.complete();
		}
	}

	write(table: string, key: string, value: unknown): void {
		const id = `${table}/${key}`;
		if (value === undefined) {
			this.rows.delete(id);
		} else {
			this.rows.set(id, {table, key, value: structuredClone(value), version: ++this.#version, isRemoved: false});
		}
	}

	rowsOf(table: string): StoredRow[] {
		return [...this.rows.values()].filter(row => row.table === table).toSorted((left, right) => (left.key < right.key ? -1 : 1));
	}

	events(event: string): ReadonlyArray<Readonly<Record<string, unknown>>> {
		return this.log.filter(entry => entry.event === event).map(entry => entry.fields);
	}

	#createCore(): PoolCore {
		const core = new PoolCore(this.clock, this.limits, (event, fields) => {
			this.log.push({event, fields});
		});
		core.setConfig(this.config);
		return core;
	}
}
