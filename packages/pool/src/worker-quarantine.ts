import type {Run} from './job-model.js';
import type {DecisionLogger} from './pool-context.js';
import type {PoolLimits} from './pool-limits.js';
import type {TrackedWorker} from './tracked-worker.js';

/** Number of jobs with a failed run, without a success in between, after which a worker is quarantined. */
const MAX_CONSECUTIVE_FAILED_JOBS = 2;

/**
 * A run that fails this soon and without progress is blamed on its worker: a faulty task fails somewhere in its work,
 * while a worker that fails everything does so within 150 ms.
 */
const MAX_IMMEDIATE_FAILURE_MS = 400;

/** Stays below the 3 s after which a waiting job counts as forgotten; the next run shows whether the worker is sound. */
const SHORT_QUARANTINE_MS = 2000;

/** Time for which a worker counts as unreliable after a failure or stall, unless a later run succeeds. */
const UNRELIABLE_PERIOD_MS = 15_000;

/** Weight of a new observation of a worker's slowness. */
const SLOWNESS_SMOOTHING = 0.5;

/**
 * Records a failed run, and quarantines the worker if it failed at once or failed several jobs in a row.
 *
 * @param worker - The worker.
 * @param jobId - The job whose task failed.
 * @param run - The run, if the leader expected it on the worker.
 * @param context - Leader's clock, limits and log.
 */
export function recordRunFailure(worker: TrackedWorker, jobId: string, run: Run | undefined, context: {readonly limits: PoolLimits; readonly log: DecisionLogger; nowMs(): number}): void {
	const nowMs = context.nowMs();
	const isImmediate = run?.startedAtMs !== undefined && run.percent === 0 && nowMs - run.startedAtMs < MAX_IMMEDIATE_FAILURE_MS;
	worker.failedJobIds.add(jobId);
	if (!isImmediate && worker.failedJobIds.size < MAX_CONSECUTIVE_FAILED_JOBS) {
		return;
	}

	// Later failures may be those of faulty jobs.
	const durationMs = isImmediate && worker.failedJobIds.size >= MAX_CONSECUTIVE_FAILED_JOBS ? context.limits.quarantineMs : SHORT_QUARANTINE_MS;
	worker.unreliableSinceMs = nowMs;
	worker.quarantinedUntilMs = Math.max(worker.quarantinedUntilMs, nowMs + durationMs);
	context.log('worker quarantined', {
		worker: worker.incarnation, failedJobs: worker.failedJobIds.size, isImmediate, forMs: durationMs,
	});
}

/**
 * Records a successful run and its speed, and clears the worker's failures and quarantine. A run placed before the last
 * failure or stall proves nothing about these.
 *
 * @param worker - The worker.
 * @param run - The run.
 * @param nowMs - Leader's clock.
 */
export function recordRunSuccess(worker: TrackedWorker, run: Run, nowMs: number): void {
	const {estimatedMs} = run.task.step.spec;
	if (estimatedMs > 0) {
		const ranMs = nowMs - (run.startedAtMs ?? run.placedAtMs);
		worker.slowness += SLOWNESS_SMOOTHING * (Math.min(ranMs / estimatedMs, 4) - worker.slowness);
	}

	if (worker.unreliableSinceMs !== undefined && run.placedAtMs < worker.unreliableSinceMs) {
		return;
	}

	worker.failedJobIds.clear();
	worker.quarantinedUntilMs = 0;
	worker.unreliableSinceMs = undefined;
}

/** @returns Whether a worker has recently failed or stalled, without a success since. */
export function isUnreliable(worker: TrackedWorker, nowMs: number): boolean {
	return worker.unreliableSinceMs !== undefined && nowMs - worker.unreliableSinceMs < UNRELIABLE_PERIOD_MS;
}
