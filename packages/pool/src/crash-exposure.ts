import type {Run, Task} from './job-model.js';
import {type TrackedWorker, workerIdOf} from './tracked-worker.js';

/** A run that has been at work for this long is no longer kept apart from others. */
const SUSPECT_PERIOD_MS = 10_000;

/** Keeps the exposure below other reasons against a worker. */
const MAX_CRASH_EXPOSURE = 9;

/**
 * Judges how far a unit and the work on a worker should be kept apart, since a task under which a worker has crashed may
 * crash the next one. Several such tasks on one worker are worst: its crash would not tell which of them is the cause.
 *
 * @param tasks - The task or the members of a gang.
 * @param worker - The worker.
 * @param nowMs - Leader's clock.
 * @returns 0 if nothing speaks against the worker, up to 9.
 */
export function crashExposureOf(tasks: readonly Task[], worker: TrackedWorker, nowMs: number): number {
	const hostedSuspects = [...worker.runs.values()].filter(run => isSuspect(run, nowMs)).length;
	const crashes = tasks.flatMap(task => task.crashes.filter(crash => !crash.isExplained));
	if (crashes.length === 0) {
		return hostedSuspects > 0 ? 2 : 0;
	}

	const hasCrashedHere = crashes.some(crash => workerIdOf(crash.life) === worker.facts.id);
	return Math.min(MAX_CRASH_EXPOSURE, (2 * hostedSuspects) + (worker.runs.size > 0 ? 2 : 0) + (hasCrashedHere ? 1 : 0));
}

function isSuspect({task, knownSinceMs}: Run, nowMs: number): boolean {
	return task.crashes.some(crash => !crash.isExplained) && (knownSinceMs === undefined || nowMs - knownSinceMs < SUSPECT_PERIOD_MS);
}
