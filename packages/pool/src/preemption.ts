import {addShapes, fitsInto, subtractShapes} from './capacity.js';
import type {TaskShape} from './model.js';
import {candidateGroups, type PlacementRequest, type WorkerRoom} from './placement.js';

/** Work that may be stopped: a single run, or all runs of a gang. */
export type Victim = {
	/** Identifies the run or gang. */
	readonly id: string;
	/** What it takes, by worker. */
	readonly shapes: ReadonlyMap<string, TaskShape>;
	/** Core-seconds that are lost when it is stopped. */
	readonly lostCoreSeconds: number;
};

/** Workers for all members, and what has to be stopped first. */
export type PreemptionPlan = {
	readonly lives: readonly string[];
	readonly victims: readonly string[];
	readonly lostCoreSeconds: number;
};

type Trial = {
	readonly free: Map<string, TaskShape>;
	readonly taken: Map<string, number>;
	readonly stopped: Set<string>;
	lostCoreSeconds: number;
};

/**
 * Chooses workers for a job of the highest priority and the work that makes room for it.
 *
 * Answers the crest at which guaranteed jobs come while others use their accelerators: the members go one
 * by one where the least unsaved work is lost.
 *
 * @param request - What is to be placed.
 * @param rooms - The usable workers.
 * @param victims - What may be stopped.
 * @returns The cheapest plan over the groups of workers, or undefined when even stopping all is not enough.
 */
export function planPreemption(request: PlacementRequest, rooms: readonly WorkerRoom[], victims: readonly Victim[]): PreemptionPlan | undefined {
	let best: PreemptionPlan | undefined;
	for (const group of candidateGroups(request, rooms)) {
		const plan = planWithin(request, group, victims);
		if (plan && (!best || plan.lostCoreSeconds < best.lostCoreSeconds)) {
			best = plan;
		}
	}

	return best;
}

function planWithin(request: PlacementRequest, group: readonly WorkerRoom[], victims: readonly Victim[]): PreemptionPlan | undefined {
	const trial: Trial = {
		free: new Map(group.map(room => [room.life, room.free])),
		taken: new Map(group.map(room => [room.life, room.sameStepCount])),
		stopped: new Set(),
		lostCoreSeconds: 0,
	};
	const {shape, maxPerWorker} = request.step;
	const lives: string[] = [];
	for (let member = 0; member < request.count; member++) {
		let best: {life: string; chosen: readonly Victim[]; cost: number} | undefined;
		for (const room of group) {
			if (maxPerWorker !== undefined && trial.taken.get(room.life)! >= maxPerWorker) {
				continue;
			}

			const chosen = cheapestVictims(room.life, shape, trial, victims);
			if (!chosen) {
				continue;
			}

			const cost = chosen.reduce((sum, victim) => sum + victim.lostCoreSeconds, 0) + (room.hasFailedHere ? 1e6 : 0);
			if (!best || cost < best.cost) {
				best = {life: room.life, chosen, cost};
			}
		}

		if (!best) {
			return undefined;
		}

		for (const victim of best.chosen) {
			stopInTrial(victim, trial);
		}

		trial.free.set(best.life, subtractShapes(trial.free.get(best.life)!, shape));
		trial.taken.set(best.life, trial.taken.get(best.life)! + 1);
		lives.push(best.life);
	}

	return {lives, victims: [...trial.stopped], lostCoreSeconds: trial.lostCoreSeconds};
}

function stopInTrial(victim: Victim, trial: Trial): void {
	trial.stopped.add(victim.id);
	trial.lostCoreSeconds += victim.lostCoreSeconds;
	for (const [life, shape] of victim.shapes) {
		const free = trial.free.get(life);
		if (free) {
			trial.free.set(life, addShapes(free, shape));
		}
	}
}

/** Takes the cheapest victims on the worker until the shape fits, then drops those that are not needed. */
function cheapestVictims(life: string, shape: TaskShape, trial: Trial, victims: readonly Victim[]): readonly Victim[] | undefined {
	let free = trial.free.get(life)!;
	if (fitsInto(shape, free)) {
		return [];
	}

	const here = victims
		.filter(victim => victim.shapes.has(life) && !trial.stopped.has(victim.id))
		.toSorted((left, right) => left.lostCoreSeconds - right.lostCoreSeconds);
	const chosen: Victim[] = [];
	for (const victim of here) {
		chosen.push(victim);
		free = addShapes(free, victim.shapes.get(life)!);
		if (fitsInto(shape, free)) {
			return dropNeedless(chosen, life, shape, free);
		}
	}

	return undefined;
}

function dropNeedless(chosen: readonly Victim[], life: string, shape: TaskShape, free: TaskShape): readonly Victim[] {
	const kept: Victim[] = [];
	let room = free;
	for (const victim of chosen.toReversed()) {
		const without = subtractShapes(room, victim.shapes.get(life)!);
		if (fitsInto(shape, without)) {
			room = without;
		} else {
			kept.push(victim);
		}
	}

	return kept;
}
