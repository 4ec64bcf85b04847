import {addShapes, fitsInto, subtractShapes} from './capacity.js';
import type {TaskShape} from './model.js';
import {candidateGroups, type PlacementRequest, type CandidateWorker} from './placement.js';

/** Work that may be stopped: a single run, or all runs of a gang. */
export type Victim = {
	/** Identifies the run or gang. */
	readonly id: string;
	/** The capacity that it takes, by worker incarnation. */
	readonly shapes: ReadonlyMap<string, TaskShape>;
	/** Core-seconds that are lost when it is stopped. */
	readonly lostCoreSeconds: number;
};

/** Workers for all members, and the work to stop first. */
export type PreemptionPlan = {
	readonly incarnations: readonly string[];
	readonly victims: readonly string[];
	readonly lostCoreSeconds: number;
};

/** Where speeds count, the workers tried first are left only if others lose less than this share of the work there. */
const MIN_SAVED_SHARE = 0.5;

/** Victims by the worker incarnations on which they run, those that lose the least work first. */
type VictimIndex = ReadonlyMap<string, readonly Victim[]>;

type Trial = {
	readonly free: Map<string, TaskShape>;
	readonly stepTaskCounts: Map<string, number>;
	readonly stopped: Set<string>;
	lostCoreSeconds: number;
};

/**
 * Chooses workers for an urgent unit and the work to stop there.
 *
 * Needed under peak load, when guaranteed jobs arrive while other jobs use their accelerators. Members are placed
 * one by one where the least unsaved work is lost.
 *
 * @param request - What is to be placed.
 * @param workers - The usable workers.
 * @param victims - What may be stopped.
 * @returns The cheapest plan over the groups of workers (where speeds count, one on the preferred workers if it is not much dearer), or undefined when stopping all victims is not enough.
 */
export function planPreemption(request: PlacementRequest, workers: readonly CandidateWorker[], victims: readonly Victim[]): PreemptionPlan | undefined {
	let best: PreemptionPlan | undefined;
	const victimsByIncarnation = indexVictims(victims);
	const lessThan = request.prefersFast === undefined ? 1 : MIN_SAVED_SHARE;
	for (const group of candidateGroups(request, workers)) {
		const plan = planWithinGroup(request, group, victimsByIncarnation);
		if (plan && (!best || plan.lostCoreSeconds < best.lostCoreSeconds * lessThan)) {
			best = plan;
		}
	}

	return best;
}

function indexVictims(victims: readonly Victim[]): VictimIndex {
	const index = new Map<string, Victim[]>();
	for (const victim of victims.toSorted((left, right) => left.lostCoreSeconds - right.lostCoreSeconds)) {
		for (const incarnation of victim.shapes.keys()) {
			const onWorker = index.get(incarnation) ?? [];
			onWorker.push(victim);
			index.set(incarnation, onWorker);
		}
	}

	return index;
}

function planWithinGroup(request: PlacementRequest, group: readonly CandidateWorker[], victims: VictimIndex): PreemptionPlan | undefined {
	const trial: Trial = {
		free: new Map(group.map(worker => [worker.incarnation, worker.free])),
		stepTaskCounts: new Map(group.map(worker => [worker.incarnation, worker.sameStepCount])),
		stopped: new Set(),
		lostCoreSeconds: 0,
	};
	const {shape, maxPerWorker} = request.step;
	const incarnations: string[] = [];
	for (let member = 0; member < request.count; member++) {
		let best: {incarnation: string; chosen: readonly Victim[]; cost: number} | undefined;
		for (const worker of group) {
			if (maxPerWorker !== undefined && trial.stepTaskCounts.get(worker.incarnation)! >= maxPerWorker) {
				continue;
			}

			const chosen = cheapestVictims(worker.incarnation, shape, trial, victims);
			if (!chosen) {
				continue;
			}

			const cost = chosen.reduce((sum, victim) => sum + victim.lostCoreSeconds, 0) + (worker.hasFailedHere ? 1e6 : 0);
			if (!best || cost < best.cost) {
				best = {incarnation: worker.incarnation, chosen, cost};
			}
		}

		if (!best) {
			return undefined;
		}

		for (const victim of best.chosen) {
			applyStop(victim, trial);
		}

		trial.free.set(best.incarnation, subtractShapes(trial.free.get(best.incarnation)!, shape));
		trial.stepTaskCounts.set(best.incarnation, trial.stepTaskCounts.get(best.incarnation)! + 1);
		incarnations.push(best.incarnation);
	}

	return {incarnations, victims: [...trial.stopped], lostCoreSeconds: trial.lostCoreSeconds};
}

function applyStop(victim: Victim, trial: Trial): void {
	trial.stopped.add(victim.id);
	trial.lostCoreSeconds += victim.lostCoreSeconds;
	for (const [incarnation, shape] of victim.shapes) {
		const free = trial.free.get(incarnation);
		if (free) {
			trial.free.set(incarnation, addShapes(free, shape));
		}
	}
}

/** Adds victims on the worker, the cheapest first, until the shape fits, then drops those that are not needed. */
function cheapestVictims(incarnation: string, shape: TaskShape, trial: Trial, victims: VictimIndex): readonly Victim[] | undefined {
	let free = trial.free.get(incarnation)!;
	if (fitsInto(shape, free)) {
		return [];
	}

	const chosen: Victim[] = [];
	for (const victim of victims.get(incarnation) ?? []) {
		if (trial.stopped.has(victim.id)) {
			continue;
		}

		chosen.push(victim);
		free = addShapes(free, victim.shapes.get(incarnation)!);
		if (fitsInto(shape, free)) {
			return dropUnneeded(chosen, incarnation, shape, free);
		}
	}

	return undefined;
}

function dropUnneeded(chosen: readonly Victim[], incarnation: string, shape: TaskShape, free: TaskShape): readonly Victim[] {
	const kept: Victim[] = [];
	let remaining = free;
	for (const victim of chosen.toReversed()) {
		const freeWithoutVictim = subtractShapes(remaining, victim.shapes.get(incarnation)!);
		if (fitsInto(shape, freeWithoutVictim)) {
			remaining = freeWithoutVictim;
		} else {
			kept.push(victim);
		}
	}

	return kept;
}
