import type {Run} from './job-model.js';
import type {TrackedWorker} from './tracked-worker.js';

/** A run that has been at work for this long is no longer kept apart from others. */
const SUSPECT_PERIOD_MS = 10_000;

/** Keeps the exposure below other reasons against a worker. */
const MAX_CRASH_EXPOSURE = 9;

/**
 * Judges how far a unit and the work on a worker should be kept apart, since a task under which a worker has crashed may
 * crash the next one. Several such tasks on one worker are worst: its crash would not tell which of them is the cause.
 *
 * The runs of a worker are counted once a round, as a round may offer it to thousands of units.
 */
export class CrashExposure {
	readonly #suspectRunCounts = new Map<string, number>();

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
		const suspectRuns = this.#countSuspectRuns(worker, nowMs);
		if (crashedWorkerIds.size === 0) {
			return suspectRuns > 0 ? 2 : 0;
		}

		return Math.min(MAX_CRASH_EXPOSURE, (2 * suspectRuns) + (worker.runs.size > 0 ? 2 : 0) + (crashedWorkerIds.has(worker.facts.id) ? 1 : 0));
	}

	#countSuspectRuns(worker: TrackedWorker, nowMs: number): number {
		let count = this.#suspectRunCounts.get(worker.incarnation);
		if (count === undefined) {
			count = 0;
			for (const run of worker.runs.values()) {
				count += isSuspect(run, nowMs) ? 1 : 0;
			}

			this.#suspectRunCounts.set(worker.incarnation, count);
		}

		return count;
	}
}

function isSuspect({task, knownSinceMs}: Run, nowMs: number): boolean {
	return task.crashes.some(crash => !crash.isExplained) && (knownSinceMs === undefined || nowMs - knownSinceMs < SUSPECT_PERIOD_MS);
}
