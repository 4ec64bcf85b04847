/** Times and limits of a pool's leader. */
export type PoolLimits = {
	/** Length of a worker's lease on its own clock, counted from the clock's newest known reading. */
	readonly leaseMs: number;
	/** Longest lease that the workers grant, whatever deadline a call names. */
	readonly maxLeaseMs: number;
	/** Time after which a silent worker is suspected. */
	readonly suspectTimeoutMs: number;
	/** Time for which a deposed leader may continue to renew leases. */
	readonly deposedLeaderGraceMs: number;
	/** Time after which an unanswered order is sent again. */
	readonly orderRetryDelayMs: number;
	/** Time after which an unanswered start is stopped, so that the task can be placed again. */
	readonly startTimeoutMs: number;
	/** Factor by which a task is slower away from its data or spread over racks. */
	readonly remoteFactor: number;
	/** Bound on the time until a guaranteed job starts. */
	readonly reclaimMs: number;
	/** Longest time that a worker takes to stop a run and write its checkpoint. */
	readonly stopTimeoutMs: number;
	/** Longest time for which a worker that failed several jobs in a row gets no work; less if it did not fail them immediately. */
	readonly quarantineMs: number;
	/** Time for which an ended job is kept, so that callers can query it and a repeated request finds it. */
	readonly retainEndedMs: number;
	/** Time without progress after which a run counts as stalled. */
	readonly stallTimeoutMs: number;
	/** Placement takes the speeds of a service's workers into account once the 80th percentile is this multiple of the 20th. */
	readonly minSpeedSpread: number;
};

/** Limits used where the deployment's bounds set none. */
export const DEFAULT_LIMITS: PoolLimits = {
	// Longer than a usual loss of connection, so that it does not cost running work.
	leaseMs: 6000,
	maxLeaseMs: 6000,
	// While its connections work, a worker's lists are at most 1.8 s old: one poll of 1000 ms and one watch of 800 ms.
	suspectTimeoutMs: 2500,
	// A leader that reaches neither the store nor another entry stops renewing leases after this time.
	deposedLeaderGraceMs: 3000,
	// An order is answered within a few milliseconds, and a repeated one has no further effect.
	orderRetryDelayMs: 500,
	// Leaves time for another placement within the shortest bound on guaranteed starts (2.7 s).
	startTimeoutMs: 1200,
	remoteFactor: 3,
	reclaimMs: 2700,
	// The longest of the known deployments.
	stopTimeoutMs: 900,
	// Covers the usual length of such a fault; the next run on the worker shows whether it is over.
	quarantineMs: 6000,
	// Callers query a job within minutes of its end, and repeat requests within seconds of the acceptance.
	retainEndedMs: 3_600_000,
	// Progress is reported every second, a restore takes 0.6 s, and with a late restart an urgent job misses its objective.
	stallTimeoutMs: 1500,
	// The earlier deployments spread by up to 1.6, the one that needs this by 2.4.
	minSpeedSpread: 1.8,
};

/** Factor by which a worker's clock may be slower than the leader's. */
export const SLOW_CLOCK_FACTOR = 1.02;

/** Covers the transit of an answer that was read before the suspicion was stored. */
export const FENCE_MARGIN_MS = 150;

/** A longer lease delays the work of a dead worker without saving any more work. */
const MAX_LEASE_MS = 8000;

/**
 * Chooses the length of the workers' leases.
 *
 * @param maxLeaseMs - Longest lease that the workers accept.
 * @returns The length in milliseconds.
 */
export function leaseMsWithin(maxLeaseMs: number): number {
	return Math.min(maxLeaseMs, MAX_LEASE_MS);
}
