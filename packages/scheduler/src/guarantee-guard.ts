import type {JobSpec} from '@amaranthsail/core';
import {describeUnplaced} from './check-guarantees.js';
import type {ClusterState} from './cluster-state.js';
import {isNoWorse, packShapes, type Packing} from './guarantee-packing.js';
import {splitIntoShapes, type GuaranteeShape} from './guarantee-shape.js';
import {scalarAmountsOf} from './scalar-resources.js';
import type {PinnedAllocation, PackingWorker} from './packing-state.js';
import type {Guarantee, GuaranteeAlarm, PlacedTask} from './scheduler.js';

/** Prevents non-preemptible work from taking capacity that guarantees need. */
export class GuaranteeGuard {
	readonly #cluster: ClusterState;
	#guarantees: readonly Guarantee[] = [];
	#shapes: readonly GuaranteeShape[] = [];
	#shapesVersion = -1;
	readonly #shapesByAccount = new Map<string, GuaranteeShape[]>();
	#packing: Packing = {blocks: new Map(), unplaced: []};
	#packedAtVersion = -1;

	/**
	 * @param cluster - The workers and their allocations.
	 */
	constructor(cluster: ClusterState) {
		this.#cluster = cluster;
	}

	/**
	 * Sets the active guarantees.
	 *
	 * @param guarantees - The guarantees of this failure domain.
	 */
	configure(guarantees: readonly Guarantee[]): void {
		this.#guarantees = guarantees;
		this.#shapesVersion = -1;
		this.#packedAtVersion = -1;
	}

	/**
	 * Lists the shapes of an account.
	 *
	 * @param account - The account.
	 * @returns Its shapes, hardest to place first.
	 */
	shapesOf(account: string): readonly GuaranteeShape[] {
		this.shapes();
		return this.#shapesByAccount.get(account) ?? [];
	}

	/** The shapes of all guarantees, hardest to place first. */
	shapes(): readonly GuaranteeShape[] {
		if (this.#shapesVersion !== this.#cluster.factsVersion) {
			this.#shapes = splitIntoShapes(this.#guarantees, this.#cluster.capacity().maxWorkerAccelerators);
			this.#shapesVersion = this.#cluster.factsVersion;
			this.#shapesByAccount.clear();
			for (const shape of this.#shapes) {
				this.#shapesByAccount.set(shape.account, [...this.#shapesByAccount.get(shape.account) ?? [], shape]);
			}
		}

		return this.#shapes;
	}

	/** The current packing of all shapes. */
	packing(): Packing {
		if (this.#packedAtVersion !== this.#cluster.packingVersion) {
			this.#packing = packShapes(this.#workersWithPinnedWork(), this.shapes(), this.#packing.blocks);
			this.#packedAtVersion = this.#cluster.packingVersion;
		}

		return this.#packing;
	}

	/**
	 * Checks whether a placement leaves all guarantees packable. Shapes that do not pack even without the job
	 * are not counted against it. A repeatable job is always allowed, because it can be preempted.
	 *
	 * @param spec - The job.
	 * @param tasks - Where its tasks would be placed.
	 * @returns Whether the placement is allowed.
	 */
	allowsPlacement(spec: JobSpec, tasks: readonly PlacedTask[]): boolean {
		if (spec.repeatable || this.#guarantees.length === 0) {
			return true;
		}

		const chargedAmounts = scalarAmountsOf(spec.shape);
		const addedByWorker = new Map<string, PinnedAllocation[]>();
		for (const task of tasks) {
			const allocation = {account: spec.account, accelerators: task.accelerators, chargedAmounts};
			addedByWorker.set(task.workerId, [...addedByWorker.get(task.workerId) ?? [], allocation]);
		}

		const currentPacking = this.packing();
		const workers = this.#workersWithPinnedWork().map((worker): PackingWorker => {
			const added = addedByWorker.get(worker.workerId);
			return added ? {...worker, pinned: [...worker.pinned, ...added]} : worker;
		});
		const {unplaced} = packShapes(workers, this.shapes(), currentPacking.blocks);
		return isNoWorse(currentPacking.unplaced, unplaced);
	}

	/**
	 * Packs the shapes around pinned work and, unless they may be moved, around jobs within guarantees.
	 *
	 * @param canMoveGuaranteedJobs - Whether preemptible jobs within guarantees may be moved.
	 * @returns The packing.
	 */
	packAroundGuaranteedJobs(canMoveGuaranteedJobs: boolean): Packing {
		const workers = this.#cluster.packingWorkers(allocation => allocation.isPinned || (!canMoveGuaranteedJobs && allocation.isWithinGuarantee));
		return packShapes(workers, this.shapes());
	}

	/** Guarantees that cannot be kept, each with the first reason found. */
	alarms(): readonly GuaranteeAlarm[] {
		const alarms = new Map<string, GuaranteeAlarm>();
		for (const unplaced of this.packing().unplaced) {
			const {name, account} = unplaced.shape.guarantee;
			if (!alarms.has(name)) {
				alarms.set(name, {guarantee: name, account, message: describeUnplaced(unplaced)});
			}
		}

		return [...alarms.values()];
	}

	#workersWithPinnedWork(): readonly PackingWorker[] {
		return this.#cluster.packingWorkers(allocation => allocation.isPinned);
	}
}
