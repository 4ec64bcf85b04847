import type {ResourceName, Resources} from '@amaranthsail/core';

/** The resources that are plain amounts. Accelerators are not among them, because they are allocated in blocks. */
export const SCALAR_RESOURCE_NAMES = ['slots', 'connections', 'processors', 'memoryMb'] as const satisfies readonly ResourceName[];

/** One amount for each of {@link SCALAR_RESOURCE_NAMES}, in that order. */
export type ScalarAmounts = number[];

/** Tolerance for rounding errors in sums of fractional amounts. */
const ROUNDING_TOLERANCE = 1e-6;

/**
 * Extracts the scalar amounts.
 *
 * @param resources - The resources.
 * @returns One amount per scalar resource.
 */
export function scalarAmountsOf(resources: Resources): ScalarAmounts {
	return SCALAR_RESOURCE_NAMES.map(name => resources[name]);
}

/**
 * Checks whether the requested amounts are available.
 *
 * @param requested - The requested amounts.
 * @param available - The available amounts.
 * @returns Whether every amount suffices.
 */
export function fitsWithin(requested: readonly number[], available: readonly number[]): boolean {
	return requested.every((amount, index) => amount <= available[index]! + ROUNDING_TOLERANCE);
}

/**
 * Counts how many tasks fit.
 *
 * @param requested - The amounts of one task.
 * @param available - The available amounts.
 * @returns The number of tasks; Infinity for a task that requests nothing.
 */
export function countFitting(requested: readonly number[], available: readonly number[]): number {
	let count = Infinity;
	for (const [index, amount] of requested.entries()) {
		if (amount > 0) {
			count = Math.min(count, Math.floor((available[index]! + ROUNDING_TOLERANCE) / amount));
		}
	}

	return Math.max(0, count);
}

/**
 * Adds a multiple of the given amounts in place.
 *
 * @param target - The amounts to change.
 * @param amount - The amounts to add.
 * @param factor - The multiplier; negative to subtract.
 */
export function addScaled(target: ScalarAmounts, amount: readonly number[], factor = 1): void {
	for (const [index, value] of amount.entries()) {
		target[index]! += value * factor;
	}
}
