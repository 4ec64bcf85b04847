/** Time over which demand is averaged; bursts of urgent jobs last several seconds. */
const DEMAND_WINDOW_MS = 15_000;

/** Largest share of a pool that is kept free for urgent work. */
const MAX_HEADROOM_SHARE = 0.2;

/** No headroom is kept up to this share of the pool's accelerators in use, as the rest suffices for urgent work. */
const MIN_USED_SHARE_FOR_HEADROOM = 0.5;

/** An accepted urgent job: the accelerators of its widest step, and its accelerator time by the caller's estimates. */
export type UrgentArrival = {readonly atMs: number; readonly accelerators: number; readonly acceleratorMs: number};

/**
 * Decides how many accelerators less urgent work has to leave free for expected urgent jobs.
 *
 * Without headroom on a busy pool, each urgent job of a burst waits until running work is stopped, and that work is
 * lost.
 */
export class UrgentHeadroom {
	readonly #arrivals = new Map<string, UrgentArrival[]>();

	/**
	 * Records an urgent job.
	 *
	 * @param service - The service whose workers it runs on.
	 * @param arrival - Its time and demand.
	 */
	recordArrival(service: string, arrival: UrgentArrival): void {
		const arrivals = this.#arrivals.get(service) ?? [];
		arrivals.push(arrival);
		this.#arrivals.set(service, arrivals.filter(earlier => earlier.atMs > arrival.atMs - DEMAND_WINDOW_MS));
	}

	/**
	 * Decides whether less urgent work may take accelerators.
	 *
	 * @param service - The service.
	 * @param accelerators - Accelerators of the service's workers in total and of its largest worker, those that are free,
	 * and those that are requested.
	 * @param nowMs - Leader's clock.
	 * @returns Whether enough accelerators stay free for the expected urgent jobs.
	 */
	allows(service: string, accelerators: {readonly capacity: number; readonly perWorker: number; readonly free: number; readonly requested: number}, nowMs: number): boolean {
		const freeAfterwards = accelerators.free - accelerators.requested;
		const used = accelerators.capacity - freeAfterwards;
		// In whole workers, as an urgent task may need one; a small pool keeps no headroom.
		const maxHeadroom = Math.floor(accelerators.capacity * MAX_HEADROOM_SHARE / accelerators.perWorker) * accelerators.perWorker;
		return used <= accelerators.capacity * MIN_USED_SHARE_FOR_HEADROOM || freeAfterwards >= Math.min(this.demandOf(service, nowMs), maxHeadroom);
	}

	/** @returns The mean accelerators of a recent urgent job, or the mean use by all recent urgent jobs if that is more. */
	demandOf(service: string, nowMs: number): number {
		const recent = (this.#arrivals.get(service) ?? []).filter(arrival => arrival.atMs > nowMs - DEMAND_WINDOW_MS);
		if (recent.length === 0) {
			return 0;
		}

		const average = recent.reduce((sum, arrival) => sum + arrival.acceleratorMs, 0) / DEMAND_WINDOW_MS;
		return Math.max(average, recent.reduce((sum, arrival) => sum + arrival.accelerators, 0) / recent.length);
	}
}
