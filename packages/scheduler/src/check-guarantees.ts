import {splitIntoShapes} from './guarantee-shape.js';
import {packShapes, type UnplacedShape} from './guarantee-packing.js';
import {scalarAmountsOf} from './scalar-resources.js';
import type {PackingWorker} from './packing-state.js';
import type {DeclaredRack, Guarantee} from './scheduler.js';

/**
 * Describes a shape that could not be placed.
 *
 * @param unplaced - The shape and the lost rack.
 * @returns A message for operators.
 */
export function describeUnplaced({shape, lostRack}: UnplacedShape): string {
	const {name, account, accelerators, count, adjacency} = shape.guarantee;
	const when = lostRack === undefined ? '' : ` after the loss of rack ${lostRack}`;
	return `guarantee ${name} of account ${account} (${count} x ${accelerators} accelerators, adjacency ${adjacency}) does not pack together with the other guarantees${when}`;
}

/**
 * Checks whether guarantees pack jointly on empty racks.
 *
 * @param racks - The declared racks of one failure domain.
 * @param guarantees - The guarantees of the same failure domain.
 * @returns Why the first guarantee does not pack, or undefined if all do.
 */
export function checkGuarantees(racks: readonly DeclaredRack[], guarantees: readonly Guarantee[]): string | undefined {
	const workers = racks.flatMap(({rack, workers: capacities}) => capacities.map((capacity, index): PackingWorker => ({
		workerId: `${rack}/${index}`, rack, accelerators: capacity.accelerators, capacity: scalarAmountsOf(capacity), pinned: [],
	})));
	const shapes = splitIntoShapes(guarantees, Math.max(0, ...workers.map(worker => worker.accelerators)));
	const [first] = packShapes(workers, shapes).unplaced;
	return first && describeUnplaced(first);
}
