import {ok, type Result} from '@amaranthsail/core';
import {
	DEFAULT_LIMITS, type KeyRange, LEADER_KEY, type PoolLimits, type PoolStore, type RowPage, type StoreError, TABLES, type WorkerFacts,
} from '@amaranthsail/pool';
import {PoolHarness} from '../../../pool/tests/support/pool-harness.js';
import {EmulatedVm} from './emulated-vm.js';
import {LinkModel} from './link-model.js';
import {RunRecord} from './run-record.js';
import {VirtualTime} from './virtual-time.js';
import {type TaskWork, WorkModel} from './work-model.js';
import {ACKNOWLEDGEMENTS, type WorkerOptions} from './worker-incarnation.js';

/** Interval at which the leader's core and the work on the workers advance. */
const TICK_INTERVAL_MS = 100;
const WORK_INTERVAL_MS = 50;

/** Properties of workers that a test does not set. */
export const DEFAULT_WORKER: WorkerOptions = {
	maxLeaseMs: 8000, stopMs: 0, areCallsBound: false, acknowledgements: ACKNOWLEDGEMENTS.kept, clockRate: 1,
};

/** A worker of the rig. */
export type RigWorker = {readonly facts?: Partial<WorkerFacts>; readonly options?: Partial<WorkerOptions>};

/** A rig without sockets: one leader's core, and VMs with the product's agent and an emulated worker. */
export class AgentRig {
	readonly harness: PoolHarness;
	readonly time: VirtualTime;
	readonly record: RunRecord;
	readonly vms: readonly EmulatedVm[];
	readonly #work: WorkModel;
	#links = new Map<string, LinkModel>();
	#epoch = 0;
	#isTickDue = false;

	/**
	 * @param workers - The workers.
	 * @param workOf - Returns the work of a task.
	 * @param limits - Limits of the leader.
	 */
	constructor(workers: readonly RigWorker[], workOf: (task: string) => TaskWork, limits: PoolLimits = DEFAULT_LIMITS) {
		this.harness = new PoolHarness([], limits);
		this.time = new VirtualTime(this.harness.clock);
		this.record = new RunRecord(() => this.time.nowMs);
		this.#work = new WorkModel(workOf);
		this.record.onStarting = () => {
			for (const {worker} of this.vms) {
				worker?.tick();
			}
		};

		const surroundings = {
			time: this.time, record: this.record, store: new HarnessStore(this.harness), leaseMs: limits.leaseMs,
		};
		this.vms = workers.map(({facts, options}, index) => new EmulatedVm(`w${index}`, {
			service: 'registry',
			failureDomain: 'catania',
			capacity: {cpuMillis: 32_000, memoryMb: 65_536, accelerators: 8},
			labels: ['a', 'r1'],
			...facts,
		}, {...DEFAULT_WORKER, ...options}, surroundings));
		this.#startLinks();
		void this.#tickLoop();
		void this.#workLoop();
	}

	/** Whether a leader is present that has read the stored state. */
	get isLeaderPresent(): boolean {
		return this.#links.size > 0;
	}

	/**
	 * Advances the rig.
	 *
	 * @param byMs - Whole milliseconds.
	 */
	async advance(byMs: number): Promise<void> {
		await this.time.advance(byMs);
	}

	/**
	 * Advances the rig until a condition holds.
	 *
	 * @param condition - The condition.
	 * @param maxMs - Longest time to wait.
	 * @throws Error when it does not hold by then.
	 */
	async advanceUntil(condition: () => boolean, maxMs = 10_000): Promise<void> {
		for (let passedMs = 0; !condition(); passedMs++) {
			if (passedMs === maxMs) {
				throw new Error(`does not hold within ${maxMs} ms: ${condition.toString()}`);
			}

			await this.time.advance(1);
		}
	}

	/** Ends the leader; its orders that are on their way may still be carried out. */
	removeLeader(): void {
		for (const link of this.#links.values()) {
			link.stop();
		}

		this.#links = new Map();
		this.harness.replaceLeader();
	}

	/** Lets the next leader read the stored state and begin. */
	startLeader(): void {
		this.harness.recoverLeader();
		this.#startLinks();
	}

	#startLinks(): void {
		this.#epoch++;
		this.harness.write(TABLES.leader, LEADER_KEY, {
			holder: `leader${this.#epoch}`, address: '127.0.0.1:1', epoch: this.#epoch, commit: 0,
		});
		const {core} = this.harness;
		this.#links = new Map(this.vms.map(vm => {
			const link = new LinkModel(vm, {
				core,
				epoch: this.#epoch,
				time: this.time,
				onUpdate: () => {
					this.#scheduleTick();
				},
			});
			void link.run();
			return [vm.name, link];
		}));
	}

	#scheduleTick(): void {
		if (!this.#isTickDue) {
			this.#isTickDue = true;
			this.time.after(0, () => {
				this.#tick();
			});
		}
	}

	#tick(): void {
		this.#isTickDue = false;
		if (!this.isLeaderPresent) {
			return;
		}

		const {core} = this.harness;
		core.tick();
		this.harness.commit();
		for (const outgoing of core.takeOrders()) {
			const link = this.#links.get(outgoing.agent);
			if (link) {
				void link.order(outgoing);
			} else {
				core.onOrderOutcome(outgoing.incarnation, outgoing.order, {kind: 'unknown', message: 'no link to the agent'}, 0);
			}
		}
	}

	async #tickLoop(): Promise<void> {
		for (;;) {
			this.#tick();
			await this.time.sleep(TICK_INTERVAL_MS);
		}
	}

	async #workLoop(): Promise<void> {
		for (;;) {
			this.#work.advance(this.vms.flatMap(({worker}) => worker ?? []), WORK_INTERVAL_MS);
			await this.time.sleep(WORK_INTERVAL_MS);
		}
	}
}

/** The rows of a harness, as agents read them. */
class HarnessStore implements PoolStore {
	readonly #harness: PoolHarness;

	constructor(harness: PoolHarness) {
		this.#harness = harness;
	}

	async transact(): Promise<Result<{readonly version: number}, StoreError>> {
		throw new Error('agents of the rig do not write');
	}

	async read(table: string, {from = ''}: KeyRange): Promise<Result<RowPage, StoreError>> {
		return this.#harness.isStoreAvailable
			? ok({rows: this.#harness.rowsOf(table).filter(row => row.key >= from), version: 1, hasMore: false})
			: {ok: false, error: {kind: 'unavailable', message: 'down'}};
	}

	async follow(): Promise<Result<RowPage, StoreError>> {
		throw new Error('agents of the rig do not follow');
	}
}
