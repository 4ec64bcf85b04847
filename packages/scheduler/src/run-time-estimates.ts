import type {JobSpec, WorkClass} from '@amaranthsail/core';

/** Run times kept for each kind of work; old ones make room for new ones. */
const SAMPLE_COUNT = 32;

/** Kinds of work kept; 95 accounts with some ten operations each. */
const MAX_KINDS = 2000;

/** Samples below which the next wider kind of work is used. */
const ENOUGH_SAMPLES = 3;

/** Samples from which on the shortest run says what is impossible. */
const ENOUGH_FOR_SHORTEST = 8;

/** Estimates for kinds of work that have not run yet, in milliseconds. */
const UNKNOWN_RUN_MS: Readonly<Record<WorkClass, number>> = {urgent: 5000, short: 10_000, long: 300_000};

/** A learned estimate. */
export type RunTimeEstimate = {
	readonly typicalMs: number;
	/** The shortest run seen, or 0 when there are too few. */
	readonly shortestMs: number;
	/** Whether enough runs were seen. */
	readonly learned: boolean;
};

/** Learns run times by account, service and operation. The caller's own estimates are not used. */
export class RunTimeEstimates {
	readonly #samples = new Map<string, number[]>();
	readonly #cache = new Map<string, RunTimeEstimate>();
	readonly #keys = new WeakMap<JobSpec, readonly string[]>();

	/**
	 * Learns from a finished run.
	 *
	 * @param spec - The job.
	 * @param runMs - How long it ran.
	 */
	learn(spec: JobSpec, runMs: number): void {
		for (const key of this.#keysOf(spec)) {
			const samples = this.#samples.get(key) ?? [];
			samples.push(runMs);
			if (samples.length > SAMPLE_COUNT) {
				samples.shift();
			}

			// Operations are named by callers, so the kinds that are kept have to be bounded; the one unused longest goes.
			this.#samples.delete(key);
			this.#samples.set(key, samples);
			const [oldest] = this.#samples.keys();
			if (this.#samples.size > MAX_KINDS && oldest !== undefined) {
				this.#samples.delete(oldest);
				this.#cache.delete(oldest);
			}

			this.#cache.delete(key);
		}
	}

	/**
	 * Estimates a run time.
	 *
	 * @param spec - The job.
	 * @returns The estimate for its kind of work, or for a wider kind as long as few runs were seen.
	 */
	estimate(spec: JobSpec): RunTimeEstimate {
		for (const key of this.#keysOf(spec)) {
			const cached = this.#cache.get(key);
			if (cached) {
				return cached;
			}

			const samples = this.#samples.get(key) ?? [];
			if (samples.length >= ENOUGH_SAMPLES) {
				const sorted = samples.toSorted((left, right) => left - right);
				const estimate = {typicalMs: sorted[Math.floor(sorted.length / 2)]!, shortestMs: sorted.length < ENOUGH_FOR_SHORTEST ? 0 : sorted[0]!, learned: true};
				this.#cache.set(key, estimate);
				return estimate;
			}
		}

		return {typicalMs: UNKNOWN_RUN_MS[spec.workClass], shortestMs: 0, learned: false};
	}

	/**
	 * Estimates how long a running job still takes.
	 *
	 * @param spec - The job.
	 * @param elapsedMs - How long it has run.
	 * @returns Milliseconds; a job past its estimate is expected to take half as long again.
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
