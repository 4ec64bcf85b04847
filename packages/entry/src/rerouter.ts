import type {Clock, JobRow} from '@amaranthsail/core';
import type {Catalog} from './catalog.js';
import type {JobRouter} from './job-router.js';

/** Interval at which waiting jobs are checked. */
export const REROUTE_INTERVAL_MS = 2000;

/** Time for which a failure domain must be unable to run a job before the job is moved. Longer than a takeover, after which the agents report again. */
const REROUTE_DELAY_MS = 15_000;

/** Maximum number of jobs moved from one failure domain in one scan, so that a lost failure domain does not overload the others. */
const MAX_MOVES_PER_SCAN = 50;

/** The operations of an owner that the rerouter uses. */
export interface ReroutingOwner {
	readonly failureDomain: string;

	/** Lists the jobs that have waited for at least the given time without an attempt. */
	waitingFor(waitedMs: number): readonly JobRow[];

	/** Moves waiting jobs to another failure domain. */
	move(jobIds: readonly string[], failureDomain: string): void;
}

/** Moves waiting jobs out of failure domains that cannot run them, for example after a whole failure domain is lost. */
export class Rerouter {
	readonly #router: JobRouter;
	readonly #clock: Clock;
	/** Monotonic time from which the failure domain of a job has been unable to run it, by job id. */
	readonly #stuckSinceMs = new Map<string, number>();

	/**
	 * @param router - Decides where a job can run.
	 * @param clock - Time source.
	 */
	constructor(router: JobRouter, clock: Clock) {
		this.#router = router;
		this.#clock = clock;
	}

	/**
	 * Checks the waiting jobs of the failure domains that this entry owns and moves those that are stuck.
	 *
	 * @param owners - The owners in this entry.
	 * @param catalog - The configuration in force; without one no job is moved.
	 */
	scan(owners: readonly ReroutingOwner[], catalog: Catalog | undefined): void {
		if (!catalog) {
			return;
		}

		const stuckJobIds = new Set<string>();
		for (const owner of owners) {
			const stuck = owner.waitingFor(REROUTE_INTERVAL_MS).filter(row => !this.#router.canRunNow(row.spec, owner.failureDomain));
			for (const {jobId} of stuck) {
				stuckJobIds.add(jobId);
			}

			for (const {jobId, spec} of stuck.filter(row => this.#isStuckLongEnough(row.jobId)).slice(0, MAX_MOVES_PER_SCAN)) {
				const target = this.#router.findAlternative(spec, owner.failureDomain, catalog);
				if (target !== undefined) {
					owner.move([jobId], target);
				}
			}
		}

		for (const jobId of this.#stuckSinceMs.keys()) {
			if (!stuckJobIds.has(jobId)) {
				this.#stuckSinceMs.delete(jobId);
			}
		}
	}

	#isStuckLongEnough(jobId: string): boolean {
		const nowMs = this.#clock.monotonicMs();
		const stuckSinceMs = this.#stuckSinceMs.get(jobId) ?? nowMs;
		this.#stuckSinceMs.set(jobId, stuckSinceMs);
		return nowMs - stuckSinceMs >= REROUTE_DELAY_MS;
	}
}
