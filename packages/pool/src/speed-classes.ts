/** What is known of one worker; the speed is relative to the median of its service. */
export type KnownSpeed = {readonly agent: string; readonly logSpeed: number; readonly weight: number};

/** Weight from which a worker counts as known; three runs of ordinary tasks, or one of a gang of three or more. */
export const MIN_KNOWN_WEIGHT = 6;

/** Share of a service's workers that have to be known before their speeds count. */
const MIN_KNOWN_SHARE = 0.25;

const MIN_KNOWN_WORKERS = 6;

const LOW_PERCENTILE = 0.2;
const HIGH_PERCENTILE = 0.8;

/** Share of the spread at which the effect is switched off again, so that an estimate near the bound does not switch it often. */
const SWITCH_OFF_SHARE = 0.9;

/** The speed classes of a service. */
export type SpeedClasses = {
	/** Whether the workers differ enough for placement to take their speeds into account. */
	readonly isActive: boolean;
	/** The 80th percentile of speed divided by the 20th; 1 while too few workers are known. */
	readonly spread: number;
	readonly knownWorkers: number;
	/** Agents of the known workers whose speed is above the middle between both percentiles; empty unless active. */
	readonly fast: ReadonlySet<string>;
	/** Typical speeds of both classes, relative to the median. */
	readonly fastSpeed: number;
	readonly slowSpeed: number;
};

/** Classes of a service without known workers. */
export const NO_CLASSES: SpeedClasses = {
	isActive: false, spread: 1, knownWorkers: 0, fast: new Set(), fastSpeed: 1, slowSpeed: 1,
};

/**
 * Divides the workers of a service into slow and fast ones, if their speeds differ enough.
 *
 * @param workers - What is known of the service's workers.
 * @param workerCount - The service's workers, known or not.
 * @param options - Smallest spread at which the effect is switched on, and whether it is on.
 * @returns The classes.
 */
export function classifySpeeds(workers: readonly KnownSpeed[], workerCount: number, options: {readonly minSpread: number; readonly wasActive: boolean}): SpeedClasses {
	const known = workers.filter(({weight}) => weight >= MIN_KNOWN_WEIGHT).toSorted((left, right) => left.logSpeed - right.logSpeed);
	if (known.length < Math.max(MIN_KNOWN_WORKERS, workerCount * MIN_KNOWN_SHARE)) {
		return {...NO_CLASSES, knownWorkers: known.length};
	}

	const low = percentileOf(known, LOW_PERCENTILE);
	const high = percentileOf(known, HIGH_PERCENTILE);
	const spread = Math.exp(high - low);
	const isActive = spread >= options.minSpread * (options.wasActive ? SWITCH_OFF_SHARE : 1);
	const fast = known.filter(({logSpeed}) => isActive && logSpeed > (low + high) / 2);
	return {
		isActive, spread, knownWorkers: known.length, fast: new Set(fast.map(({agent}) => agent)), fastSpeed: Math.exp(high), slowSpeed: Math.exp(low),
	};
}

function percentileOf(sorted: readonly KnownSpeed[], share: number): number {
	return sorted[Math.round((sorted.length - 1) * share)]!.logSpeed;
}

/** @returns The median log speed of the known workers, or of all if none is known; 0 without workers. */
export function medianLogSpeed(workers: readonly KnownSpeed[]): number {
	const known = workers.filter(({weight}) => weight >= MIN_KNOWN_WEIGHT);
	const sorted = (known.length > 0 ? known : workers).toSorted((left, right) => left.logSpeed - right.logSpeed);
	return sorted.length > 0 ? percentileOf(sorted, 0.5) : 0;
}
