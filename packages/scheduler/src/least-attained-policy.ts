import type {Fit} from './gang-placement.js';
import type {OrderingPolicy, QueuedJob} from './ordering-policy.js';

/** Puts the account first that has had the least accelerator time for its weight. */
export class LeastAttainedPolicy implements OrderingPolicy {
	get fit(): Fit {
		return 'best';
	}

	get usesEstimates(): boolean {
		return false;
	}

	get blocksBehindHead(): boolean {
		return false;
	}

	order(queue: readonly QueuedJob[]): readonly QueuedJob[] {
		return queue.toSorted((left, right) => left.attainedService - right.attainedService || left.submittedAtMs - right.submittedAtMs);
	}

	wantsMigration(): boolean {
		return false;
	}

	wantsReservation(): boolean {
		return false;
	}
}
