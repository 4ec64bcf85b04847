import type {ResourceName, Resources} from '@amaranthsail/core';

/** The limits that are plain amounts; accelerators are blocks. */
export const LIMIT_NAMES = ['slots', 'connections', 'processors', 'memoryMb'] as const satisfies readonly ResourceName[];

/** An amount of each of {@link LIMIT_NAMES}, in that order. */
export type Limits = number[];

/** Absorbs rounding of sums of fractional amounts. */
const ROUNDING = 1e-6;

/**
 * Takes the plain amounts of resources.
 *
 * @param resources - The resources.
 * @returns One number for each limit.
 */
export function limitsOf(resources: Resources): Limits {
	return LIMIT_NAMES.map(name => resources[name]);
}

/**
 * Checks that an amount fits.
 *
 * @param wanted - What is asked for.
 * @param room - What there is.
 * @returns Whether each limit suffices.
 */
export function fitsWithin(wanted: readonly number[], room: readonly number[]): boolean {
	return wanted.every((amount, index) => amount <= room[index]! + ROUNDING);
}

/**
 * Counts how often an amount fits.
 *
 * @param wanted - One task's amounts.
 * @param room - What there is.
 * @returns The number of tasks; Infinity when the task takes nothing.
 */
export function timesWithin(wanted: readonly number[], room: readonly number[]): number {
	let times = Infinity;
	for (const [index, amount] of wanted.entries()) {
		if (amount > 0) {
			times = Math.min(times, Math.floor((room[index]! + ROUNDING) / amount));
		}
	}

	return Math.max(0, times);
}

/**
 * Adds a multiple of one amount to another in place.
 *
 * @param target - The amount to change.
 * @param amount - What to add.
 * @param factor - How often; negative to subtract.
 */
export function addTo(target: Limits, amount: readonly number[], factor = 1): void {
	for (const [index, value] of amount.entries()) {
		target[index]! += value * factor;
	}
}
