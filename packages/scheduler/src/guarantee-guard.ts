import type {JobSpec} from '@amaranthsail/core';
import {describeUnplaced} from './check-guarantees.js';
import type {ClusterState} from './cluster-state.js';
import {isNoWorse, packShapes, type Packing} from './guarantee-packing.js';
import {shapesOf, type GuaranteeShape} from './guarantee-shape.js';
import {limitsOf} from './scalar-resources.js';
import type {FixedHolding, PackingWorker} from './packing-state.js';
import type {Guarantee, GuaranteeAlarm, PlacedTask} from './scheduler.js';

/** Keeps unstoppable work from taking what guarantees need. */
export class GuaranteeGuard {
	readonly #cluster: ClusterState;
	#guarantees: readonly Guarantee[] = [];
	#shapes: readonly GuaranteeShape[] = [];
	#shapesFor = -1;
	readonly #byAccount = new Map<string, GuaranteeShape[]>();
	#packing: Packing = {blocks: new Map(), unplaced: []};
	#packedVersion = -1;

	/**
	 * @param cluster - The workers and their grants.
	 */
	constructor(cluster: ClusterState) {
		this.#cluster = cluster;
	}

	/**
	 * Takes over the guarantees in force.
	 *
	 * @param guarantees - The guarantees of this failure domain.
	 */
	configure(guarantees: readonly Guarantee[]): void {
		this.#guarantees = guarantees;
		this.#shapesFor = -1;
		this.#packedVersion = -1;
	}

	/**
	 * Gives the shapes of an account.
	 *
	 * @param account - The account.
	 * @returns Its shapes, hardest to place first.
	 */
	shapesOf(account: string): readonly GuaranteeShape[] {
		this.shapes();
		return this.#byAccount.get(account) ?? [];
	}

	/** The shapes of all guarantees, hardest to place first. */
	shapes(): readonly GuaranteeShape[] {
		if (this.#shapesFor !== this.#cluster.factsVersion) {
			this.#shapes = shapesOf(this.#guarantees, this.#cluster.capacity().largestWorker);
			this.#shapesFor = this.#cluster.factsVersion;
			this.#byAccount.clear();
			for (const shape of this.#shapes) {
				this.#byAccount.set(shape.account, [...this.#byAccount.get(shape.account) ?? [], shape]);
			}
		}

		return this.#shapes;
	}

	/** Where the shapes lie now. */
	packing(): Packing {
		if (this.#packedVersion !== this.#cluster.fixedVersion) {
			this.#packing = packShapes(this.#fixedWorkers(), this.shapes(), this.#packing.blocks);
			this.#packedVersion = this.#cluster.fixedVersion;
		}

		return this.#packing;
	}

	/**
	 * Checks whether all guarantees still pack when a job that cannot be stopped runs on given workers.
	 * Shapes that do not pack even without it are not held against it.
	 *
	 * @param spec - The job.
	 * @param tasks - Where its tasks would go.
	 * @returns Whether the placement is allowed.
	 */
	allows(spec: JobSpec, tasks: readonly PlacedTask[]): boolean {
		if (spec.repeatable || this.#guarantees.length === 0) {
			return true;
		}

		const charge = limitsOf(spec.shape);
		const added = new Map<string, FixedHolding[]>();
		for (const task of tasks) {
			const holding = {account: spec.account, accelerators: task.accelerators, charge};
			added.set(task.workerId, [...added.get(task.workerId) ?? [], holding]);
		}

		const present = this.packing();
		const workers = this.#fixedWorkers().map((worker): PackingWorker => {
			const more = added.get(worker.workerId);
			return more ? {...worker, fixed: [...worker.fixed, ...more]} : worker;
		});
		const {unplaced} = packShapes(workers, this.shapes(), present.blocks);
		return isNoWorse(present.unplaced, unplaced);
	}

	/**
	 * Packs the shapes around work that should stay although it could be stopped.
	 *
	 * @param mayMove - Whether the jobs inside other guarantees may be moved.
	 * @returns The packing.
	 */
	packAroundInsideWork(mayMove: boolean): Packing {
		const workers = this.#cluster.packingWorkers(grant => grant.fixed || (!mayMove && grant.inside));
		return packShapes(workers, this.shapes());
	}

	/** Guarantees that cannot be kept, each with its first reason. */
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

	#fixedWorkers(): readonly PackingWorker[] {
		return this.#cluster.packingWorkers(grant => grant.fixed);
	}
}
