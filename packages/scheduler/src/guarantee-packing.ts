import type {GuaranteeShape} from './guarantee-shape.js';
import {PackingState, type PackingWorker, type ShapeBlock} from './packing-state.js';

/** A shape that found no place, in the present state or after the loss of a rack. */
export type UnplacedShape = {readonly shape: GuaranteeShape; readonly lostRack?: string};

/** Where each shape lies, and those that found no place. */
export type Packing = {
	readonly blocks: ReadonlyMap<string, readonly ShapeBlock[]>;
	readonly unplaced: readonly UnplacedShape[];
};

function placeAll(
	workers: readonly PackingWorker[],
	shapes: readonly GuaranteeShape[],
	earlier: ReadonlyMap<string, readonly ShapeBlock[]>,
	lostRack?: string,
): Packing & {readonly state: PackingState} {
	const state = new PackingState(workers);
	const blocks = new Map<string, readonly ShapeBlock[]>();
	for (const shape of shapes) {
		const kept = earlier.get(shape.key);
		if (kept && state.keep(shape, kept)) {
			blocks.set(shape.key, kept);
		}
	}

	const unplaced: UnplacedShape[] = [];
	for (const shape of shapes) {
		if (blocks.has(shape.key)) {
			continue;
		}

		const found = state.place(shape, lostRack);
		if (found) {
			blocks.set(shape.key, found);
		} else {
			unplaced.push({shape, lostRack});
		}
	}

	return {state, blocks, unplaced};
}

const NOTHING: ReadonlyMap<string, readonly ShapeBlock[]> = new Map();

/** Checks one rack's loss by moving the shapes on it aside, and puts them back. */
function movesAside(
	state: PackingState,
	affected: readonly GuaranteeShape[],
	blocks: ReadonlyMap<string, readonly ShapeBlock[]>,
	rack: string,
): boolean {
	for (const shape of affected) {
		state.release(shape, blocks.get(shape.key)!);
	}

	const moved: Array<readonly [GuaranteeShape, readonly ShapeBlock[]]> = [];
	for (const shape of affected) {
		const found = state.place(shape, rack, 'any');
		if (!found) {
			break;
		}

		moved.push([shape, found]);
	}

	for (const [shape, found] of moved) {
		state.release(shape, found);
	}

	for (const shape of affected) {
		state.keep(shape, blocks.get(shape.key)!);
	}

	return moved.length === affected.length;
}

function unplacedAfterRackLoss(workers: readonly PackingWorker[], shapes: readonly GuaranteeShape[], base: Packing): readonly UnplacedShape[] {
	const survivors = shapes.filter(shape => shape.guarantee.survivesRackLoss && base.blocks.has(shape.key));
	if (survivors.length === 0) {
		return [];
	}

	const rackOf = new Map(workers.map(worker => [worker.workerId, worker.rack]));
	const byRack = new Map<string, GuaranteeShape[]>();
	for (const shape of survivors) {
		for (const rack of new Set(base.blocks.get(shape.key)!.map(block => rackOf.get(block.workerId)!))) {
			byRack.set(rack, [...byRack.get(rack) ?? [], shape]);
		}
	}

	const {state, blocks} = placeAll(workers, survivors, base.blocks);
	const unplaced: UnplacedShape[] = [];
	for (const [rack, affected] of byRack) {
		if (!movesAside(state, affected, blocks, rack)) {
			// The remaining shapes may have to move as well, so that rack is packed anew.
			unplaced.push(...placeAll(workers.filter(worker => worker.rack !== rack), survivors, NOTHING, rack).unplaced);
		}
	}

	return unplaced;
}

/**
 * Packs all shapes jointly around the work that cannot be stopped. The search is greedy: a packing that it
 * finds exists, but it may miss one that an exhaustive search would find.
 *
 * @param workers - The workers with their fixed work.
 * @param shapes - The shapes, hardest first.
 * @param earlier - Blocks of an earlier packing, kept where they still hold.
 * @returns The packing, with every shape that found no place now or after the loss of one rack.
 */
export function packShapes(
	workers: readonly PackingWorker[],
	shapes: readonly GuaranteeShape[],
	earlier: ReadonlyMap<string, readonly ShapeBlock[]> = NOTHING,
): Packing {
	let base: Packing = placeAll(workers, shapes, earlier);
	if (base.unplaced.length > 0 && earlier.size > 0) {
		const fresh = placeAll(workers, shapes, NOTHING);
		base = fresh.unplaced.length < base.unplaced.length ? fresh : base;
	}

	return {blocks: base.blocks, unplaced: [...base.unplaced, ...unplacedAfterRackLoss(workers, shapes, base)]};
}

/**
 * Compares two packings.
 *
 * @param before - Shapes without a place before a change.
 * @param after - Shapes without a place after it.
 * @returns Whether no guarantee has more shapes without a place, now or after the loss of any rack.
 */
export function isNoWorse(before: readonly UnplacedShape[], after: readonly UnplacedShape[]): boolean {
	const missing = new Map<string, number>();
	for (const unplaced of before) {
		missing.set(keyOf(unplaced), (missing.get(keyOf(unplaced)) ?? 0) + 1);
	}

	return after.every(unplaced => {
		const left = (missing.get(keyOf(unplaced)) ?? 0) - 1;
		missing.set(keyOf(unplaced), left);
		return left >= 0;
	});
}

function keyOf({shape, lostRack}: UnplacedShape): string {
	return `${shape.guarantee.name}@${lostRack ?? ''}`;
}
