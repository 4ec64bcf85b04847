import type {Fit} from './gang-placement.js';
import type {OrderingPolicy, QueuedJob} from './ordering-policy.js';
import type {SchedulingPolicy} from './scheduler.js';

/** A gang that has waited this long gets a reservation. */
const RESERVATION_AFTER_MS = 60_000;

/** A job that has waited this many times its estimate counts as half as large. */
const AGING_FACTOR = 20;

/** A gang of this many accelerators counts by its run time alone. */
const REFERENCE_ACCELERATORS = 8;

/** Short learned work first, aged by its wait, so that a job of twice the run time passes after twice the wait. */
export class BalancedPolicy implements OrderingPolicy {
	readonly #weights: SchedulingPolicy['weights'];
	/** Exponent of a gang's accelerators; a higher one puts large gangs further ahead. */
	readonly #gangExponent: number;
	/** Factor by which short work counts as smaller than it is. */
	readonly #shortFactor: number;

	/**
	 * @param policy - The policy record.
	 */
	constructor(policy: SchedulingPolicy) {
		this.#weights = policy.weights;
		const {completion, fragmentation, peak, shortWork} = policy.weights;
		const sum = Math.max(Number.EPSILON, completion + fragmentation + peak + shortWork);
		// With equal weights, the accelerators of a gang count once, and short work as half of its size.
		this.#gangExponent = 2 * fragmentation / Math.max(Number.EPSILON, completion + fragmentation);
		this.#shortFactor = 1 / (1 + (2 * (peak + shortWork) / sum));
	}

	get fit(): Fit {
		return 'best';
	}

	get usesEstimates(): boolean {
		return true;
	}

	get blocksBehindHead(): boolean {
		return false;
	}

	order(queue: readonly QueuedJob[], nowMs: number): readonly QueuedJob[] {
		const scores = new Map(queue.map(job => [job.jobId, this.#score(job, nowMs)]));
		return queue.toSorted((left, right) => scores.get(left.jobId)! - scores.get(right.jobId)! || left.submittedAtMs - right.submittedAtMs);
	}

	wantsMigration(job: QueuedJob): boolean {
		return this.#weights.fragmentation > 0 && job.accelerators > 0;
	}

	wantsReservation(job: QueuedJob, nowMs: number): boolean {
		return this.#weights.fragmentation > 0 && job.accelerators > 1 && nowMs - job.queuedAtMs >= RESERVATION_AFTER_MS;
	}

	#score(job: QueuedJob, nowMs: number): number {
		const waitedMs = nowMs - job.queuedAtMs;
		const urgency = job.spec.workClass === 'urgent' ? 0.01 : 1;
		const workMs = job.accelerators > 1
			? job.estimateMs * ((REFERENCE_ACCELERATORS / job.accelerators) ** this.#gangExponent)
			: job.estimateMs * this.#shortFactor;
		return urgency * workMs * (1 + job.dominantShare) / (1 + (waitedMs / (AGING_FACTOR * job.estimateMs)));
	}
}
