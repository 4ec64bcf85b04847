import type {JobSpec} from '@amaranthsail/core';
import type {ClusterState} from './cluster-state.js';
import {placeGang, type FitStrategy, type PlacementView} from './gang-placement.js';
import type {GuaranteeGuard} from './guarantee-guard.js';
import type {Packing} from './guarantee-packing.js';
import {scalarAmountsOf, addScaled} from './scalar-resources.js';
import type {PlacedTask} from './scheduler.js';

/** Finds placements that keep every guarantee packable. */
export class JobPlacer {
	readonly #cluster: ClusterState;
	readonly #guard: GuaranteeGuard;
	#cachedPacking: Packing | undefined;
	readonly #acceleratorsByQuery = new Map<string, ReadonlyMap<string, ReadonlySet<number>>>();

	/**
	 * @param cluster - The workers.
	 * @param guard - The guarantees.
	 */
	constructor(cluster: ClusterState, guard: GuaranteeGuard) {
		this.#cluster = cluster;
		this.#guard = guard;
	}

	/**
	 * Places a job on the free capacity of the given views.
	 *
	 * @param spec - The job.
	 * @param views - The workers that may be used.
	 * @param fit - How to choose among workers that fit.
	 * @param packing - A packing of the guarantees to use instead of the current one.
	 * @returns The tasks, or undefined if no placement was found that keeps the guarantees packable.
	 */
	place(spec: JobSpec, views: readonly PlacementView[], fit: FitStrategy, packing?: Packing): readonly PlacedTask[] | undefined {
		if (spec.repeatable) {
			// Preemptible work fills the blocks of guarantees first, which leaves the surplus to non-preemptible work.
			return (fit === 'best' ? placeGang(spec, this.#restrictViews(views, this.#blockAccelerators(this.#guard.packing(), 'all', () => true)), fit) : undefined)
				?? placeGang(spec, views, fit);
		}

		// If the job does not fit at all, the more expensive options below cannot succeed either.
		if (!placeGang(spec, views, fit)) {
			return undefined;
		}

		const blocks = packing ?? this.#guard.packing();
		for (const toViews of this.#viewOptions(spec.account, views, blocks)) {
			const tasks = placeGang(spec, toViews(), fit);
			if (tasks && this.#guard.allowsPlacement(spec, tasks)) {
				return tasks;
			}
		}

		return undefined;
	}

	/**
	 * Restricts views to the blocks that a packing reserves for an account.
	 *
	 * @param account - The account.
	 * @param views - The views.
	 * @param packing - The packing.
	 * @returns The views with only those accelerators.
	 */
	ownBlockViews(account: string, views: readonly PlacementView[], packing: Packing): readonly PlacementView[] {
		return this.#restrictViews(views, this.#blockAccelerators(packing, `own ${account}`, blockAccount => blockAccount === account));
	}

	#restrictViews(views: readonly PlacementView[], allowed: ReadonlyMap<string, ReadonlySet<number>>): readonly PlacementView[] {
		return views.flatMap(view => {
			const accelerators = allowed.get(view.workerId);
			return accelerators ? [{...view, freeAccelerators: view.freeAccelerators.map((free, index) => free && accelerators.has(index))}] : [];
		});
	}

	/** The account's own blocks, then what no other account's guarantee needs, then everything, then each rack alone. */
	#viewOptions(account: string, views: readonly PlacementView[], packing: Packing): ReadonlyArray<() => readonly PlacementView[]> {
		const racks = [...new Set(views.map(view => view.rack))];
		return [
			() => this.ownBlockViews(account, views, packing),
			() => this.#surplusViews(account, views, packing),
			() => views,
			...racks.length > 1 && racks.length <= MAX_RACKS_TRIED
				? racks.map(rack => () => views.filter(view => view.rack === rack))
				: [],
		];
	}

	#surplusViews(account: string, views: readonly PlacementView[], packing: Packing): readonly PlacementView[] {
		const reservedForOthers = this.#blockAccelerators(packing, `not ${account}`, blockAccount => blockAccount !== account);
		return views.map(view => {
			const accelerators = reservedForOthers.get(view.workerId);
			if (!accelerators) {
				return view;
			}

			const {capacity} = this.#cluster.workers.get(view.workerId)!.facts;
			const freeAmounts = [...view.freeAmounts];
			addScaled(freeAmounts, scalarAmountsOf(capacity), -accelerators.size / capacity.accelerators);
			return {...view, freeAmounts, freeAccelerators: view.freeAccelerators.map((free, index) => free && !accelerators.has(index))};
		});
	}

	/** Accelerators in blocks, by worker. A packing is immutable, so the result is cached for each key. */
	#blockAccelerators(packing: Packing, key: string, includesAccount: (account: string) => boolean): ReadonlyMap<string, ReadonlySet<number>> {
		if (this.#cachedPacking !== packing) {
			this.#cachedPacking = packing;
			this.#acceleratorsByQuery.clear();
		}

		let accelerators = this.#acceleratorsByQuery.get(key);
		if (!accelerators) {
			accelerators = this.#collectBlockAccelerators(packing, includesAccount);
			this.#acceleratorsByQuery.set(key, accelerators);
		}

		return accelerators;
	}

	#collectBlockAccelerators(packing: Packing, includesAccount: (account: string) => boolean): ReadonlyMap<string, ReadonlySet<number>> {
		const result = new Map<string, Set<number>>();
		for (const shape of this.#guard.shapes()) {
			if (!includesAccount(shape.account)) {
				continue;
			}

			for (const block of packing.blocks.get(shape.key) ?? []) {
				const accelerators = result.get(block.workerId) ?? new Set();
				for (let index = 0; index < shape.blockSize; index++) {
					accelerators.add(block.start + index);
				}

				result.set(block.workerId, accelerators);
			}
		}

		return result;
	}
}

/** Largest number of racks that are tried one by one; more would take too long in one decision. */
const MAX_RACKS_TRIED = 8;
