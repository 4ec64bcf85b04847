import type {JobSpec} from '@amaranthsail/core';
import {blockSizeOf} from './accelerator-blocks.js';
import type {GuaranteeShape} from './guarantee-shape.js';
import {addScaled, fitsWithin, scalarAmountsOf, type ScalarAmounts} from './scalar-resources.js';

/** The capacity of one guaranteed shape that is not yet used by jobs. */
type Bin = {readonly shape: GuaranteeShape; freeAccelerators: number; readonly freeAmounts: ScalarAmounts};

function acceleratorsOf(spec: JobSpec): number {
	return blockSizeOf(spec.shape.accelerators) * spec.taskCount;
}

function hasFreeCapacity(bin: Bin, spec: JobSpec, taskCount: number): boolean {
	const blockSize = blockSizeOf(spec.shape.accelerators);
	const requested = scalarAmountsOf(spec.shape).map(amount => amount * taskCount);
	return blockSize <= bin.shape.blockSize && blockSize * taskCount <= bin.freeAccelerators && fitsWithin(requested, bin.freeAmounts);
}

/** A gang with an adjacency needs a single shape that is at least as close together. */
function satisfiesAdjacency(bin: Bin, spec: JobSpec): boolean {
	const {blockCount, blockSize, needsOneRack} = bin.shape;
	return spec.adjacency === 'worker'
		? acceleratorsOf(spec) <= blockSize
		: blockCount === 1 || needsOneRack;
}

function takeFrom(bin: Bin, spec: JobSpec, taskCount: number): void {
	bin.freeAccelerators -= blockSizeOf(spec.shape.accelerators) * taskCount;
	addScaled(bin.freeAmounts, scalarAmountsOf(spec.shape), -taskCount);
}

function takeFromBins(bins: readonly Bin[], spec: JobSpec): boolean {
	if (spec.taskCount > 1 && spec.adjacency !== 'failureDomain') {
		const bin = bins.find(candidate => satisfiesAdjacency(candidate, spec) && hasFreeCapacity(candidate, spec, spec.taskCount));
		if (bin) {
			takeFrom(bin, spec, spec.taskCount);
		}

		return bin !== undefined;
	}

	for (let index = 0; index < spec.taskCount; index++) {
		const bin = bins.find(candidate => hasFreeCapacity(candidate, spec, 1));
		if (!bin) {
			return false;
		}

		takeFrom(bin, spec, 1);
	}

	return true;
}

/**
 * Checks whether a job fits within its account's guarantees, next to the account's jobs that already count against them.
 *
 * @param spec - The job.
 * @param shapes - The shapes of its account.
 * @param running - The account's jobs that count against its guarantees.
 * @param amountsPerAccelerator - Scalar amounts that a guarantee includes per accelerator.
 * @returns Whether the account may reclaim for the job.
 */
export function fitsWithinGuarantee(
	spec: JobSpec,
	shapes: readonly GuaranteeShape[],
	running: readonly JobSpec[],
	amountsPerAccelerator: readonly number[],
): boolean {
	if (shapes.length === 0 || spec.shape.accelerators === 0) {
		return false;
	}

	const bins = shapes.filter(shape => !shape.isImpossible).toReversed().map((shape): Bin => {
		const accelerators = shape.blockSize * shape.blockCount;
		return {shape, freeAccelerators: accelerators, freeAmounts: amountsPerAccelerator.map(amount => amount * accelerators)};
	});
	const jobs = [...running, spec].toSorted((left, right) => acceleratorsOf(right) - acceleratorsOf(left));
	return jobs.every(job => takeFromBins(bins, job));
}
