import type {GuaranteeShape} from './guarantee-shape.js';
import {PackingState, type PackingWorker, type ShapeBlock} from './packing-state.js';

/** A shape that could not be placed, now or after the loss of a rack. */
export type UnplacedShape = {readonly shape: GuaranteeShape; readonly lostRack?: string};

/** The blocks of each shape, and the shapes that could not be placed. */
export type Packing = {
	readonly blocks: ReadonlyMap<string, readonly ShapeBlock[]>;
	readonly unplaced: readonly UnplacedShape[];
};

function placeAll(
	workers: readonly PackingWorker[],
	shapes: readonly GuaranteeShape[],
	previousBlocks: ReadonlyMap<string, readonly ShapeBlock[]>,
	lostRack?: string,
): Packing & {readonly state: PackingState} {
	const state = new PackingState(workers);
	const blocks = new Map<string, readonly ShapeBlock[]>();
	for (const shape of shapes) {
		const previous = previousBlocks.get(shape.key);
		if (previous && state.tryReserve(shape, previous)) {
			blocks.set(shape.key, previous);
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

const NO_BLOCKS: ReadonlyMap<string, readonly ShapeBlock[]> = new Map();

/** Checks whether the affected shapes can be relocated outside a lost rack. The state is restored afterwards. */
function canRelocate(
	state: PackingState,
	affected: readonly GuaranteeShape[],
	blocks: ReadonlyMap<string, readonly ShapeBlock[]>,
	rack: string,
): boolean {
	for (const shape of affected) {
		state.release(shape, blocks.get(shape.key)!);
	}

	const relocated: Array<readonly [GuaranteeShape, readonly ShapeBlock[]]> = [];
	for (const shape of affected) {
		const found = state.place(shape, rack, 'any');
		if (!found) {
			break;
		}

		relocated.push([shape, found]);
	}

	for (const [shape, found] of relocated) {
		state.release(shape, found);
	}

	for (const shape of affected) {
		state.tryReserve(shape, blocks.get(shape.key)!);
	}

	return relocated.length === affected.length;
}

function unplacedAfterRackLoss(workers: readonly PackingWorker[], shapes: readonly GuaranteeShape[], base: Packing): readonly UnplacedShape[] {
	const protectedShapes = shapes.filter(shape => shape.guarantee.survivesRackLoss && base.blocks.has(shape.key));
	if (protectedShapes.length === 0) {
		return [];
	}

	const rackOf = new Map(workers.map(worker => [worker.workerId, worker.rack]));
	const byRack = new Map<string, GuaranteeShape[]>();
	for (const shape of protectedShapes) {
		for (const rack of new Set(base.blocks.get(shape.key)!.map(block => rackOf.get(block.workerId)!))) {
			byRack.set(rack, [...byRack.get(rack) ?? [], shape]);
		}
	}

	const {state, blocks} = placeAll(workers, protectedShapes, base.blocks);
	const unplaced: UnplacedShape[] = [];
	for (const [rack, affected] of byRack) {
		if (!canRelocate(state, affected, blocks, rack)) {
			// The unaffected shapes may have to move as well, so all are packed anew without that rack.
			unplaced.push(...placeAll(workers.filter(worker => worker.rack !== rack), protectedShapes, NO_BLOCKS, rack).unplaced);
		}
	}

	return unplaced;
}

/**
 * Packs all shapes jointly around the pinned work. The search is greedy: a packing that it finds is valid, but it
 * may miss one that an exhaustive search would find.
 *
 * @param workers - The workers with their pinned allocations.
 * @param shapes - The shapes, hardest to place first.
 * @param previousBlocks - Blocks of an earlier packing, kept where they are still available.
 * @returns The packing, with every shape that could not be placed now or after the loss of one rack.
 */
export function packShapes(
	workers: readonly PackingWorker[],
	shapes: readonly GuaranteeShape[],
	previousBlocks: ReadonlyMap<string, readonly ShapeBlock[]> = NO_BLOCKS,
): Packing {
	let base: Packing = placeAll(workers, shapes, previousBlocks);
	if (base.unplaced.length > 0 && previousBlocks.size > 0) {
		const repacked = placeAll(workers, shapes, NO_BLOCKS);
		base = repacked.unplaced.length < base.unplaced.length ? repacked : base;
	}

	return {blocks: base.blocks, unplaced: [...base.unplaced, ...unplacedAfterRackLoss(workers, shapes, base)]};
}

/**
 * Compares two packings.
 *
 * @param before - Unplaced shapes before a change.
 * @param after - Unplaced shapes after it.
 * @returns Whether no guarantee has more unplaced shapes, now or after the loss of any rack.
 */
export function isNoWorse(before: readonly UnplacedShape[], after: readonly UnplacedShape[]): boolean {
	const remainingByKey = new Map<string, number>();
	for (const unplaced of before) {
		remainingByKey.set(unplacedKey(unplaced), (remainingByKey.get(unplacedKey(unplaced)) ?? 0) + 1);
	}

	return after.every(unplaced => {
		const remaining = (remainingByKey.get(unplacedKey(unplaced)) ?? 0) - 1;
		remainingByKey.set(unplacedKey(unplaced), remaining);
		return remaining >= 0;
	});
}

function unplacedKey({shape, lostRack}: UnplacedShape): string {
	return `${shape.guarantee.name}@${lostRack ?? ''}`;
}
