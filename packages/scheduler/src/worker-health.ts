import {MAX_ATTEMPTS, QUARANTINE_AFTER_FAILURES, QUARANTINE_PROBE_MAX_MS, QUARANTINE_PROBE_MS} from '@amaranthsail/core';

type Health = {
	/** Jobs that failed on the worker since its last success. */
	readonly failedJobs: Set<string>;
	quarantined: boolean;
	probeDelayMs: number;
	probeAtMs: number;
	lastFailureAtMs: number;
	probeJobId?: string;
};

/** Attempts after which a job is given up even if other jobs failed on its workers as well. */
const MAX_UNDECIDED_ATTEMPTS = 2 * MAX_ATTEMPTS;

/** Tells workers that fail everything from jobs that never run. */
export class WorkerHealth {
	readonly #workers = new Map<string, Health>();

	/**
	 * Notes a failed task.
	 *
	 * @param workerId - The worker.
	 * @param jobId - The job.
	 * @param nowMs - The time of the failure.
	 */
	failed(workerId: string, jobId: string, nowMs: number): void {
		const health = this.#of(workerId);
		health.failedJobs.add(jobId);
		health.lastFailureAtMs = nowMs;
		if (health.quarantined) {
			health.probeJobId = undefined;
			health.probeDelayMs = Math.min(health.probeDelayMs * 2, QUARANTINE_PROBE_MAX_MS);
			health.probeAtMs = nowMs + health.probeDelayMs;
		} else if (health.failedJobs.size >= QUARANTINE_AFTER_FAILURES) {
			health.quarantined = true;
			health.probeDelayMs = QUARANTINE_PROBE_MS;
			health.probeAtMs = nowMs + QUARANTINE_PROBE_MS;
		}
	}

	/**
	 * Notes a task that finished; ends a quarantine.
	 *
	 * @param workerId - The worker.
	 */
	succeeded(workerId: string): void {
		const health = this.#of(workerId);
		health.failedJobs.clear();
		health.quarantined = false;
		health.probeJobId = undefined;
	}

	/**
	 * Notes that a job left a worker without success or failure, so that another one can probe it.
	 *
	 * @param workerId - The worker.
	 * @param jobId - The job.
	 */
	left(workerId: string, jobId: string): void {
		const health = this.#workers.get(workerId);
		if (health?.probeJobId === jobId) {
			health.probeJobId = undefined;
		}
	}

	/**
	 * Notes that a job was placed; on a quarantined worker it is the probe.
	 *
	 * @param workerId - The worker.
	 * @param jobId - The job.
	 */
	placed(workerId: string, jobId: string): void {
		const health = this.#workers.get(workerId);
		if (health?.quarantined) {
			health.probeJobId = jobId;
		}
	}

	/**
	 * Ends quarantines without a failure for long. Without this, workers stay idle when all the work that waits
	 * must not be used as a probe.
	 *
	 * @param nowMs - The present time.
	 */
	expire(nowMs: number): void {
		for (const [workerId, health] of this.#workers) {
			if (health.quarantined && health.probeJobId === undefined && nowMs - health.lastFailureAtMs >= QUARANTINE_PROBE_MAX_MS) {
				this.#workers.delete(workerId);
			}
		}
	}

	/**
	 * Tells whether a worker is quarantined.
	 *
	 * @param workerId - The worker.
	 * @returns Whether it failed several jobs in a row and no probe has succeeded since.
	 */
	isQuarantined(workerId: string): boolean {
		return this.#workers.get(workerId)?.quarantined ?? false;
	}

	/**
	 * Tells whether a worker may get a job.
	 *
	 * @param workerId - The worker.
	 * @param nowMs - The present time.
	 * @returns True for a worker that is not quarantined or is due for its probe.
	 */
	mayTake(workerId: string, nowMs: number): boolean {
		const health = this.#workers.get(workerId);
		return !health?.quarantined || (health.probeJobId === undefined && nowMs >= health.probeAtMs);
	}

	/**
	 * Decides whether a job can never run. A failure counts against the job only on a worker that no other job
	 * has failed on since its last success.
	 *
	 * @param failedWorkers - The workers on which the job failed.
	 * @returns Whether the job is to be given up.
	 */
	neverRuns(failedWorkers: ReadonlySet<string>): boolean {
		let against = 0;
		for (const workerId of failedWorkers) {
			const health = this.#workers.get(workerId);
			if (!health?.quarantined && (health?.failedJobs.size ?? 0) <= 1) {
				against++;
			}
		}

		return against >= MAX_ATTEMPTS || failedWorkers.size >= MAX_UNDECIDED_ATTEMPTS;
	}

	/**
	 * Takes the failures of a job that never runs off its workers' records.
	 *
	 * @param jobId - The job.
	 */
	absolve(jobId: string): void {
		for (const health of this.#workers.values()) {
			if (health.failedJobs.delete(jobId) && health.failedJobs.size < QUARANTINE_AFTER_FAILURES) {
				health.quarantined = false;
				health.probeJobId = undefined;
			}
		}
	}

	/**
	 * Forgets a worker.
	 *
	 * @param workerId - The worker.
	 */
	forget(workerId: string): void {
		this.#workers.delete(workerId);
	}

	#of(workerId: string): Health {
		let health = this.#workers.get(workerId);
		if (!health) {
			health = {
				failedJobs: new Set(), quarantined: false, probeDelayMs: QUARANTINE_PROBE_MS, probeAtMs: 0, lastFailureAtMs: 0,
			};
			this.#workers.set(workerId, health);
		}

		return health;
	}
}
