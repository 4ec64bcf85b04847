import type {Clock, JobRow} from '@amaranthsail/core';
import type {Catalog} from './catalog.js';
import type {Router} from './router.js';

/** How often waiting jobs are looked at. */
export const REROUTE_INTERVAL_MS = 2000;

/** A job moves only after its failure domain could not run it for this long. Longer than a takeover, after which agents report anew. */
const REROUTE_AFTER_MS = 15_000;

/** Jobs of one failure domain that move in one run, so that a lost failure domain does not flood the others at once. */
const MAX_MOVES = 50;

/** The owner of a failure domain as the rerouter needs it. */
export interface MovableJobs {
	readonly failureDomain: string;

	/** Lists the jobs that have waited for at least a time without an attempt. */
	waitingFor(waitedMs: number): readonly JobRow[];

	/** Hands waiting jobs over to another failure domain. */
	move(jobIds: readonly string[], failureDomain: string): void;
}

/** Moves waiting jobs away from failure domains that cannot run them, for example after the loss of a whole one. */
export class Rerouter {
	readonly #router: Router;
	readonly #clock: Clock;
	/** Since when a job's failure domain cannot run it. */
	readonly #stuckSinceMs = new Map<string, number>();

	/**
	 * @param router - Knows the loads of the failure domains.
	 * @param clock - Source of time.
	 */
	constructor(router: Router, clock: Clock) {
		this.#router = router;
		this.#clock = clock;
	}

	/**
	 * Looks at the waiting jobs of the failure domains that this entry owns.
	 *
	 * @param owners - The owners.
	 * @param catalog - The configuration in force; nothing moves without one.
	 */
	run(owners: readonly MovableJobs[], catalog: Catalog | undefined): void {
		if (!catalog) {
			return;
		}

		const seen = new Set<string>();
		for (const owner of owners) {
			const stuck = owner.waitingFor(REROUTE_INTERVAL_MS).filter(row => !this.#router.canRunNow(row.spec, owner.failureDomain));
			for (const {jobId} of stuck) {
				seen.add(jobId);
			}

			for (const {jobId, spec} of stuck.filter(row => this.#isDue(row.jobId)).slice(0, MAX_MOVES)) {
				const target = this.#router.alternativeTo(spec, owner.failureDomain, catalog);
				if (target !== undefined) {
					owner.move([jobId], target);
				}
			}
		}

		for (const jobId of this.#stuckSinceMs.keys()) {
			if (!seen.has(jobId)) {
				this.#stuckSinceMs.delete(jobId);
			}
		}
	}

	#isDue(jobId: string): boolean {
		const nowMs = this.#clock.monotonicMs();
		const sinceMs = this.#stuckSinceMs.get(jobId) ?? nowMs;
		this.#stuckSinceMs.set(jobId, sinceMs);
		return nowMs - sinceMs >= REROUTE_AFTER_MS;
	}
}
