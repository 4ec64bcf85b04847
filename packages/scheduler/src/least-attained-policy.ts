import type {FitStrategy} from './gang-placement.js';
import type {OrderingPolicy, QueuedJob} from './ordering-policy.js';

/** Least attained service: the account that has used the least accelerator time for its weight is first. */
export class LeastAttainedPolicy implements OrderingPolicy {
	get fit(): FitStrategy {
		return 'best';
	}

	get usesEstimates(): boolean {
		return false;
	}

	get hasHeadOfLineBlocking(): boolean {
		return false;
	}

	order(queue: readonly QueuedJob[]): readonly QueuedJob[] {
		return queue.toSorted((left, right) => left.attainedService - right.attainedService || left.submittedAtMs - right.submittedAtMs);
	}

	mayMigrateFor(): boolean {
		return false;
	}

	shouldReserveFor(): boolean {
		return false;
	}
}
