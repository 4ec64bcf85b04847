import {type Neighbours, type NeighbourState, PaceSegment} from './pace-segment.js';

/** A run in the lists of a worker. */
export type RunReading = {
	/** Identity of the run; its state is kept as long as the object exists. */
	readonly run: WeakKey;
	readonly kind: string;
	readonly percent: number;
	/** It resumed from a checkpoint, and shows its progress while it restores it. */
	readonly isResumed: boolean;
	/** It is a complete member of a gang, and waits for the others. */
	readonly isWaiting: boolean;
	/** Its pace is of no use, as it is being stopped or runs until it is cancelled. */
	readonly isIgnored: boolean;
};

/** The lists of a worker. */
export type WorkerReading = {
	/** The worker; its state is kept as long as the object exists. */
	readonly worker: {readonly incarnation: string};
	/** Leader's clock. */
	readonly atMs: number;
	/** Worker's clock at the reading. */
	readonly workerClockMs: number;
	/** The runs that it lists as running. */
	readonly runs: readonly RunReading[];
	/** Runs that have been completed since the last lists; lists arrive when runs end. */
	readonly completedRuns: readonly WeakKey[];
};

/** Change of a run's own pace when a kind began or ceased to run beside it. */
export type PaceChange = {
	/** The worker's incarnation. */
	readonly worker: string;
	readonly kind: string;
	readonly neighbour: string;
	/** Logarithm of the pace without the neighbour over that with it. */
	readonly logSlowdown: number;
	readonly variance: number;
	/** Worker's clock at the change; changes of runs of one kind with the same time have one cause. */
	readonly changedAtMs: number;
};

/** Progress from which a reading may be that of a run that is complete. */
const COMPLETE_PERCENT = 99;

/** Longest time between the two segments of a comparison; the slowness of a worker may begin or end in it. */
const MAX_GAP_MS = 2500;

/** Longest interval between two lists that says something about pace; workers are polled every second. */
const MAX_INTERVAL_MS = 1500;

/** Variance at which a change is reported without waiting for more readings. */
const GOOD_VARIANCE = 0.1 ** 2;

/** Variance above which a change is not reported. */
const MAX_VARIANCE = 0.3 ** 2;

/** Change of the logarithmic pace of runs of other kinds from which the whole worker has changed. */
const MIN_COMMON_CHANGE = 0.3;

type RunTrace = {
	readonly kind: string;
	/** Segment before the present one, if it can be compared. */
	before?: PaceSegment;
	segment: PaceSegment;
	/** The segment that follows the present one, once that has ended. */
	next?: PaceSegment | undefined;
	/** The run has ended or its pace is of no more use. */
	hasEnded: boolean;
	/** The change between the two segments has been reported. */
	isReported: boolean;
};

/**
 * Follows the runs of workers from list to list, and reports how their own pace changes when one kind begins or ceases
 * to run beside them. The task's true size, its estimate and the worker's own speed cancel out in such a change.
 */
export class NeighbourChanges {
	/** Traces of the runs in the newest lists, by worker. */
	readonly #traces = new WeakMap<WeakKey, {readonly workerClockMs: number; readonly runs: ReadonlyMap<WeakKey, RunTrace>}>();
	/** First reading of runs whose pace cannot be measured yet. */
	readonly #firstPercents = new WeakMap<WeakKey, number>();

	/**
	 * @param reading - The newest lists of a worker.
	 * @returns The changes that they show.
	 */
	observe({worker, workerClockMs, runs, completedRuns}: WorkerReading): readonly PaceChange[] {
		const last = this.#traces.get(worker);
		if (last && workerClockMs <= last.workerClockMs) {
			return [];
		}

		const counts = countKinds(runs);
		const neighboursByKind = new Map<string, Neighbours>();
		const listed = new Set<RunTrace>();
		const traces = new Map<WeakKey, RunTrace>();
		for (const entry of runs) {
			let trace = last?.runs.get(entry.run);
			if (entry.isIgnored || entry.percent >= COMPLETE_PERCENT || (!trace && !this.#isMoving(entry))) {
				continue;
			}

			// A run that waits shows 100 percent and is not followed, so the kind alone decides.
			const neighbours = neighboursByKind.get(entry.kind) ?? neighboursOf(entry.kind, counts);
			neighboursByKind.set(entry.kind, neighbours);
			if (trace) {
				extendTrace(trace, neighbours, workerClockMs, entry.percent);
			} else {
				trace = {
					kind: entry.kind, segment: new PaceSegment(neighbours, workerClockMs, entry.percent), hasEnded: false, isReported: false,
				};
			}

			traces.set(entry.run, trace);
			listed.add(trace);
		}

		for (const run of completedRuns) {
			const trace = last?.runs.get(run);
			if (trace) {
				extendTrace(trace, statesOf(counts), workerClockMs, 100);
			}
		}

		const all = new Set(listed);
		for (const trace of last?.runs.values() ?? []) {
			trace.hasEnded = !listed.has(trace);
			all.add(trace);
		}

		const changes = takeChanges(worker.incarnation, all);
		for (const trace of listed) {
			advanceTrace(trace);
		}

		this.#traces.set(worker, {workerClockMs, runs: traces});
		return changes;
	}

	/** A run may show its first reading for 0.7 s before it makes progress. */
	#isMoving({run, percent, isResumed}: RunReading): boolean {
		const firstPercent = this.#firstPercents.get(run);
		if (firstPercent === undefined) {
			this.#firstPercents.set(run, percent);
		}

		return isResumed ? firstPercent !== undefined && percent > firstPercent : percent > 0;
	}
}

type KindCount = {working: number; waiting: number};

function countKinds(runs: readonly RunReading[]): ReadonlyMap<string, KindCount> {
	const counts = new Map<string, KindCount>();
	for (const {kind, isWaiting} of runs) {
		const count = counts.get(kind) ?? {working: 0, waiting: 0};
		counts.set(kind, count);
		count[isWaiting ? 'waiting' : 'working']++;
	}

	return counts;
}

function neighboursOf(kind: string, counts: ReadonlyMap<string, KindCount>): Neighbours {
	const {working, waiting} = counts.get(kind)!;
	return statesOf(new Map([...counts, [kind, {working: working - 1, waiting}]]));
}

function statesOf(counts: ReadonlyMap<string, KindCount>): Neighbours {
	const neighbours = new Map<string, NeighbourState>();
	for (const [kind, {working, waiting}] of counts) {
		if (working > 0) {
			neighbours.set(kind, 'working');
		} else if (waiting > 0) {
			neighbours.set(kind, 'waiting');
		}
	}

	return neighbours;
}

function extendTrace(trace: RunTrace, neighbours: Neighbours, atMs: number, percent: number): void {
	const {segment} = trace;
	const isWithin = atMs - segment.endMs <= MAX_INTERVAL_MS && isSubset(neighbours, segment.neighbours);
	// Lists arrive at the ends of runs, so a kind that is missing now was there until now. It is not known since when a new one is there.
	if (isWithin) {
		segment.extend(atMs, percent);
	}

	if (!isWithin || neighbours.size < segment.neighbours.size) {
		trace.next = new PaceSegment(neighbours, atMs, percent);
	}
}

function isSubset(neighbours: Neighbours, others: Neighbours): boolean {
	for (const [kind, state] of neighbours) {
		if (others.get(kind) !== state) {
			return false;
		}
	}

	return true;
}

function advanceTrace(trace: RunTrace): void {
	if (trace.next) {
		trace.before = trace.segment.isUsable ? trace.segment : trace.before;
		trace.segment = trace.next;
		trace.next = undefined;
		trace.isReported = false;
	}
}

function isDue({before, segment, next, hasEnded}: RunTrace): boolean {
	return before !== undefined && before.variance + segment.variance <= (hasEnded || next ? MAX_VARIANCE : GOOD_VARIANCE);
}

function takeChanges(worker: string, traces: ReadonlySet<RunTrace>): readonly PaceChange[] {
	const changes: PaceChange[] = [];
	const common = new CommonChanges();
	// A list shows no change unless a segment ends or has become long enough since the last one.
	const hasDue = [...traces].some(trace => trace.before && !trace.isReported && isDue(trace));
	for (const trace of hasDue ? traces : []) {
		const change = changeOf(worker, trace);
		if (change) {
			common.add(change);
			if (!trace.isReported && isDue(trace)) {
				trace.isReported = true;
				changes.push(change);
			}
		}
	}

	return changes.filter(change => !common.has(change));
}

/** The change between the last two segments of a run, if exactly one kind differs and it was absent in one of them. */
function changeOf(worker: string, {kind, before, segment}: RunTrace): PaceChange | undefined {
	if (!before?.isUsable || !segment.isUsable || segment.startMs - before.endMs > MAX_GAP_MS) {
		return undefined;
	}

	const changed = listChanged(before.neighbours, segment.neighbours);
	const [neighbour] = changed;
	if (neighbour === undefined || changed.length > 1) {
		return undefined;
	}

	const states = [before.neighbours.get(neighbour), segment.neighbours.get(neighbour)];
	if (states.includes('waiting')) {
		return undefined;
	}

	return {
		worker,
		kind,
		neighbour,
		logSlowdown: (before.logPace - segment.logPace) * (states[0] === undefined ? 1 : -1),
		variance: before.variance + segment.variance,
		changedAtMs: segment.startMs,
	};
}

function listChanged(before: Neighbours, after: Neighbours): readonly string[] {
	const changed: string[] = [];
	for (const [kind, state] of after) {
		if (before.get(kind) !== state) {
			changed.push(kind);
		}
	}

	for (const kind of before.keys()) {
		if (!after.has(kind)) {
			changed.push(kind);
		}
	}

	return changed;
}

/** Changes that runs of several kinds show at the same time: the worker has turned slow or recovered. */
class CommonChanges {
	/** Kinds whose pace has changed clearly, by neighbour, time and direction. */
	readonly #kinds = new Map<string, Set<string>>();

	add(change: PaceChange): void {
		if (Math.abs(change.logSlowdown) >= MIN_COMMON_CHANGE) {
			const key = keyOf(change);
			this.#kinds.set(key, (this.#kinds.get(key) ?? new Set<string>()).add(change.kind));
		}
	}

	has(change: PaceChange): boolean {
		const kinds = this.#kinds.get(keyOf(change));
		return kinds !== undefined && (kinds.size > 1 || !kinds.has(change.kind));
	}
}

function keyOf({neighbour, changedAtMs, logSlowdown}: PaceChange): string {
	return JSON.stringify([changedAtMs, logSlowdown > 0, neighbour]);
}
