import {
	addShapes, EMPTY_SHAPE, fitsInto, subtractShapes,
} from './capacity.js';
import {EndAcknowledgements} from './end-acknowledgements.js';
import type {Run} from './job-model.js';
import type {TaskShape, WorkerFacts} from './model.js';
import {OrdersInFlight} from './orders-in-flight.js';

/** The leader's view of one incarnation of a worker. */
export type TrackedWorker = {
	readonly incarnation: string;
	facts: WorkerFacts;
	/** Name of the agent through which it is reached. */
	agent: string;
	/** An agent has reported it to this leader; otherwise only stored rows name it. */
	hasReported: boolean;
	/** This leader has read its lists. */
	hasReportedLists: boolean;
	/** Leader's clock when the agent received the newest lists; the time of tracking before that. */
	listsAsOfMs: number;
	/** Worker's clock in the newest lists. */
	workerClockMs: number;
	/** The agent's count of orders when it requested the newest lists. */
	orderCountBeforeLists: number;
	/** Ends to acknowledge. */
	readonly endAcknowledgements: EndAcknowledgements;
	/** Sequence number of the highest end that has been processed. */
	processedSequence: number;
	/** The newest lists lacked ends that this leader has not acknowledged. */
	hasMissingEnds: boolean;
	readonly runs: Map<string, Run>;
	readonly ordersInFlight: OrdersInFlight;
	/** It lists runs of tasks that this leader does not know; their shapes are unknown. */
	hasUnknownRuns: boolean;
	/** Capacity used by listed runs that are not expected there; they are being stopped. */
	unexpectedCapacity: TaskShape;
	/** Leader's clock when the next stop order for an unexpected run is due, by task. */
	readonly unexpectedStopDueMs: Map<string, number>;
	/** Highest run number that has ended here, by task; lists that still contain the run are out of date. */
	readonly highestEndedRuns: Map<string, number>;
	/** Runs that have ended here while a start of theirs remained unanswered, in the order of their ends, by task. */
	readonly endedUnanswered: Map<string, {readonly run: number; readonly endedAtMs: number}>;
	/** Ended runs of earlier incarnations whose starts might still come, and the leader's clock when their next stop is due and when it is needed no more, by task. */
	readonly lateStops: Map<string, {readonly run: number; dueMs: number; readonly untilMs: number}>;
	/** Leader's clock until which a call to an earlier incarnation with the same id may grant a lease of any length. */
	lateCallsUntilMs?: number;
	suspicion?: Suspicion;
	/** It has been declared lost and its runs ended; its lists must be read before it is used again. */
	isLost: boolean;
	/** Its agent reports that it has deregistered and does not answer any more. It may still be at work. */
	isDeparting: boolean;
	drainingSinceMs?: number;
	/** Leader's clock before which a draining worker does not leave. */
	leavesAtMs?: number;
	/** Ids of the jobs that have failed on it since its last success. */
	readonly failedJobIds: Set<string>;
	quarantinedUntilMs: number;
	/** Leader's clock when it last failed or stalled; absent once a later run has succeeded. */
	unreliableSinceMs?: number;
	/** Observed run time divided by the estimate, smoothed. */
	slowness: number;
};

/** State of a silent worker that has not been declared lost yet. */
export type Suspicion = {
	readonly sinceMs: number;
	/** Set once the suspicion is stored: leader's clock from which nothing runs on the worker. */
	leaseExpiresAtMs?: number;
};

/**
 * Creates the state of a worker whose lists have not been read.
 *
 * @param facts - The worker's facts as far as they are known.
 * @param agent - Name of its agent.
 * @param nowMs - Leader's clock.
 * @returns The worker without runs.
 */
export function createTrackedWorker(facts: WorkerFacts, agent: string, nowMs: number): TrackedWorker {
	return {
		incarnation: facts.life,
		facts,
		agent,
		hasReported: false,
		hasReportedLists: false,
		listsAsOfMs: nowMs,
		workerClockMs: 0,
		orderCountBeforeLists: 0,
		endAcknowledgements: new EndAcknowledgements(),
		processedSequence: 0,
		hasMissingEnds: false,
		runs: new Map(),
		ordersInFlight: new OrdersInFlight(),
		hasUnknownRuns: false,
		unexpectedCapacity: EMPTY_SHAPE,
		unexpectedStopDueMs: new Map(),
		highestEndedRuns: new Map(),
		endedUnanswered: new Map(),
		lateStops: new Map(),
		isLost: false,
		isDeparting: false,
		failedJobIds: new Set(),
		quarantinedUntilMs: 0,
		slowness: 1,
	};
}

/** @returns The capacity that the worker's runs use, including those that are being stopped. */
export function usedCapacity(worker: TrackedWorker): TaskShape {
	let used = worker.unexpectedCapacity;
	for (const run of worker.runs.values()) {
		used = addShapes(used, run.task.step.spec.shape);
	}

	return used;
}

/** @returns Whether the worker has said that it leaves, so that its end is no crash. */
export function hasAnnouncedEnd(worker: TrackedWorker): boolean {
	return worker.drainingSinceMs !== undefined || worker.isDeparting;
}

/** @returns The capacity that no run uses. */
export function freeCapacity(worker: TrackedWorker): TaskShape {
	return subtractShapes(worker.facts.capacity, usedCapacity(worker));
}

/**
 * Checks again, before a start is sent, what held when it was placed.
 *
 * @param worker - A worker with a run that it has neither acknowledged nor listed.
 * @param evacuations - The evacuated failure domains.
 * @returns Why such runs have to be placed again, or undefined.
 */
export function reasonToWithdrawStarts(worker: TrackedWorker, evacuations: {readonly has: (failureDomain: string) => boolean}): string | undefined {
	if (evacuations.has(worker.facts.failureDomain)) {
		return 'failure domain is evacuated';
	}

	if (worker.drainingSinceMs !== undefined) {
		return 'worker is draining';
	}

	if (worker.hasUnknownRuns) {
		return 'worker has runs of unknown size';
	}

	return fitsInto(usedCapacity(worker), worker.facts.capacity) ? undefined : 'worker capacity has shrunk';
}

/** Index of the rack in a worker's labels, which hold its kind and its rack in this order. */
const RACK_LABEL_INDEX = 1;

/** @returns The worker's rack, or an empty string if it has no such label. */
export function rackOf(facts: WorkerFacts): string {
	return facts.labels[RACK_LABEL_INDEX] ?? '';
}

/** @returns Id of the worker in the name of its incarnation. */
export function workerIdOf(incarnation: string): string {
	return incarnation.split('@')[0]!;
}

/** @returns The start time of an incarnation, as Unix time in milliseconds. */
export function startTimeOf(incarnation: string): number {
	return Number(incarnation.split('@')[1] ?? 0);
}
