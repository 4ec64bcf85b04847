/** Amounts of the five resources: the capacity of a worker, or what one task takes. */
export type Resources = {
	readonly slots: number;
	readonly connections: number;
	readonly processors: number;
	readonly memoryMb: number;
	readonly accelerators: number;
};

/** Names of the five resources, in the order in which they are checked. */
export const RESOURCE_NAMES = ['slots', 'connections', 'processors', 'memoryMb', 'accelerators'] as const;

/** One of {@link RESOURCE_NAMES}. */
export type ResourceName = (typeof RESOURCE_NAMES)[number];

/** Zero of every resource. */
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
 * Adds two amounts of resources.
 *
 * @param left - The first amount.
 * @param right - The second amount.
 * @returns The sum for each resource.
 */
export function addResources(left: Resources, right: Resources): Resources {
	return combine(left, right, (a, b) => a + b);
}

/**
 * Subtracts one amount of resources from another.
 *
 * @param left - The amount to subtract from.
 * @param right - The amount to subtract.
 * @returns The difference for each resource; may be negative.
 */
export function subtractResources(left: Resources, right: Resources): Resources {
	return combine(left, right, (a, b) => a - b);
}

/**
 * Finds the first resource of which more is requested than available.
 *
 * @param requested - The requested amounts.
 * @param available - The available amounts.
 * @returns The resource that is insufficient, or undefined when all five suffice.
 */
export function firstExceeded(requested: Resources, available: Resources): ResourceName | undefined {
	return RESOURCE_NAMES.find(name => requested[name] > available[name]);
}
