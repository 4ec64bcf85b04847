import type {FitStrategy} from './gang-placement.js';
import type {OrderingPolicy, QueuedJob} from './ordering-policy.js';

/** The baseline: jobs in order of arrival, each on the first workers that fit. A job that does not fit is skipped. */
export class FirstFitPolicy implements OrderingPolicy {
	get fit(): FitStrategy {
		return 'first';
	}

	get usesEstimates(): boolean {
		return false;
	}

	get hasHeadOfLineBlocking(): boolean {
		return false;
	}

	order(queue: readonly QueuedJob[]): readonly QueuedJob[] {
		return queue.toSorted((left, right) => left.submittedAtMs - right.submittedAtMs);
	}

	mayMigrateFor(): boolean {
		return false;
	}

	shouldReserveFor(): boolean {
		return false;
	}
}
