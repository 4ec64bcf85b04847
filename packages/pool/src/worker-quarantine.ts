import {type Run, RUN_PHASES} from './job-model.js';
import type {DecisionLog} from './pool-context.js';
import type {PoolLimits} from './pool-limits.js';
import {estimateTotalMs} from './run-estimate.js';
import type {WorkerEntry} from './tracked-worker.js';

/** Failed jobs in a row after which a worker gets nothing for a while. */
const QUARANTINE_JOBS = 2;

/**
 * A run that fails this soon and without progress tells of its worker: a task that fails by its own fault fails
 * somewhere in its work, while a worker that fails everything does so within 150 ms.
 */
const IMMEDIATE_FAILURE_MS = 400;

/** Ends before a waiting job counts as forgotten, which is 3 s; the next run there tells whether the worker is sound again. */
const IMMEDIATE_QUARANTINE_MS = 2000;

/** Time for which a worker counts as doubtful after a failure, unless it does a later run well. */
const DOUBT_MS = 15_000;

/** Slowest progress that counts as such: a task may take this multiple of its estimate. */
const SLOWEST_FACTOR = 7;

/** From here on a run may only be waiting for the rest of its gang. */
const ALMOST_DONE_PERCENT = 95;

/** Steps of a percent after which a run that shows none of them stands still. */
const STALL_PERCENTS = 2;

/**
 * Records a failed run of a worker, and quarantines a worker that fails what it starts.
 *
 * @param worker - The worker.
 * @param jobId - The job whose task failed.
 * @param run - The run, if it was expected there.
 * @param context - Time, limits and log.
 */
export function noteRunFailure(worker: WorkerEntry, jobId: string, run: Run | undefined, context: {readonly limits: PoolLimits; readonly log: DecisionLog; nowMs(): number}): void {
	const nowMs = context.nowMs();
	const isImmediate = run?.startedAtMs !== undefined && run.percent === 0 && nowMs - run.startedAtMs < IMMEDIATE_FAILURE_MS;
	worker.failedJobs.add(jobId);
	if (!isImmediate && worker.failedJobs.size < QUARANTINE_JOBS) {
		return;
	}

	const forMs = worker.failedJobs.size >= QUARANTINE_JOBS ? context.limits.quarantineMs : IMMEDIATE_QUARANTINE_MS;
	worker.doubtedSinceMs = nowMs;
	worker.quarantinedUntilMs = Math.max(worker.quarantinedUntilMs, nowMs + forMs);
	context.log('worker quarantined', {
		worker: worker.life, failedJobs: worker.failedJobs.size, isImmediate, forMs,
	});
}

/**
 * Records that a worker did a run well. A run from before its last failure proves nothing.
 *
 * @param worker - The worker.
 * @param run - The run.
 */
export function noteRunSuccess(worker: WorkerEntry, run: Run): void {
	if (worker.doubtedSinceMs !== undefined && run.placedAtMs < worker.doubtedSinceMs) {
		return;
	}

	worker.failedJobs.clear();
	worker.quarantinedUntilMs = 0;
	worker.doubtedSinceMs = undefined;
}

/** @returns Whether a worker has failed or stalled of late and has not done anything well since. */
export function isDoubted(worker: WorkerEntry, nowMs: number): boolean {
	return worker.doubtedSinceMs !== undefined && nowMs - worker.doubtedSinceMs < DOUBT_MS;
}

/**
 * Finds the runs of a worker on which nothing goes on although it goes on reporting.
 *
 * @param worker - The worker; its lists are read.
 * @param limits - Shortest time that counts.
 * @returns The runs that stand still; none while any run there makes progress.
 */
export function listStalledRuns(worker: WorkerEntry, limits: PoolLimits): readonly Run[] {
	const working = [...worker.runs.values()].filter(run => isExpectedToProgress(run));
	const isStalled = (run: Run): boolean => {
		const percentMs = estimateTotalMs(run, run.progressAtMs) / 100 * (run.percent === 0 ? SLOWEST_FACTOR : 1);
		return stalledMsOf(run, worker) >= Math.max(limits.stallMs, STALL_PERCENTS * percentMs);
	};

	return working.every(run => isStalled(run)) ? working : [];
}

/** @returns How long a run has shown no progress, by the worker's newest lists. */
export function stalledMsOf(run: Run, worker: WorkerEntry): number {
	return worker.lastContactMs - run.progressAtMs;
}

/** Members of a gang work from when all are present, and the first ones to finish wait for the others. */
function isExpectedToProgress(run: Run): boolean {
	const {spec, tasks} = run.task.step;
	const isWhole = !spec.isGang || tasks.every(task => task.run?.phase === RUN_PHASES.running);
	return run.phase === RUN_PHASES.running && !run.task.isDone && !spec.isLasting && isWhole && run.percent < ALMOST_DONE_PERCENT;
}
