import type {JobSpec, WorkClass} from '@amaranthsail/core';

/** Run times kept per kind of work; the oldest is dropped for a new one. */
const MAX_SAMPLES_PER_KIND = 32;

/** Enough for 95 accounts with about ten operations each. */
const MAX_WORK_KINDS = 2000;

/** With fewer samples, the next broader kind of work is used. */
const MIN_SAMPLES = 3;

/** Samples needed before the shortest run time is used to refuse a deadline as impossible. */
const MIN_SAMPLES_FOR_SHORTEST = 8;

/** Estimates for kinds of work with too few samples. */
const DEFAULT_RUN_MS: Readonly<Record<WorkClass, number>> = {urgent: 5000, short: 10_000, long: 300_000};

/** An estimated run time. */
export type RunTimeEstimate = {
	readonly typicalMs: number;
	/** The shortest recorded run time, or 0 if there are too few samples. */
	readonly shortestMs: number;
	/** Whether the estimate comes from recorded run times, not from the default. */
	readonly isLearned: boolean;
};

/** Estimates run times from those of completed attempts, by account, service and operation. The caller's own estimates are not used. */
export class RunTimeEstimates {
	readonly #samples = new Map<string, number[]>();
	readonly #cache = new Map<string, RunTimeEstimate>();
	readonly #keys = new WeakMap<JobSpec, readonly string[]>();

	/**
	 * Records the run time of a completed attempt.
	 *
	 * @param spec - The job.
	 * @param runMs - The run time.
	 */
	recordRunTime(spec: JobSpec, runMs: number): void {
		for (const key of this.#keysOf(spec)) {
			const samples = this.#samples.get(key) ?? [];
			samples.push(runMs);
			if (samples.length > MAX_SAMPLES_PER_KIND) {
				samples.shift();
			}

			// Callers choose the names of operations, so the number of kinds has to be bounded; the least recently updated is evicted.
			this.#samples.delete(key);
			this.#samples.set(key, samples);
			const [leastRecentlyUpdated] = this.#samples.keys();
			if (this.#samples.size > MAX_WORK_KINDS && leastRecentlyUpdated !== undefined) {
				this.#samples.delete(leastRecentlyUpdated);
				this.#cache.delete(leastRecentlyUpdated);
			}

			this.#cache.delete(key);
		}
	}

	/**
	 * Estimates a run time.
	 *
	 * @param spec - The job.
	 * @returns The estimate for its kind of work, or for a broader kind while there are too few samples.
	 */
	estimate(spec: JobSpec): RunTimeEstimate {
		for (const key of this.#keysOf(spec)) {
			const cached = this.#cache.get(key);
			if (cached) {
				return cached;
			}

			const samples = this.#samples.get(key) ?? [];
			if (samples.length >= MIN_SAMPLES) {
				const sorted = samples.toSorted((left, right) => left - right);
				const estimate = {typicalMs: sorted[Math.floor(sorted.length / 2)]!, shortestMs: sorted.length < MIN_SAMPLES_FOR_SHORTEST ? 0 : sorted[0]!, isLearned: true};
				this.#cache.set(key, estimate);
				return estimate;
			}
		}

		return {typicalMs: DEFAULT_RUN_MS[spec.workClass], shortestMs: 0, isLearned: false};
	}

	/**
	 * Estimates the remaining run time of a running job.
	 *
	 * @param spec - The job.
	 * @param elapsedMs - How long it has run.
	 * @returns Milliseconds; a job past its estimate is expected to run for another half of its elapsed time.
	 */
	remainingMs(spec: JobSpec, elapsedMs: number): number {
		return Math.max(this.estimate(spec).typicalMs - elapsedMs, elapsedMs / 2);
	}

	#keysOf(spec: JobSpec): readonly string[] {
		let keys = this.#keys.get(spec);
		if (!keys) {
			keys = keysOf(spec);
			this.#keys.set(spec, keys);
		}

		return keys;
	}
}

function keysOf(spec: JobSpec): readonly string[] {
	return [
		JSON.stringify([spec.account, spec.service, spec.operation]),
		JSON.stringify([spec.service, spec.operation]),
	];
}
