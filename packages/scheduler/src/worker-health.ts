import {MAX_ATTEMPTS, QUARANTINE_FAILURE_THRESHOLD, MAX_QUARANTINE_PROBE_DELAY_MS, QUARANTINE_PROBE_DELAY_MS} from '@amaranthsail/core';

type WorkerHealthRecord = {
	/** Jobs that failed on the worker since its last success. */
	readonly failedJobs: Set<string>;
	isQuarantined: boolean;
	probeDelayMs: number;
	probeAtMs: number;
	lastFailureAtMs: number;
	probeJobId?: string;
};

/** Distinct failed workers after which a job is refused even if other jobs failed on them as well. */
const MAX_FAILED_WORKERS = 2 * MAX_ATTEMPTS;

/** Distinguishes workers on which every job fails from jobs that fail on every worker. */
export class WorkerHealth {
	readonly #workers = new Map<string, WorkerHealthRecord>();

	/**
	 * Records a failed task. Failures of several distinct jobs in a row quarantine the worker.
	 *
	 * @param workerId - The worker.
	 * @param jobId - The job.
	 * @param nowMs - The time of the failure.
	 */
	recordFailure(workerId: string, jobId: string, nowMs: number): void {
		const health = this.#recordOf(workerId);
		health.failedJobs.add(jobId);
		health.lastFailureAtMs = nowMs;
		if (health.isQuarantined) {
			health.probeJobId = undefined;
			health.probeDelayMs = Math.min(health.probeDelayMs * 2, MAX_QUARANTINE_PROBE_DELAY_MS);
			health.probeAtMs = nowMs + health.probeDelayMs;
		} else if (health.failedJobs.size >= QUARANTINE_FAILURE_THRESHOLD) {
			health.isQuarantined = true;
			health.probeDelayMs = QUARANTINE_PROBE_DELAY_MS;
			health.probeAtMs = nowMs + QUARANTINE_PROBE_DELAY_MS;
		}
	}

	/**
	 * Records a completed task, which ends a quarantine.
	 *
	 * @param workerId - The worker.
	 */
	recordSuccess(workerId: string): void {
		const health = this.#recordOf(workerId);
		health.failedJobs.clear();
		health.isQuarantined = false;
		health.probeJobId = undefined;
	}

	/**
	 * Records that a job left a worker without success or failure, so that another job can probe it.
	 *
	 * @param workerId - The worker.
	 * @param jobId - The job.
	 */
	recordDeparture(workerId: string, jobId: string): void {
		const health = this.#workers.get(workerId);
		if (health?.probeJobId === jobId) {
			health.probeJobId = undefined;
		}
	}

	/**
	 * Records a placed job; on a quarantined worker it is the probe.
	 *
	 * @param workerId - The worker.
	 * @param jobId - The job.
	 */
	recordPlacement(workerId: string, jobId: string): void {
		const health = this.#workers.get(workerId);
		if (health?.isQuarantined) {
			health.probeJobId = jobId;
		}
	}

	/**
	 * Ends the quarantine of workers without a failure during the longest probe delay. Otherwise, they would stay idle
	 * while all waiting work is non-repeatable and cannot serve as a probe.
	 *
	 * @param nowMs - The current time.
	 */
	expireQuarantines(nowMs: number): void {
		for (const [workerId, health] of this.#workers) {
			if (health.isQuarantined && health.probeJobId === undefined && nowMs - health.lastFailureAtMs >= MAX_QUARANTINE_PROBE_DELAY_MS) {
				this.#workers.delete(workerId);
			}
		}
	}

	/**
	 * Checks whether a worker is quarantined.
	 *
	 * @param workerId - The worker.
	 * @returns Whether it failed several jobs in a row and no probe has succeeded since.
	 */
	isQuarantined(workerId: string): boolean {
		return this.#workers.get(workerId)?.isQuarantined ?? false;
	}

	/**
	 * Checks whether a worker may receive a job.
	 *
	 * @param workerId - The worker.
	 * @param nowMs - The current time.
	 * @returns Whether it is not quarantined or is due for a probe.
	 */
	mayReceiveJob(workerId: string, nowMs: number): boolean {
		const health = this.#workers.get(workerId);
		return !health?.isQuarantined || (health.probeJobId === undefined && nowMs >= health.probeAtMs);
	}

	/**
	 * Checks whether the failures are the job's own fault. A failure counts against the job only on a worker on which
	 * no other job has failed since the worker's last success.
	 *
	 * @param failedWorkers - The workers on which the job failed.
	 * @returns Whether to refuse the job.
	 */
	isJobAtFault(failedWorkers: ReadonlySet<string>): boolean {
		let failuresOfJob = 0;
		for (const workerId of failedWorkers) {
			const health = this.#workers.get(workerId);
			if (!health?.isQuarantined && (health?.failedJobs.size ?? 0) <= 1) {
				failuresOfJob++;
			}
		}

		return failuresOfJob >= MAX_ATTEMPTS || failedWorkers.size >= MAX_FAILED_WORKERS;
	}

	/**
	 * Removes the failures of a job that was at fault from the records of its workers.
	 *
	 * @param jobId - The job.
	 */
	discardFailures(jobId: string): void {
		for (const health of this.#workers.values()) {
			if (health.failedJobs.delete(jobId) && health.failedJobs.size < QUARANTINE_FAILURE_THRESHOLD) {
				health.isQuarantined = false;
				health.probeJobId = undefined;
			}
		}
	}

	/**
	 * Removes the record of a worker.
	 *
	 * @param workerId - The worker.
	 */
	forget(workerId: string): void {
		this.#workers.delete(workerId);
	}

	#recordOf(workerId: string): WorkerHealthRecord {
		let health = this.#workers.get(workerId);
		if (!health) {
			health = {
				failedJobs: new Set(), isQuarantined: false, probeDelayMs: QUARANTINE_PROBE_DELAY_MS, probeAtMs: 0, lastFailureAtMs: 0,
			};
			this.#workers.set(workerId, health);
		}

		return health;
	}
}
