/** Times and limits that a pool's leader works with. */
export type PoolLimits = {
	/** Lease of a worker on its own clock, counted from its last known reading. */
	readonly leaseMs: number;
	/** Time after which a silent worker is marked as suspected. */
	readonly suspectAfterMs: number;
	/** Time for which an earlier leader may go on extending leases after it was deposed. */
	readonly deposedLeaderMs: number;
	/** Time between two sends of an order that got no answer. */
	readonly orderRetryMs: number;
	/** Time after which a start without an answer is given up at its worker. */
	readonly startGiveUpMs: number;
	/** Factor by which a task is slower away from its data or spread over racks. */
	readonly remoteFactor: number;
	/** Time within which a guaranteed job has to have started. */
	readonly reclaimMs: number;
	/** Time for which a worker that failed everything gets nothing. */
	readonly quarantineMs: number;
	/** Time for which an ended job is kept, so that callers can ask for it and a repeated request finds it. */
	readonly retainEndedMs: number;
	/** Time without progress after which a run counts as stalled. */
	readonly stallMs: number;
};

/** Limits that hold where the deployment's bounds do not decide. */
export const DEFAULT_LIMITS: PoolLimits = {
	// Longer than the usual loss of a connection, so that such a loss does not cost the work done.
	leaseMs: 6000,
	// A worker's lists are at most 1.8 s old while its links work: one look of 1000 ms and one watch of 800 ms.
	suspectAfterMs: 2500,
	// A leader that cannot reach the store gives up after this time.
	deposedLeaderMs: 3000,
	// An order is answered within a few milliseconds; a second one is harmless.
	orderRetryMs: 500,
	// Leaves time for another placement within the shortest bound on guaranteed starts (2.7 s).
	startGiveUpMs: 1200,
	remoteFactor: 3,
	reclaimMs: 2700,
	// Spans the usual length of such a fault; a probe task ends it.
	quarantineMs: 6000,
	// Callers ask within minutes of the end, and repeat requests within seconds of the acceptance.
	retainEndedMs: 3_600_000,
	// Progress is reported every second; a restore takes 0.6 s, and a late restart costs an urgent job its objective.
	stallMs: 1500,
};

/** A worker's clock may be this much slower than the leader's. */
export const SLOW_CLOCK_FACTOR = 1.02;

/** Covers the way of an answer that was read before a mark was stored. */
export const FENCE_MARGIN_MS = 150;

/** A lease longer than this keeps the work of a dead worker waiting without saving more. */
const LONGEST_LEASE_MS = 8000;

/**
 * Chooses the lease of workers.
 *
 * @param maxLeaseMs - Longest lease that the workers grant.
 * @returns Milliseconds.
 */
export function leaseMsWithin(maxLeaseMs: number): number {
	return Math.min(maxLeaseMs, LONGEST_LEASE_MS);
}
