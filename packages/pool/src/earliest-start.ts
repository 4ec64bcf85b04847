import {addShapes} from './capacity.js';
import type {TaskShape} from './model.js';
import {type PlacementRequest, placeUnit, type CandidateWorker} from './placement.js';

/** Capacity that a running task releases at its expected end. */
export type ExpectedRelease = {readonly incarnation: string; readonly shape: TaskShape; readonly atMs: number};

/** When a waiting unit can start, and the worker incarnation for each member. */
export type EarliestStart = {readonly incarnations: readonly string[]; readonly atMs: number};

/** @returns The releases in the order in which {@link findEarliestStart} takes them. */
export function orderReleases(releases: readonly ExpectedRelease[]): readonly ExpectedRelease[] {
	return releases.toSorted((left, right) => left.atMs - right.atMs);
}

/**
 * Finds the earliest time at which a unit fits, by the expected ends of the running tasks.
 *
 * Keeps small tasks from starving a wide gang: the gang gets workers reserved, and only tasks that are expected to
 * end before its start are backfilled there.
 *
 * @param request - The waiting unit.
 * @param workers - The usable workers with their present free capacity.
 * @param orderedReleases - Expected ends of running tasks, the earliest first.
 * @returns The workers and the time, or undefined when the unit would not fit after all releases.
 */
export function findEarliestStart(request: PlacementRequest, workers: readonly CandidateWorker[], orderedReleases: readonly ExpectedRelease[]): EarliestStart | undefined {
	const placeAfterReleases = (count: number): readonly string[] | undefined => {
		const freeByIncarnation = new Map(workers.map(worker => [worker.incarnation, worker.free]));
		for (const {incarnation, shape} of orderedReleases.slice(0, count)) {
			const free = freeByIncarnation.get(incarnation);
			if (free) {
				freeByIncarnation.set(incarnation, addShapes(free, shape));
			}
		}

		return placeUnit(request, workers.map(worker => ({...worker, free: freeByIncarnation.get(worker.incarnation)!})));
	};

	let incarnations = placeAfterReleases(orderedReleases.length);
	if (!incarnations) {
		return undefined;
	}

	// Free capacity only grows with the number of releases, so bisection finds the smallest sufficient number.
	let [low, high] = [0, orderedReleases.length];
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		const found = placeAfterReleases(middle);
		if (found) {
			high = middle;
			incarnations = found;
		} else {
			low = middle + 1;
		}
	}

	return {incarnations, atMs: high === 0 ? Number.NEGATIVE_INFINITY : orderedReleases[high - 1]!.atMs};
}
