import {fitsInto, subtractShapes} from './capacity.js';
import type {StepSpec, TaskShape} from './model.js';

/** A worker on which a unit may be placed. */
export type CandidateWorker = {
	readonly incarnation: string;
	readonly rack: string;
	readonly labels: readonly string[];
	readonly capacity: TaskShape;
	readonly free: TaskShape;
	/** Observed run time divided by the estimate; 1 is normal. */
	readonly slowness: number;
	/** Number of tasks of the same step that run on the worker already. */
	readonly sameStepCount: number;
	/** One of the tasks has failed on this worker before. */
	readonly hasFailedHere: boolean;
	/** The worker is quarantined, or it is unreliable and the unit cannot afford a failure. */
	readonly isTooRisky: boolean;
	/** How far the unit should be kept apart from the work there, since one of them may crash the worker; 0 to 9. */
	readonly crashExposure: number;
	/** Expected cost of tasks that slow each other down there, as a share of their run times; 0 without any. */
	readonly interference: number;
	/** Whether it is one of the fast workers of a service whose speeds differ much. */
	readonly isFast: boolean;
	/** Added to the score of a fit for the worker's speed; 0 where speeds do not count. */
	readonly speedPenalty: number;
};

/** What is to be placed together: a single task, or all members of a gang. */
export type PlacementRequest = {
	readonly step: StepSpec;
	readonly count: number;
	/** Whether the step may run away from its preferred rack or on several racks. */
	readonly mayBeRemote: boolean;
	/** Whether it may run on workers that are too risky although it would fit onto others when they are empty. */
	readonly mayBeRisky: boolean;
	/** Whether a failure would end the job; then a risky worker on which one of the tasks has failed is no choice. */
	readonly isLastAttempt: boolean;
	/** Rack on which other tasks of the step run, if the step prefers one rack. */
	readonly stepRack?: string;
	/** The same cost of tasks of the unit itself on one worker. */
	readonly ownInterference: number;
	/** Whether fast workers are tried before slow ones, or after them; absent where speeds do not count. */
	readonly prefersFast?: boolean | undefined;
};

/** Weight of a worker's slowness against the capacity that the task leaves unused. */
const SLOWNESS_WEIGHT = 2;

/** Ranks a worker on which the task failed behind all others. */
const FAILED_HERE_WEIGHT = 100;

/** Ranks a worker that is too risky behind those that are not, but before one on which the task failed. */
const TOO_RISKY_WEIGHT = 50;

/** Ranks a worker where a crash would hit other work behind the others, but before one that is too risky. */
const CRASH_EXPOSURE_WEIGHT = 5;

/**
 * Ranks a worker where tasks slow each other down behind all where they do not, however well the task fits: unused
 * capacity scores at most 4. The cost itself decides between several such workers.
 */
const INTERFERENCE_WEIGHT = 4.1;
const MAX_INTERFERENCE = 4;

/** Slowness up to which a worker counts as normal; the workers' speeds differ by a quarter. */
const MAX_NORMAL_SLOWNESS = 1.5;

type FillState = {readonly worker: CandidateWorker; free: TaskShape; stepTaskCount: number; unitTaskCount: number};

/**
 * Chooses workers for a task or a gang without preemption.
 *
 * Best fit keeps whole workers free for wide tasks, and the rack preference avoids the remote factor.
 *
 * @param request - What is to be placed.
 * @param workers - The usable workers.
 * @returns The worker's incarnation for each member, or undefined when not all members fit.
 */
export function placeUnit(request: PlacementRequest, workers: readonly CandidateWorker[]): readonly string[] | undefined {
	for (const group of candidateGroups(request, workers)) {
		const incarnations = placeMembers(request, group);
		if (incarnations) {
			return incarnations;
		}
	}

	return undefined;
}

/**
 * Lists the groups of workers to try, the best first.
 *
 * @param request - What is to be placed.
 * @param workers - The usable workers.
 * @returns Workers of the preferred rack, of each single rack, or all, depending on the step.
 */
export function candidateGroups(request: PlacementRequest, workers: readonly CandidateWorker[]): ReadonlyArray<readonly CandidateWorker[]> {
	const {step} = request;
	const eligible = workers.filter(worker => step.requiredLabel === undefined || worker.labels.includes(step.requiredLabel));
	const safe = eligible.filter(worker => !worker.isTooRisky);
	// Waiting for a safe worker makes sense only if the unit would fit onto safe workers when they are empty.
	const allowed = safe.length < eligible.length && !canEverFit(request, [safe]) ? eligible : safe;
	const groups: Array<readonly CandidateWorker[]> = [];
	const rack = step.preferredRack ?? request.stepRack;
	if (rack !== undefined) {
		groups.push(allowed.filter(worker => worker.rack === rack));
	} else if (step.prefersOneRack && request.count > 1) {
		groups.push(...racksByFreeAccelerators(allowed));
	}

	const nearGroups = splitBySpeed(request, groups);
	const farGroups: Array<readonly CandidateWorker[]> = [];
	if (groups.length === 0 || request.mayBeRemote || !canEverFit(request, groups)) {
		farGroups.push(allowed);
	}

	if (request.mayBeRisky && allowed.length < eligible.length) {
		farGroups.push(eligible.filter(worker => !(request.isLastAttempt && worker.isTooRisky && worker.hasFailedHere)));
	}

	return [...nearGroups, ...farGroups.flatMap(group => splitBySpeed(request, [group]))];
}

/**
 * Puts groups of one speed class before those of all workers, since the slowest member sets the pace of a gang. They leave
 * out workers with a disadvantage that may be worse than a mixed gang; for single tasks the score decides.
 */
function splitBySpeed({prefersFast, count}: PlacementRequest, groups: ReadonlyArray<readonly CandidateWorker[]>): ReadonlyArray<readonly CandidateWorker[]> {
	if (prefersFast === undefined || count === 1) {
		return groups;
	}

	const isSound = ({hasFailedHere, crashExposure, slowness}: CandidateWorker): boolean => !hasFailedHere && crashExposure === 0 && slowness <= MAX_NORMAL_SLOWNESS;
	const ofOneSpeed = [prefersFast, !prefersFast].flatMap(isFast => groups.map(group => group.filter(worker => worker.isFast === isFast && isSound(worker))));
	return [...ofOneSpeed.filter(group => group.length > 0), ...groups];
}

/** Orders racks by free accelerators, the fullest rack first, which keeps whole racks free for wide gangs. */
function racksByFreeAccelerators(workers: readonly CandidateWorker[]): ReadonlyArray<readonly CandidateWorker[]> {
	const racks = new Map<string, CandidateWorker[]>();
	for (const worker of workers) {
		const members = racks.get(worker.rack) ?? [];
		members.push(worker);
		racks.set(worker.rack, members);
	}

	const freeAccelerators = (members: readonly CandidateWorker[]): number => members.reduce((sum, worker) => sum + worker.free.accelerators, 0);
	return [...racks.values()].toSorted((left, right) => freeAccelerators(left) - freeAccelerators(right));
}

function canEverFit(request: PlacementRequest, groups: ReadonlyArray<readonly CandidateWorker[]>): boolean {
	return groups.some(group => placeMembers(request, group.map(worker => ({
		...worker, free: worker.capacity, sameStepCount: 0, hasFailedHere: false,
	}))) !== undefined);
}

function placeMembers(request: PlacementRequest, workers: readonly CandidateWorker[]): readonly string[] | undefined {
	const states: FillState[] = workers.map(worker => ({worker, free: worker.free, stepTaskCount: worker.sameStepCount, unitTaskCount: 0}));
	const {step: {shape, maxPerWorker}, ownInterference} = request;
	const incarnations: string[] = [];
	for (let member = 0; member < request.count; member++) {
		let best: FillState | undefined;
		let bestScore = Number.POSITIVE_INFINITY;
		for (const state of states) {
			if ((maxPerWorker !== undefined && state.stepTaskCount >= maxPerWorker) || !fitsInto(shape, state.free)) {
				continue;
			}

			const score = scoreOf(state, shape, ownInterference);
			if (score < bestScore) {
				best = state;
				bestScore = score;
			}
		}

		if (!best) {
			return undefined;
		}

		best.free = subtractShapes(best.free, shape);
		best.stepTaskCount++;
		best.unitTaskCount++;
		incarnations.push(best.worker.incarnation);
	}

	return incarnations;
}

/** Score of a fit, lower is better: the shares of the worker's capacity that the task leaves unused, plus penalties. */
function scoreOf({worker, free, unitTaskCount}: FillState, shape: TaskShape, ownInterference: number): number {
	const {capacity} = worker;
	const left = subtractShapes(free, shape);
	const interference = worker.interference + (unitTaskCount > 0 ? ownInterference : 0);
	const share = (value: number, total: number): number => (total > 0 ? value / total : 0);
	return (2 * share(left.accelerators, capacity.accelerators))
		+ share(left.cpuMillis, capacity.cpuMillis)
		+ share(left.memoryMb, capacity.memoryMb)
		+ (SLOWNESS_WEIGHT * Math.max(0, worker.slowness - MAX_NORMAL_SLOWNESS))
		+ worker.speedPenalty
		+ (worker.crashExposure * CRASH_EXPOSURE_WEIGHT)
		+ (interference > 0 ? INTERFERENCE_WEIGHT + Math.min(MAX_INTERFERENCE, interference) : 0)
		+ (worker.hasFailedHere ? FAILED_HERE_WEIGHT : 0)
		+ (worker.isTooRisky ? TOO_RISKY_WEIGHT : 0);
}
