/** The five limits of a worker, and what one task takes of each. */
export type Resources = {
	readonly slots: number;
	readonly connections: number;
	readonly processors: number;
	readonly memoryMb: number;
	readonly accelerators: number;
};

/** The names of the five limits, in the order in which they are checked. */
export const RESOURCE_NAMES = ['slots', 'connections', 'processors', 'memoryMb', 'accelerators'] as const;

/** The name of one limit. */
export type ResourceName = (typeof RESOURCE_NAMES)[number];

/** Resources of nothing. */
export const NO_RESOURCES: Resources = {
	slots: 0, connections: 0, processors: 0, memoryMb: 0, accelerators: 0,
};

function combine(left: Resources, right: Resources, apply: (a: number, b: number) => number): Resources {
	return {
		slots: apply(left.slots, right.slots),
		connections: apply(left.connections, right.connections),
		processors: apply(left.processors, right.processors),
		memoryMb: apply(left.memoryMb, right.memoryMb),
		accelerators: apply(left.accelerators, right.accelerators),
	};
}

/**
 * Adds two amounts.
 *
 * @param left - The first amount.
 * @param right - The second amount.
 * @returns The sum of each limit.
 */
export function addResources(left: Resources, right: Resources): Resources {
	return combine(left, right, (a, b) => a + b);
}

/**
 * Subtracts one amount from another.
 *
 * @param left - The amount to subtract from.
 * @param right - The amount to subtract.
 * @returns The difference of each limit; may be negative.
 */
export function subtractResources(left: Resources, right: Resources): Resources {
	return combine(left, right, (a, b) => a - b);
}

/**
 * Names the first limit that an amount exceeds.
 *
 * @param wanted - What is asked for.
 * @param available - What there is.
 * @returns The limit that refuses, or undefined when all five suffice.
 */
export function firstExceeded(wanted: Resources, available: Resources): ResourceName | undefined {
	return RESOURCE_NAMES.find(name => wanted[name] > available[name]);
}
