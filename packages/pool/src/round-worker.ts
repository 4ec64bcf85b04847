import {addShapes, EMPTY_SHAPE, subtractShapes} from './capacity.js';
import type {TaskShape} from './model.js';
import type {TrackedWorker} from './tracked-worker.js';

/** A present worker and its capacity during one round. */
export type RoundWorker = {
	readonly worker: TrackedWorker;
	readonly isUsable: boolean;
	/** It would be usable, but its failures count against it for now. */
	readonly isQuarantined: boolean;
	free: TaskShape;
	/** Free capacity once the runs that are being stopped have ended. */
	freeAfterStops: TaskShape;
	/** Capacity reserved for waiting units from their expected start. */
	readonly reservations: Reservation[];
};

/** Capacity reserved for a waiting unit. */
export type Reservation = {
	readonly shape: TaskShape;
	readonly fromMs: number;
	/** Units that have waited long in an idle service may not use it either. */
	readonly isFirm: boolean;
};

/** @returns The workers by service. */
export function groupByService(workers: readonly RoundWorker[]): ReadonlyMap<string, readonly RoundWorker[]> {
	const groups = new Map<string, RoundWorker[]>();
	for (const roundWorker of workers) {
		const {service} = roundWorker.worker.facts;
		const group = groups.get(service) ?? [];
		group.push(roundWorker);
		groups.set(service, group);
	}

	return groups;
}

/** @returns Whether less than half of the workers' accelerators, if they have any, and of their processors are in use. */
export function isHalfIdle(workers: readonly RoundWorker[]): boolean {
	let free = EMPTY_SHAPE;
	let capacity = EMPTY_SHAPE;
	for (const roundWorker of workers) {
		free = addShapes(free, roundWorker.free);
		capacity = addShapes(capacity, roundWorker.worker.facts.capacity);
	}

	return (capacity.accelerators === 0 || free.accelerators * 2 > capacity.accelerators) && free.cpuMillis * 2 > capacity.cpuMillis;
}

/**
 * Takes capacity for a unit.
 *
 * @param workers - Workers of the round.
 * @param incarnations - The worker incarnation for each member of the unit.
 * @param shape - Capacity of one member.
 */
export function allocate(workers: readonly RoundWorker[], incarnations: readonly string[], shape: TaskShape): void {
	for (const incarnation of incarnations) {
		const roundWorker = workers.find(candidate => candidate.worker.incarnation === incarnation)!;
		roundWorker.free = subtractShapes(roundWorker.free, shape);
		roundWorker.freeAfterStops = subtractShapes(roundWorker.freeAfterStops, shape);
	}
}
