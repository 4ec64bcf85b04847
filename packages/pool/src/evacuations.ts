import {type PoolLimits, SLOW_CLOCK_FACTOR, START_TRANSIT_MS} from './pool-limits.js';
import type {TrackedWorker} from './tracked-worker.js';

/** Time between the last moment at which a worker accepts a start and the bound on the evacuation. */
const DEADLINE_MARGIN_MS = 200;

/** Failure domains to whose workers nothing more may be sent, and when the store last confirmed that these are all. */
export class Evacuations {
	readonly #evacuationMs: number | undefined;
	#failureDomains: ReadonlySet<string> = new Set();
	#confirmedAtMs = Number.NEGATIVE_INFINITY;

	/** @param limits - Times and limits; without a bound on evacuations starts need no confirmation. */
	constructor(limits: PoolLimits) {
		this.#evacuationMs = limits.evacuationMs;
	}

	/** Names of the evacuated failure domains. */
	get failureDomains(): ReadonlySet<string> {
		return this.#failureDomains;
	}

	/** Whether the requests have been read, as far as they have to be. */
	get areKnown(): boolean {
		return this.#evacuationMs === undefined || this.#confirmedAtMs > Number.NEGATIVE_INFINITY;
	}

	/** @param failureDomains - All failure domains whose evacuation is requested. */
	set(failureDomains: ReadonlySet<string>): void {
		this.#failureDomains = new Set(failureDomains);
	}

	/** @returns Whether the evacuation of a failure domain is requested. */
	has(failureDomain: string): boolean {
		return this.#failureDomains.has(failureDomain);
	}

	/** @param atMs - Leader's clock when the store was asked for the requests; its answer showed no other ones. */
	confirm(atMs: number): void {
		this.#confirmedAtMs = Math.max(this.#confirmedAtMs, atMs);
	}

	/** @returns Whether a start that is sent now arrives within the bound, even if an evacuation has been requested since the last confirmation. */
	mayStart(nowMs: number): boolean {
		return this.#evacuationMs === undefined || nowMs - this.#confirmedAtMs < this.#evacuationMs - START_TRANSIT_MS;
	}

	/**
	 * Computes until when a worker may carry out a start that is sent now. Calls to a worker may be carried out seconds after
	 * they were given up; the worker refuses a start after its deadline.
	 *
	 * @param worker - The worker.
	 * @param leaseMs - Length of a lease.
	 * @returns The deadline on the worker's clock: the end of its lease, or the bound on an evacuation that is not known yet.
	 */
	startDeadlineOf(worker: TrackedWorker, leaseMs: number): number {
		const boundMs = this.#evacuationMs === undefined
			? leaseMs
			: (this.#confirmedAtMs + this.#evacuationMs - DEADLINE_MARGIN_MS - worker.listsAsOfMs) / SLOW_CLOCK_FACTOR;
		return Math.floor(worker.workerClockMs + Math.min(leaseMs, boundMs));
	}
}
