import type {Run, Task} from './job-model.js';
import type {TrackedWorker} from './tracked-worker.js';

/** A run that has been at work for this long is no longer kept apart from others. */
const SUSPECT_PERIOD_MS = 10_000;

/** A task that has crashed this many workers gets one of its own if there is any, since the next crash may decide on its job. */
const MIN_REPEATED_CRASHES = 2;

/** Keeps the exposure below other reasons against a worker. */
const MAX_CRASH_EXPOSURE = 9;

/**
 * Judges how far a unit and the work on a worker should be kept apart, since a task under which a worker has crashed may
 * crash the next one. Several such tasks on one worker are worst: its crash would not tell which of them is the cause.
 *
 * The runs of a worker are counted once a round, as a round may offer it to thousands of units.
 */
export class CrashExposure {
	readonly #suspectRunCounts = new Map<string, {readonly suspects: number; readonly repeated: number}>();

	/** Forgets all counts; called at the start of a round. */
	clear(): void {
		this.#suspectRunCounts.clear();
	}

	/** @param incarnations - Workers that have got new runs in this round. */
	forget(incarnations: readonly string[]): void {
		for (const incarnation of incarnations) {
			this.#suspectRunCounts.delete(incarnation);
		}
	}

	/**
	 * @param worker - The worker.
	 * @param crashedWorkerIds - Ids of the workers that have crashed under the unit; none if it may be placed anywhere.
	 * @param nowMs - Leader's clock.
	 * @returns 0 if nothing speaks against the worker, up to 9.
	 */
	of(worker: TrackedWorker, crashedWorkerIds: ReadonlySet<string>, nowMs: number): number {
		const suspectRuns = this.#countSuspectRuns(worker, nowMs).suspects;
		if (crashedWorkerIds.size === 0) {
			return suspectRuns > 0 ? 2 : 0;
		}

		return Math.min(MAX_CRASH_EXPOSURE, (2 * suspectRuns) + (worker.runs.size > 0 ? 2 : 0) + (crashedWorkerIds.has(worker.facts.id) ? 1 : 0));
	}

	/**
	 * @param tasks - The task or the members of a gang.
	 * @param worker - The worker.
	 * @param nowMs - Leader's clock.
	 * @returns Whether neither the unit nor the worker's runs should have the worker for themselves.
	 */
	mayShare(tasks: readonly Task[], worker: TrackedWorker, nowMs: number): boolean {
		return tasks.some(task => hasCrashedRepeatedly(task)) ? worker.runs.size === 0 : this.#countSuspectRuns(worker, nowMs).repeated === 0;
	}

	#countSuspectRuns(worker: TrackedWorker, nowMs: number): {readonly suspects: number; readonly repeated: number} {
		const known = this.#suspectRunCounts.get(worker.incarnation);
		if (known) {
			return known;
		}

		let suspects = 0;
		let repeated = 0;
		for (const run of worker.runs.values()) {
			suspects += isSuspect(run, nowMs) ? 1 : 0;
			repeated += isSuspect(run, nowMs) && hasCrashedRepeatedly(run.task) ? 1 : 0;
		}

		const counts = {suspects, repeated};
		this.#suspectRunCounts.set(worker.incarnation, counts);
		return counts;
	}
}

function hasCrashedRepeatedly(task: Task): boolean {
	return task.crashes.filter(crash => crash.isConfirmed && !crash.isExplained).length >= MIN_REPEATED_CRASHES;
}

function isSuspect({task, knownSinceMs}: Run, nowMs: number): boolean {
	return task.crashes.some(crash => !crash.isExplained) && (knownSinceMs === undefined || nowMs - knownSinceMs < SUSPECT_PERIOD_MS);
}
