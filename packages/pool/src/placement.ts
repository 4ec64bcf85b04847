import {fitsInto, subtractShapes} from './capacity.js';
import type {StepSpec, TaskShape} from './model.js';

/** A worker as placement sees it. */
export type WorkerRoom = {
	readonly life: string;
	readonly rack: string;
	readonly labels: readonly string[];
	readonly capacity: TaskShape;
	readonly free: TaskShape;
	/** Observed run time against estimates; 1 is normal. */
	readonly slowness: number;
	/** Tasks of the step that is being placed which are on the worker already. */
	readonly sameStepCount: number;
	/** The task has failed on this worker before. */
	readonly hasFailedHere: boolean;
	/** The worker is doubtful, and the unit is one that a further failure would cost its job. */
	readonly isTooRisky: boolean;
};

/** What is to be placed at once: a single task, or all members of a gang. */
export type PlacementRequest = {
	readonly step: StepSpec;
	readonly count: number;
	/** Whether the step may run away from its preferred rack or on several racks. */
	readonly mayBeRemote: boolean;
	/** Rack on which other tasks of a step that prefers one rack run already. */
	readonly stepRack?: string;
};

/** Weight of a worker that is slow, against the leftover of a fit. */
const SLOWNESS_WEIGHT = 2;

/** Puts a worker on which the task failed behind all others. */
const FAILED_HERE_WEIGHT = 100;

/** Puts a worker that is too risky behind those that are not, but before one on which the task failed. */
const RISK_WEIGHT = 50;

/** Observed slowness up to which a worker counts as normal; the workers' speeds differ by a quarter. */
const NORMAL_SLOWNESS = 1.5;

type Candidate = {readonly room: WorkerRoom; free: TaskShape; taken: number};

/**
 * Chooses workers for a task or a gang without stopping anything.
 *
 * Answers ordinary load: best fit keeps whole workers free for wide tasks, and the rack preference avoids
 * the remote factor.
 *
 * @param request - What is to be placed.
 * @param rooms - The usable workers.
 * @returns The life of the worker for each member, or undefined when they do not all fit.
 */
export function placeUnit(request: PlacementRequest, rooms: readonly WorkerRoom[]): readonly string[] | undefined {
	for (const group of candidateGroups(request, rooms)) {
		const lives = fill(request, group);
		if (lives) {
			return lives;
		}
	}

	return undefined;
}

/**
 * Lists the groups of workers to try, the best first.
 *
 * @param request - What is to be placed.
 * @param rooms - The usable workers.
 * @returns Workers of the preferred rack, of each single rack, or all, as the step asks for it.
 */
export function candidateGroups(request: PlacementRequest, rooms: readonly WorkerRoom[]): ReadonlyArray<readonly WorkerRoom[]> {
	const {step} = request;
	const labelled = rooms.filter(room => step.requiredLabel === undefined || room.labels.includes(step.requiredLabel));
	const safe = labelled.filter(room => !room.isTooRisky);
	// Waiting for a safe worker makes sense only where the unit fits into safe ones at all.
	const allowed = safe.length < labelled.length && !canEverFit(request, [safe]) ? labelled : safe;
	const groups: Array<readonly WorkerRoom[]> = [];
	const rack = step.preferredRack ?? request.stepRack;
	if (rack !== undefined) {
		groups.push(allowed.filter(room => room.rack === rack));
	} else if (step.prefersOneRack && request.count > 1) {
		groups.push(...racksByFreeAccelerators(allowed));
	}

	if (groups.length === 0 || request.mayBeRemote || !canEverFit(request, groups)) {
		groups.push(allowed);
	}

	return groups;
}

/** Orders racks so that the fullest one comes first, which keeps another whole for wide gangs. */
function racksByFreeAccelerators(rooms: readonly WorkerRoom[]): ReadonlyArray<readonly WorkerRoom[]> {
	const racks = new Map<string, WorkerRoom[]>();
	for (const room of rooms) {
		const members = racks.get(room.rack) ?? [];
		members.push(room);
		racks.set(room.rack, members);
	}

	const freeAccelerators = (members: readonly WorkerRoom[]): number => members.reduce((sum, room) => sum + room.free.accelerators, 0);
	return [...racks.values()].toSorted((left, right) => freeAccelerators(left) - freeAccelerators(right));
}

function canEverFit(request: PlacementRequest, groups: ReadonlyArray<readonly WorkerRoom[]>): boolean {
	return groups.some(group => fill(request, group.map(room => ({
		...room, free: room.capacity, sameStepCount: 0, hasFailedHere: false,
	}))) !== undefined);
}

function fill(request: PlacementRequest, rooms: readonly WorkerRoom[]): readonly string[] | undefined {
	const candidates: Candidate[] = rooms.map(room => ({room, free: room.free, taken: room.sameStepCount}));
	const {shape, maxPerWorker} = request.step;
	const lives: string[] = [];
	for (let member = 0; member < request.count; member++) {
		let best: Candidate | undefined;
		let bestScore = Number.POSITIVE_INFINITY;
		for (const candidate of candidates) {
			if ((maxPerWorker !== undefined && candidate.taken >= maxPerWorker) || !fitsInto(shape, candidate.free)) {
				continue;
			}

			const score = scoreOf(candidate, shape);
			if (score < bestScore) {
				best = candidate;
				bestScore = score;
			}
		}

		if (!best) {
			return undefined;
		}

		best.free = subtractShapes(best.free, shape);
		best.taken++;
		lives.push(best.room.life);
	}

	return lives;
}

/** Lower is better: the room left over after the task, in shares of the worker. */
function scoreOf({room, free}: Candidate, shape: TaskShape): number {
	const {capacity} = room;
	const left = subtractShapes(free, shape);
	const share = (value: number, of: number): number => (of > 0 ? value / of : 0);
	return (2 * share(left.accelerators, capacity.accelerators))
		+ share(left.cpuMillis, capacity.cpuMillis)
		+ share(left.memoryMb, capacity.memoryMb)
		+ (SLOWNESS_WEIGHT * Math.max(0, room.slowness - NORMAL_SLOWNESS))
		+ (room.hasFailedHere ? FAILED_HERE_WEIGHT : 0)
		+ (room.isTooRisky ? RISK_WEIGHT : 0);
}
