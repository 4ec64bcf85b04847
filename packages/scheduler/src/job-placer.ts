import type {JobSpec} from '@amaranthsail/core';
import type {ClusterState} from './cluster-state.js';
import {placeGang, type Fit, type PlacementView} from './gang-placement.js';
import type {GuaranteeGuard} from './guarantee-guard.js';
import type {Packing} from './guarantee-packing.js';
import {limitsOf, addTo} from './scalar-resources.js';
import type {PlacedTask} from './scheduler.js';

/** Finds places for jobs that leave every guarantee intact. */
export class JobPlacer {
	readonly #cluster: ClusterState;
	readonly #guard: GuaranteeGuard;
	#blocksOf: Packing | undefined;
	readonly #blocks = new Map<string, ReadonlyMap<string, ReadonlySet<number>>>();

	/**
	 * @param cluster - The workers.
	 * @param guard - The guarantees.
	 */
	constructor(cluster: ClusterState, guard: GuaranteeGuard) {
		this.#cluster = cluster;
		this.#guard = guard;
	}

	/**
	 * Places a job on the space of the given views.
	 *
	 * @param spec - The job.
	 * @param views - The workers that may be used.
	 * @param fit - How to choose among places.
	 * @param packing - Where the guarantees lie, if not as in the present packing.
	 * @returns The tasks, or undefined when no place was found that leaves the guarantees intact.
	 */
	place(spec: JobSpec, views: readonly PlacementView[], fit: Fit, packing?: Packing): readonly PlacedTask[] | undefined {
		if (spec.repeatable) {
			// Work that can be stopped fills the blocks of guarantees first, which leaves the surplus to work that cannot.
			return (fit === 'best' ? placeGang(spec, this.#restrict(views, this.#blocksBy(this.#guard.packing(), 'all', () => true)), fit) : undefined)
				?? placeGang(spec, views, fit);
		}

		// Without any place at all, the more expensive choices below cannot succeed either.
		if (!placeGang(spec, views, fit)) {
			return undefined;
		}

		const blocks = packing ?? this.#guard.packing();
		for (const choice of this.#choices(spec.account, views, blocks)) {
			const tasks = placeGang(spec, choice(), fit);
			if (tasks && this.#guard.allows(spec, tasks)) {
				return tasks;
			}
		}

		return undefined;
	}

	/**
	 * Restricts views to the blocks that a packing sets aside for an account.
	 *
	 * @param account - The account.
	 * @param views - The views.
	 * @param packing - The packing.
	 * @returns The views with only those accelerators.
	 */
	ownBlocks(account: string, views: readonly PlacementView[], packing: Packing): readonly PlacementView[] {
		return this.#restrict(views, this.#blocksBy(packing, `own ${account}`, holder => holder === account));
	}

	#restrict(views: readonly PlacementView[], own: ReadonlyMap<string, ReadonlySet<number>>): readonly PlacementView[] {
		return views.flatMap(view => {
			const accelerators = own.get(view.workerId);
			return accelerators ? [{...view, free: view.free.map((free, index) => free && accelerators.has(index))}] : [];
		});
	}

	/** Own blocks first, then space that no other guarantee needs, then everything, then each rack alone. */
	#choices(account: string, views: readonly PlacementView[], packing: Packing): ReadonlyArray<() => readonly PlacementView[]> {
		const racks = [...new Set(views.map(view => view.rack))];
		return [
			() => this.ownBlocks(account, views, packing),
			() => this.#surplus(account, views, packing),
			() => views,
			...racks.length > 1 && racks.length <= MAX_RACKS_TRIED
				? racks.map(rack => () => views.filter(view => view.rack === rack))
				: [],
		];
	}

	#surplus(account: string, views: readonly PlacementView[], packing: Packing): readonly PlacementView[] {
		const others = this.#blocksBy(packing, `not ${account}`, holder => holder !== account);
		return views.map(view => {
			const accelerators = others.get(view.workerId);
			if (!accelerators) {
				return view;
			}

			const {capacity} = this.#cluster.workers.get(view.workerId)!.facts;
			const room = [...view.room];
			addTo(room, limitsOf(capacity), -accelerators.size / capacity.accelerators);
			return {...view, room, free: view.free.map((free, index) => free && !accelerators.has(index))};
		});
	}

	/** Blocks by worker; a packing does not change, so its blocks are worked out once for each question. */
	#blocksBy(packing: Packing, key: string, accepts: (account: string) => boolean): ReadonlyMap<string, ReadonlySet<number>> {
		if (this.#blocksOf !== packing) {
			this.#blocksOf = packing;
			this.#blocks.clear();
		}

		let blocks = this.#blocks.get(key);
		if (!blocks) {
			blocks = this.#collectBlocks(packing, accepts);
			this.#blocks.set(key, blocks);
		}

		return blocks;
	}

	#collectBlocks(packing: Packing, accepts: (account: string) => boolean): ReadonlyMap<string, ReadonlySet<number>> {
		const result = new Map<string, Set<number>>();
		for (const shape of this.#guard.shapes()) {
			if (!accepts(shape.account)) {
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

/** Racks that are tried one by one; more would cost too much in one decision. */
const MAX_RACKS_TRIED = 8;
