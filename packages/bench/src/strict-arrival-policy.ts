import {FirstFitPolicy, type OrderingPolicy} from '@amaranthsail/scheduler';

/** Places jobs strictly in order of arrival: a job that does not fit blocks all later ones. A weaker reference than the baseline. */
export class StrictArrivalPolicy extends FirstFitPolicy implements OrderingPolicy {
	override get hasHeadOfLineBlocking(): boolean {
		return true;
	}
}
