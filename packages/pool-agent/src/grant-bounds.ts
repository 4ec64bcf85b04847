import type {WorkerLists} from '@amaranthsail/pool';
import type {WatchRequest} from './agent-messages.js';

/** A leader's leases end less than this many lease lengths after the worker's clock in its newest lists. */
const MAX_LEASES = 2;

/** An acknowledgement goes beyond the newest lists by less than this; the worker lists at most 500 ends at a time. */
const MAX_UNLISTED_ENDS = 1000;

/** Longest wait of a watch; leaders ask for less than 1 s. */
const MAX_WATCH_WAIT_MS = 10_000;

/**
 * Bounds what a watch grants to the worker, whatever another program asks for: the lease must still expire, and a number
 * that is far above those of the listed ends must not acknowledge later ones.
 *
 * @param request - The watch request.
 * @param lists - The worker's newest lists.
 * @param leaseMs - Length of a lease.
 * @returns End of the lease on the worker's clock, and number of the last acknowledged end; 0 where there is none.
 */
export function boundGrant(request: WatchRequest, lists: WorkerLists, leaseMs: number): {readonly leaseUntilMs: number; readonly ackSequence: number} {
	const highestListed = Math.max(0, ...lists.ended.map(end => end.sequence));
	const ackSequence = request.ackSequence ?? 0;
	return {
		leaseUntilMs: Math.min(request.leaseUntilMs ?? 0, Math.floor(lists.clockMs + (MAX_LEASES * leaseMs))),
		ackSequence: ackSequence <= highestListed + MAX_UNLISTED_ENDS ? ackSequence : 0,
	};
}

/** @returns Time for which the agent waits for a change before it answers a watch. */
export function boundWaitMs({waitMs}: WatchRequest): number {
	return Math.min(waitMs, MAX_WATCH_WAIT_MS);
}
