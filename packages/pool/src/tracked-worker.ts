import {addShapes, EMPTY_SHAPE, subtractShapes} from './capacity.js';
import type {Run} from './job-model.js';
import type {TaskShape, WorkerFacts} from './model.js';

/** What the leader knows of one life of a worker. */
export type WorkerEntry = {
	readonly life: string;
	facts: WorkerFacts;
	/** Name of the agent through which it is reached. */
	agent: string;
	/** Its lists have been read by this leader. */
	isKnown: boolean;
	/** Leader's clock when its lists were last fresh. */
	lastContactMs: number;
	/** Worker's clock at that time. */
	clockMs: number;
	/** The agent's count of orders when the newest lists were asked for. */
	ordersBefore: number;
	/** Highest acknowledged end; its outcome is stored. */
	ackSequence: number;
	/** Highest end that has been looked at. */
	seenSequence: number;
	readonly runs: Map<string, Run>;
	/** It lists runs of jobs that this leader does not know; their shapes are unknown. */
	hasUnknownRuns: boolean;
	/** What listed runs take that are not expected there; they are being stopped. */
	unexpectedShape: TaskShape;
	/** When an unexpected run is told to stop again, by task. */
	readonly unexpectedStops: Map<string, number>;
	/** Highest run of a task that has ended here; a list that still has it is out of date. */
	readonly endedRuns: Map<string, number>;
	suspicion?: Suspicion;
	/** Its runs have been given up; its lists must be read before it is used again. */
	isLost: boolean;
	drainingSinceMs?: number;
	/** Leader's clock until which a draining worker stays at least. */
	leavesAtMs?: number;
	/** Jobs that failed on it in a row without a success. */
	readonly failedJobs: Set<string>;
	quarantinedUntilMs: number;
	/** Leader's clock when it last failed or stalled; absent once it has done a later run well. */
	doubtedSinceMs?: number;
	/** Observed run time against the estimate, smoothed. */
	slowness: number;
};

/** A silent worker on its way to be given up. */
export type Suspicion = {
	readonly sinceMs: number;
	/** The mark is stored; nothing runs on the worker after this time. */
	fencedAtMs?: number;
};

/**
 * Makes the entry of a worker that has not been heard of.
 *
 * @param facts - What is known of it.
 * @param agent - Name of its agent.
 * @param nowMs - Leader's clock.
 * @returns The entry.
 */
export function createWorkerEntry(facts: WorkerFacts, agent: string, nowMs: number): WorkerEntry {
	return {
		life: facts.life,
		facts,
		agent,
		isKnown: false,
		lastContactMs: nowMs,
		clockMs: 0,
		ordersBefore: 0,
		ackSequence: 0,
		seenSequence: 0,
		runs: new Map(),
		hasUnknownRuns: false,
		unexpectedShape: EMPTY_SHAPE,
		unexpectedStops: new Map(),
		endedRuns: new Map(),
		isLost: false,
		failedJobs: new Set(),
		quarantinedUntilMs: 0,
		slowness: 1,
	};
}

/** @returns What the worker's runs take, those that are being stopped included. */
export function usedShape(worker: WorkerEntry): TaskShape {
	let used = worker.unexpectedShape;
	for (const run of worker.runs.values()) {
		used = addShapes(used, run.task.step.spec.shape);
	}

	return used;
}

/** @returns The worker's room that no run takes. */
export function freeShape(worker: WorkerEntry): TaskShape {
	return subtractShapes(worker.facts.capacity, usedShape(worker));
}

/** Labels name the worker's kind and its rack, in this order. */
const RACK_LABEL = 1;

/** @returns The worker's rack. */
export function rackOf(facts: WorkerFacts): string {
	return facts.labels[RACK_LABEL] ?? '';
}
