/** Demand is averaged over this time; bursts of urgent jobs last several seconds. */
const WINDOW_MS = 15_000;

/** Largest share of a pool that is kept free for urgent work. */
const MAX_SHARE = 0.2;

/** Below this share of a pool in use, nothing is kept free: there is room for both. */
const BUSY_SHARE = 0.5;

/** An urgent job: when it came, what all its tasks take together, and for how long by its estimates. */
export type UrgentArrival = {readonly atMs: number; readonly accelerators: number; readonly acceleratorMs: number};

/**
 * Accelerators that less urgent work leaves free for urgent jobs that are likely to come.
 *
 * Answers bursts of urgent jobs on a busy pool: without headroom each of them has to wait until running work
 * is stopped, and that work is lost.
 */
export class UrgentHeadroom {
	readonly #arrivals = new Map<string, UrgentArrival[]>();

	/**
	 * Records an urgent job.
	 *
	 * @param service - Its pool.
	 * @param arrival - What it takes.
	 */
	note(service: string, arrival: UrgentArrival): void {
		const arrivals = this.#arrivals.get(service) ?? [];
		arrivals.push(arrival);
		this.#arrivals.set(service, arrivals.filter(earlier => earlier.atMs > arrival.atMs - WINDOW_MS));
	}

	/**
	 * Tells whether less urgent work may take accelerators.
	 *
	 * @param service - The pool.
	 * @param room - Accelerators of the pool in all, of its largest worker, those that are free, and those that are wanted.
	 * @param nowMs - Leader's clock.
	 * @returns Whether enough is left for the urgent jobs that are likely to come.
	 */
	allows(service: string, room: {readonly capacity: number; readonly perWorker: number; readonly free: number; readonly wanted: number}, nowMs: number): boolean {
		const leftover = room.free - room.wanted;
		const used = room.capacity - leftover;
		// Whole workers, as urgent tasks may take one; a small pool keeps none.
		const most = Math.floor(room.capacity * MAX_SHARE / room.perWorker) * room.perWorker;
		return used <= room.capacity * BUSY_SHARE || leftover >= Math.min(this.demandOf(service, nowMs), most);
	}

	/** @returns Accelerators for a usual urgent job, or what the pool's urgent jobs used on average of late if that is more. */
	demandOf(service: string, nowMs: number): number {
		const recent = (this.#arrivals.get(service) ?? []).filter(arrival => arrival.atMs > nowMs - WINDOW_MS);
		if (recent.length === 0) {
			return 0;
		}

		const average = recent.reduce((sum, arrival) => sum + arrival.acceleratorMs, 0) / WINDOW_MS;
		return Math.max(average, recent.reduce((sum, arrival) => sum + arrival.accelerators, 0) / recent.length);
	}
}
