import type {JobSpec} from '@amaranthsail/core';
import {acceleratorsOfBlock, blockSizeOf, findFreeBlocks, enclosingFreeBlockSize} from './accelerator-blocks.js';
import {scalarAmountsOf, countFitting} from './scalar-resources.js';
import type {PlacedTask} from './scheduler.js';

/** The capacity of one worker that a placement may use. */
export type PlacementView = {
	readonly workerId: string;
	readonly rack: string;
	readonly endpointId: string;
	/** For each accelerator, whether it is free. */
	readonly freeAccelerators: readonly boolean[];
	readonly freeAmounts: readonly number[];
};

/** How to choose among workers that fit. */
export type FitStrategy = 'first' | 'best';

type Candidate = {
	readonly view: PlacementView;
	/** First accelerators of the free blocks, in order of preference. */
	readonly starts: readonly number[];
	readonly maxTaskCount: number;
	readonly freeAcceleratorCount: number;
	/** Size of the free block that the first task would split. */
	readonly enclosingBlockSize: number;
};

function toCandidate(view: PlacementView, blockSize: number, requested: readonly number[], fit: FitStrategy): Candidate | undefined {
	const countByAmounts = countFitting(requested, view.freeAmounts);
	if (countByAmounts === 0) {
		return undefined;
	}

	const starts = blockSize === 0 ? [] : findFreeBlocks(view.freeAccelerators, blockSize);
	if (blockSize > 0 && starts.length === 0) {
		return undefined;
	}

	const freeAcceleratorCount = view.freeAccelerators.filter(Boolean).length;
	const enclosingSizes = new Map(starts.map(start => [start, enclosingFreeBlockSize(view.freeAccelerators, start, blockSize)]));
	if (fit === 'best') {
		starts.sort((left, right) => enclosingSizes.get(left)! - enclosingSizes.get(right)!);
	}

	return {
		view, starts, freeAcceleratorCount, maxTaskCount: blockSize === 0 ? countByAmounts : Math.min(countByAmounts, starts.length), enclosingBlockSize: enclosingSizes.get(starts[0]!) ?? 0,
	};
}

function groupByAdjacency(spec: JobSpec, candidates: readonly Candidate[]): ReadonlyArray<readonly Candidate[]> {
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

/** Prefers the tightest worker that can hold all tasks, otherwise those that hold most tasks, to use few workers. */
function compareBestFit(taskCount: number): (left: Candidate, right: Candidate) => number {
	return (left, right) => {
		const leftHoldsAll = left.maxTaskCount >= taskCount;
		const rightHoldsAll = right.maxTaskCount >= taskCount;
		if (leftHoldsAll && rightHoldsAll) {
			return left.enclosingBlockSize - right.enclosingBlockSize || left.freeAcceleratorCount - right.freeAcceleratorCount;
		}

		return Number(rightHoldsAll) - Number(leftHoldsAll) || right.maxTaskCount - left.maxTaskCount || left.freeAcceleratorCount - right.freeAcceleratorCount;
	};
}

function totalTaskCapacity(group: readonly Candidate[]): number {
	let sum = 0;
	for (const candidate of group) {
		sum += candidate.maxTaskCount;
	}

	return sum;
}

function totalFreeAccelerators(group: readonly Candidate[]): number {
	let sum = 0;
	for (const candidate of group) {
		sum += candidate.freeAcceleratorCount;
	}

	return sum;
}

/**
 * Places all tasks of a job, or none.
 *
 * @param spec - The job.
 * @param views - The usable workers, for `first` in order of preference.
 * @param fit - `first` takes the first workers that fit, `best` those that leave the least fragmentation.
 * @returns One placement per task, or undefined when the job does not fit.
 */
export function placeGang(spec: JobSpec, views: readonly PlacementView[], fit: FitStrategy): readonly PlacedTask[] | undefined {
	const blockSize = blockSizeOf(spec.shape.accelerators);
	const requested = scalarAmountsOf(spec.shape);
	const candidates = views.map(view => toCandidate(view, blockSize, requested, fit)).filter(candidate => candidate !== undefined);
	if (totalTaskCapacity(candidates) < spec.taskCount) {
		return undefined;
	}

	const groups = groupByAdjacency(spec, candidates)
		.filter(group => totalTaskCapacity(group) >= spec.taskCount);
	const group = fit === 'first' || groups.length < 2
		? groups[0]
		: groups.toSorted((left, right) => totalFreeAccelerators(left) - totalFreeAccelerators(right))[0];
	if (!group) {
		return undefined;
	}

	const ordered = fit === 'first' ? group : group.toSorted(compareBestFit(spec.taskCount));
	const tasks: PlacedTask[] = [];
	for (const candidate of ordered) {
		for (let index = 0; index < candidate.maxTaskCount && tasks.length < spec.taskCount; index++) {
			tasks.push({
				taskIndex: tasks.length,
				workerId: candidate.view.workerId,
				endpointId: candidate.view.endpointId,
				accelerators: blockSize === 0 ? [] : acceleratorsOfBlock(candidate.starts[index]!, blockSize),
			});
		}
	}

	return tasks;
}
