/** Time in which evidence that is not renewed loses half of its weight: a found pair that never runs together is forgotten after 20 minutes at most. */
export const EVIDENCE_HALF_LIFE_MS = 300_000;

/** Changes that a pair needs to be found, by weight; a precise one weighs 1. */
const MIN_WEIGHT = 6;

/** Workers that must have shown the changes; a fault of one or two workers is no evidence. */
const MIN_WORKERS = 3;

/** Largest share of the evidence that may come from one worker. */
const MAX_WORKER_SHARE = 0.4;

/** Logarithmic slowdown (20%) from which a pair is worth being kept apart. */
const MIN_SLOWDOWN = 0.18;

/** Logarithmic slowdown below which a found pair is forgotten. */
const FORGOTTEN_SLOWDOWN = 0.1;

/** Standard errors by which the slowdown must exceed the margin; a pair is examined thousands of times a day. */
const CERTAINTY = 4;

/** Covers what bias remains: workers that recover from a disturbance end several runs at once. */
const MARGIN = 0.08;

/** One change counts at most as much; a worker that turns 5 times slower at the time of a change is not more evidence. */
const MAX_CHANGE = 0.7;

/** Prior of the variance of the changes, and its weight: a few changes that agree by chance are no proof. */
const PRIOR_VARIANCE = 0.25 ** 2;
const PRIOR_WEIGHT = 4;

/** Variance of the rounding at which a change weighs half. */
const HALF_WEIGHT_VARIANCE = 0.2 ** 2;

/** Largest weight before and after a pair has been found; found pairs run together less often and must still be refuted by few changes. */
const MAX_WEIGHT = 60;
const MAX_FOUND_WEIGHT = 16;

/** Weight below which a found pair is forgotten, as it is not known any more whether it slows down. */
const MIN_FOUND_WEIGHT = 1;

/** Evidence on whether runs of one kind are slowed down by those of another one on the same worker. */
export class PairEvidence {
	#weight = 0;
	#sum = 0;
	#squareSum = 0;
	#isFound = false;
	#asOfMs = 0;
	readonly #weightByWorker = new Map<string, number>();
	/** Worker's clock at the newest change that counted, by worker. */
	readonly #changedAtMs = new Map<string, number>();

	/** Whether the kinds are to be kept apart. */
	get isFound(): boolean {
		return this.#isFound;
	}

	/** Weight of the evidence. */
	get weight(): number {
		return this.#weight;
	}

	/** Number of workers that have shown it. */
	get workerCount(): number {
		return this.#weightByWorker.size;
	}

	/** Mean logarithmic slowdown. */
	get slowdown(): number {
		return this.#weight > 0 ? this.#sum / this.#weight : 0;
	}

	/**
	 * Adds a change. Runs of one kind on one worker count once for the same change, since whatever else has happened to
	 * the worker shows in all of them.
	 *
	 * @param change - The worker, its clock at the change, the logarithmic slowdown and its variance.
	 * @param nowMs - Leader's clock.
	 */
	add({worker, changedAtMs, logSlowdown, variance}: {readonly worker: string; readonly changedAtMs: number; readonly logSlowdown: number; readonly variance: number}, nowMs: number): void {
		if (this.#changedAtMs.get(worker) === changedAtMs) {
			return;
		}

		this.decay(nowMs);
		const weight = HALF_WEIGHT_VARIANCE / (HALF_WEIGHT_VARIANCE + variance);
		const maxWeight = this.#isFound ? MAX_FOUND_WEIGHT : MAX_WEIGHT;
		this.#scale(Math.min(1, (maxWeight - weight) / this.#weight));
		const clipped = Math.min(MAX_CHANGE, Math.max(-MAX_CHANGE, logSlowdown));
		this.#weight += weight;
		this.#sum += weight * clipped;
		this.#squareSum += weight * clipped * clipped;
		this.#weightByWorker.set(worker, (this.#weightByWorker.get(worker) ?? 0) + weight);
		this.#changedAtMs.set(worker, changedAtMs);
	}

	/**
	 * Reduces the weight of old evidence.
	 *
	 * @param nowMs - Leader's clock.
	 */
	decay(nowMs: number): void {
		this.#scale(0.5 ** ((nowMs - this.#asOfMs) / EVIDENCE_HALF_LIFE_MS));
		this.#asOfMs = nowMs;
	}

	/** @returns Whether the decision on the pair has changed. */
	decide(): boolean {
		const wasFound = this.#isFound;
		if (wasFound) {
			this.#isFound = this.#weight >= MIN_FOUND_WEIGHT && this.slowdown >= FORGOTTEN_SLOWDOWN;
		} else if (this.#weight >= MIN_WEIGHT && this.slowdown >= MIN_SLOWDOWN) {
			const squares = this.#squareSum - (this.#weight * (this.slowdown ** 2));
			const variance = (squares + (PRIOR_WEIGHT * PRIOR_VARIANCE)) / (this.#weight + PRIOR_WEIGHT);
			const isCertain = this.slowdown - (CERTAINTY * Math.sqrt(variance / this.#weight)) >= MARGIN;
			const isSpread = this.workerCount >= MIN_WORKERS && Math.max(...this.#weightByWorker.values()) <= MAX_WORKER_SHARE * this.#weight;
			this.#isFound = isCertain && isSpread;
		}

		return this.#isFound !== wasFound;
	}

	#scale(factor: number): void {
		if (!(factor < 1)) {
			return;
		}

		this.#weight *= factor;
		this.#sum *= factor;
		this.#squareSum *= factor;
		for (const [worker, weight] of this.#weightByWorker) {
			if (weight * factor < 0.05) {
				this.#weightByWorker.delete(worker);
				this.#changedAtMs.delete(worker);
			} else {
				this.#weightByWorker.set(worker, weight * factor);
			}
		}
	}
}
