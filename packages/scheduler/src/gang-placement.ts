import type {JobSpec} from '@amaranthsail/core';
import {blockNumbers, blockSizeOf, freeBlocks, surroundingBlock} from './accelerator-blocks.js';
import {limitsOf, timesWithin} from './scalar-resources.js';
import type {PlacedTask} from './scheduler.js';

/** What a placement may use of one worker. */
export type PlacementView = {
	readonly workerId: string;
	readonly rack: string;
	readonly endpointId: string;
	readonly free: readonly boolean[];
	readonly room: readonly number[];
};

/** Ways to choose among workers that fit. */
export type Fit = 'first' | 'best';

type Candidate = {
	readonly view: PlacementView;
	readonly starts: readonly number[];
	readonly taskCount: number;
	readonly freeCount: number;
	/** Size of the free block that the first task breaks. */
	readonly surrounding: number;
};

function candidateOf(view: PlacementView, size: number, wanted: readonly number[], fit: Fit): Candidate | undefined {
	const byRoom = timesWithin(wanted, view.room);
	if (byRoom === 0) {
		return undefined;
	}

	const starts = size === 0 ? [] : freeBlocks(view.free, size);
	if (size > 0 && starts.length === 0) {
		return undefined;
	}

	const freeCount = view.free.filter(Boolean).length;
	const widths = new Map(starts.map(start => [start, surroundingBlock(view.free, start, size)]));
	if (fit === 'best') {
		starts.sort((left, right) => widths.get(left)! - widths.get(right)!);
	}

	return {
		view, starts, freeCount, taskCount: size === 0 ? byRoom : Math.min(byRoom, starts.length), surrounding: widths.get(starts[0]!) ?? 0,
	};
}

function groupsOf(spec: JobSpec, candidates: readonly Candidate[]): ReadonlyArray<readonly Candidate[]> {
	if (spec.taskCount === 1 || spec.adjacency === 'failureDomain') {
		return [candidates];
	}

	if (spec.adjacency === 'worker') {
		return candidates.map(candidate => [candidate]);
	}

	const racks = new Map<string, Candidate[]>();
	for (const candidate of candidates) {
		const rack = racks.get(candidate.view.rack);
		if (rack) {
			rack.push(candidate);
		} else {
			racks.set(candidate.view.rack, [candidate]);
		}
	}

	return [...racks.values()];
}

/** Puts the tightest worker that takes all tasks first; without one, those that take most, to use few workers. */
function byBestFit(taskCount: number): (left: Candidate, right: Candidate) => number {
	return (left, right) => {
		const leftAll = left.taskCount >= taskCount;
		const rightAll = right.taskCount >= taskCount;
		if (leftAll && rightAll) {
			return left.surrounding - right.surrounding || left.freeCount - right.freeCount;
		}

		return Number(rightAll) - Number(leftAll) || right.taskCount - left.taskCount || left.freeCount - right.freeCount;
	};
}

function capacityOf(group: readonly Candidate[]): number {
	let sum = 0;
	for (const candidate of group) {
		sum += candidate.taskCount;
	}

	return sum;
}

function leftover(group: readonly Candidate[]): number {
	let sum = 0;
	for (const candidate of group) {
		sum += candidate.freeCount;
	}

	return sum;
}

/**
 * Places all tasks of a job or none.
 *
 * @param spec - The job.
 * @param views - The workers that may be used, in order of preference for `first`.
 * @param fit - `first` takes the first workers that fit, `best` those that break the least free space.
 * @returns One placement per task, or undefined when the job does not fit.
 */
export function placeGang(spec: JobSpec, views: readonly PlacementView[], fit: Fit): readonly PlacedTask[] | undefined {
	const size = blockSizeOf(spec.shape.accelerators);
	const wanted = limitsOf(spec.shape);
	const candidates = views.map(view => candidateOf(view, size, wanted, fit)).filter(candidate => candidate !== undefined);
	if (capacityOf(candidates) < spec.taskCount) {
		return undefined;
	}

	const groups = groupsOf(spec, candidates)
		.filter(group => capacityOf(group) >= spec.taskCount);
	const group = fit === 'first' || groups.length < 2
		? groups[0]
		: groups.toSorted((left, right) => leftover(left) - leftover(right))[0];
	if (!group) {
		return undefined;
	}

	const ordered = fit === 'first' ? group : group.toSorted(byBestFit(spec.taskCount));
	const tasks: PlacedTask[] = [];
	for (const candidate of ordered) {
		for (let index = 0; index < candidate.taskCount && tasks.length < spec.taskCount; index++) {
			tasks.push({
				taskIndex: tasks.length,
				workerId: candidate.view.workerId,
				endpointId: candidate.view.endpointId,
				accelerators: size === 0 ? [] : blockNumbers(candidate.starts[index]!, size),
			});
		}
	}

	return tasks;
}
