import type {Fit} from './gang-placement.js';
import type {OrderingPolicy, QueuedJob} from './ordering-policy.js';

/** The baseline: jobs in order of arrival, each on the first workers that fit. A job that does not fit is passed over. */
export class FirstFitPolicy implements OrderingPolicy {
	get fit(): Fit {
		return 'first';
	}

	get usesEstimates(): boolean {
		return false;
	}

	get blocksBehindHead(): boolean {
		return false;
	}

	order(queue: readonly QueuedJob[]): readonly QueuedJob[] {
		return queue.toSorted((left, right) => left.submittedAtMs - right.submittedAtMs);
	}

	wantsMigration(): boolean {
		return false;
	}

	wantsReservation(): boolean {
		return false;
	}
}
