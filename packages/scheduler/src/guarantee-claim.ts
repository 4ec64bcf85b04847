import type {JobSpec} from '@amaranthsail/core';
import {blockSizeOf} from './accelerator-blocks.js';
import type {GuaranteeShape} from './guarantee-shape.js';
import {addTo, fitsWithin, limitsOf, type Limits} from './scalar-resources.js';

type Bin = {readonly shape: GuaranteeShape; accelerators: number; readonly room: Limits};

function acceleratorsOf(spec: JobSpec): number {
	return blockSizeOf(spec.shape.accelerators) * spec.taskCount;
}

function holds(bin: Bin, spec: JobSpec, taskCount: number): boolean {
	const size = blockSizeOf(spec.shape.accelerators);
	const wanted = limitsOf(spec.shape).map(amount => amount * taskCount);
	return size <= bin.shape.blockSize && size * taskCount <= bin.accelerators && fitsWithin(wanted, bin.room);
}

/** A gang that has to stay together needs one shape that is as close as the gang asks for. */
function keepsTogether(bin: Bin, spec: JobSpec): boolean {
	const {blockCount, blockSize, oneRack} = bin.shape;
	return spec.adjacency === 'worker'
		? acceleratorsOf(spec) <= blockSize
		: blockCount === 1 || oneRack;
}

function take(bin: Bin, spec: JobSpec, taskCount: number): void {
	bin.accelerators -= blockSizeOf(spec.shape.accelerators) * taskCount;
	addTo(bin.room, limitsOf(spec.shape), -taskCount);
}

function takeAll(bins: readonly Bin[], spec: JobSpec): boolean {
	if (spec.taskCount > 1 && spec.adjacency !== 'failureDomain') {
		const bin = bins.find(candidate => keepsTogether(candidate, spec) && holds(candidate, spec, spec.taskCount));
		if (bin) {
			take(bin, spec, spec.taskCount);
		}

		return bin !== undefined;
	}

	for (let index = 0; index < spec.taskCount; index++) {
		const bin = bins.find(candidate => holds(candidate, spec, 1));
		if (!bin) {
			return false;
		}

		take(bin, spec, 1);
	}

	return true;
}

/**
 * Checks whether a job lies inside what its account is promised, next to the account's work that does already.
 *
 * @param spec - The job.
 * @param shapes - The shapes of its account.
 * @param running - The account's jobs inside its guarantee.
 * @param perAccelerator - Part of the other four limits that comes with one accelerator.
 * @returns Whether the account may reclaim for the job.
 */
export function fitsInsideGuarantee(
	spec: JobSpec,
	shapes: readonly GuaranteeShape[],
	running: readonly JobSpec[],
	perAccelerator: readonly number[],
): boolean {
	if (shapes.length === 0 || spec.shape.accelerators === 0) {
		return false;
	}

	const bins = shapes.filter(shape => !shape.impossible).toReversed().map((shape): Bin => {
		const accelerators = shape.blockSize * shape.blockCount;
		return {shape, accelerators, room: perAccelerator.map(amount => amount * accelerators)};
	});
	const jobs = [...running, spec].toSorted((left, right) => acceleratorsOf(right) - acceleratorsOf(left));
	return jobs.every(job => takeAll(bins, job));
}
