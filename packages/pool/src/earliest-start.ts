import {addShapes} from './capacity.js';
import type {TaskShape} from './model.js';
import {type PlacementRequest, placeUnit, type WorkerRoom} from './placement.js';

/** Room that a running task gives back. */
export type ExpectedRelease = {readonly life: string; readonly shape: TaskShape; readonly atMs: number};

/** When and where a waiting unit can start. */
export type EarliestStart = {readonly lives: readonly string[]; readonly atMs: number};

/**
 * Finds the earliest time at which a unit fits, by the expected ends of what runs.
 *
 * Answers a pool that small tasks keep full: a wide gang gets workers reserved, and only tasks that end
 * before its start may use them.
 *
 * @param request - What waits.
 * @param rooms - The usable workers with their present room.
 * @param releases - Expected ends of running tasks, in any order.
 * @returns The workers and the time, or undefined when the unit does not fit even into empty workers.
 */
export function findEarliestStart(request: PlacementRequest, rooms: readonly WorkerRoom[], releases: readonly ExpectedRelease[]): EarliestStart | undefined {
	const ordered = releases.toSorted((left, right) => left.atMs - right.atMs);
	const placeAfter = (count: number): readonly string[] | undefined => {
		const free = new Map(rooms.map(room => [room.life, room.free]));
		for (const {life, shape} of ordered.slice(0, count)) {
			const present = free.get(life);
			if (present) {
				free.set(life, addShapes(present, shape));
			}
		}

		return placeUnit(request, rooms.map(room => ({...room, free: free.get(room.life)!})));
	};

	let lives = placeAfter(ordered.length);
	if (!lives) {
		return undefined;
	}

	// More ends never make less room, so the smallest sufficient number is found by bisection.
	let [low, high] = [0, ordered.length];
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		const found = placeAfter(middle);
		if (found) {
			high = middle;
			lives = found;
		} else {
			low = middle + 1;
		}
	}

	return {lives, atMs: high === 0 ? Number.NEGATIVE_INFINITY : ordered[high - 1]!.atMs};
}
