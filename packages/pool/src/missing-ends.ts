import type {ListedEnd} from './model.js';
import type {TrackedWorker} from './tracked-worker.js';

/** What shows that a worker has forgotten ends that this leader has not acknowledged. */
export type MissingEnds = {readonly firstListedEnd: number | 'none'; readonly highestEnd: number};

/**
 * Finds out whether a worker has forgotten ends that nobody has read, or that this leader has not acknowledged. Ends are
 * numbered without gaps. Those that it had forgotten before this leader read an end may have been acknowledged by an
 * earlier one.
 *
 * @param worker - The worker, before these ends are processed.
 * @param ended - The ends that it lists, by number.
 * @returns The lowest listed number and the highest that was processed, or undefined if none is known to be missing.
 */
export function findMissingEnds({processedSequence, endAcknowledgements}: TrackedWorker, ended: readonly ListedEnd[]): MissingEnds | undefined {
	if (processedSequence === 0) {
		return undefined;
	}

	const firstNew = ended.find(end => end.sequence > processedSequence);
	const isUnreadMissing = firstNew !== undefined && firstNew.sequence > processedSequence + 1;
	const isPendingMissing = endAcknowledgements.hasPending && !ended.some(end => end.sequence <= processedSequence);
	return isUnreadMissing || isPendingMissing ? {firstListedEnd: ended[0]?.sequence ?? 'none', highestEnd: processedSequence} : undefined;
}
