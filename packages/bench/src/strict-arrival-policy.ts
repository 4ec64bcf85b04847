import {FirstFitPolicy, type OrderingPolicy} from '@amaranthsail/scheduler';

/** A weaker reference than the baseline: jobs in order of arrival, and nothing overtakes a job that does not fit. */
export class StrictArrivalPolicy extends FirstFitPolicy implements OrderingPolicy {
	override get blocksBehindHead(): boolean {
		return true;
	}
}
