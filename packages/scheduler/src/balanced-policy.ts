import type {FitStrategy} from './gang-placement.js';
import type {OrderingPolicy, QueuedJob} from './ordering-policy.js';
import type {SchedulingPolicy} from './scheduler.js';

/** Wait after which a gang gets a reservation. */
const MIN_WAIT_FOR_RESERVATION_MS = 60_000;

/** After waiting this many times its estimate, a job has half its original score. */
const AGING_FACTOR = 20;

/** Number of accelerators at which a gang is scored by its run time alone. */
const REFERENCE_ACCELERATORS = 8;

/**
 * Shortest estimated run time first, with aging: the score falls with the wait relative to the estimate, so a job of
 * twice the run time overtakes others after twice the wait.
 */
export class BalancedPolicy implements OrderingPolicy {
	readonly #weights: SchedulingPolicy['weights'];
	/** Exponent of a gang's accelerators; a higher one favors large gangs more. */
	readonly #gangExponent: number;
	/** Factor on the estimate of jobs with at most one accelerator. */
	readonly #shortWorkFactor: number;

	/**
	 * @param policy - The policy record.
	 */
	constructor(policy: SchedulingPolicy) {
		this.#weights = policy.weights;
		const {completion, fragmentation, peak, shortWork} = policy.weights;
		const sum = Math.max(Number.EPSILON, completion + fragmentation + peak + shortWork);
		// With equal weights, the exponent is 1 and the factor is 0.5.
		this.#gangExponent = 2 * fragmentation / Math.max(Number.EPSILON, completion + fragmentation);
		this.#shortWorkFactor = 1 / (1 + (2 * (peak + shortWork) / sum));
	}

	get fit(): FitStrategy {
		return 'best';
	}

	get usesEstimates(): boolean {
		return true;
	}

	get hasHeadOfLineBlocking(): boolean {
		return false;
	}

	order(queue: readonly QueuedJob[], nowMs: number): readonly QueuedJob[] {
		const scores = new Map(queue.map(job => [job.jobId, this.#score(job, nowMs)]));
		return queue.toSorted((left, right) => scores.get(left.jobId)! - scores.get(right.jobId)! || left.submittedAtMs - right.submittedAtMs);
	}

	mayMigrateFor(job: QueuedJob): boolean {
		return this.#weights.fragmentation > 0 && job.accelerators > 0;
	}

	shouldReserveFor(job: QueuedJob, nowMs: number): boolean {
		return this.#weights.fragmentation > 0 && job.accelerators > 1 && nowMs - job.queuedAtMs >= MIN_WAIT_FOR_RESERVATION_MS;
	}

	#score(job: QueuedJob, nowMs: number): number {
		const waitedMs = nowMs - job.queuedAtMs;
		const urgencyFactor = job.spec.workClass === 'urgent' ? 0.01 : 1;
		const workMs = job.accelerators > 1
			? job.estimateMs * ((REFERENCE_ACCELERATORS / job.accelerators) ** this.#gangExponent)
			: job.estimateMs * this.#shortWorkFactor;
		return urgencyFactor * workMs * (1 + job.dominantShare) / (1 + (waitedMs / (AGING_FACTOR * job.estimateMs)));
	}
}
