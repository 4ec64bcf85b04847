import {
	type Progress, type Run, RUN_PHASES, unitOf,
} from './job-model.js';
import type {ListedRun} from './model.js';
import type {PoolLimits} from './pool-limits.js';
import type {TrackedWorker} from './tracked-worker.js';

/** A task that takes up to this multiple of its estimate is slow but not stalled. */
const MAX_SLOWDOWN_FACTOR = 7;

/** From this percentage on, a run may only be waiting for the rest of its gang. */
const ALMOST_DONE_PERCENT = 95;

/** A run is stalled if it shows no progress for the time that this many percent should take. */
const MIN_STALLED_PERCENTS = 2;

/**
 * Records the progress of a listed run: a higher percentage, or a new checkpoint where one percent takes longer than that.
 *
 * @param run - The run, with its last recorded percentage and checkpoint; it is running.
 * @param listed - Its entry in the newest list.
 * @param nowMs - Leader's clock.
 */
export function recordProgress(run: Run, {percent, checkpoint}: ListedRun, nowMs: number): void {
	const isFromStart = !run.isRestored && run.startCheckpoint === '' && run.startedAtMs !== undefined;
	run.firstProgress ??= isFromStart ? {atMs: run.startedAtMs!, percent: 0, isExact: true} : {atMs: nowMs, percent, isExact: false};
	if (percent !== run.percent) {
		recordPercent(run, percent, run.firstProgress, nowMs);
		run.progressAtMs = nowMs;
		run.isStalled = false;
	} else if (checkpoint !== '' && checkpoint !== run.checkpoint) {
		run.progressAtMs = nowMs;
		run.isStalled = false;
	}
}

/** The time of one percent is not known before the first change of a run that had shown its percentage for an unknown time. */
function recordPercent(run: Run, percent: number, first: Progress, nowMs: number): void {
	run.percent = percent;
	if (percent <= first.percent) {
		return;
	}

	if (!first.isExact) {
		run.firstProgress = {atMs: nowMs, percent, isExact: true};
		return;
	}

	run.percentMs = (nowMs - first.atMs) / (percent - first.percent);
	run.task.step.percentMs = run.percentMs;
}

/**
 * Finds the stalled runs of a worker that still reports.
 *
 * Percentages are whole numbers, so a worker without progress and work of hours look alike for a while. A run counts as
 * stalled once it shows no progress for a multiple of the time that one percent should take. Before that time is known,
 * each stall of a task doubles the time until the next one, so that long work loses a small share of its time.
 *
 * @param worker - The worker; it has reported its lists.
 * @param limits - Holds the shortest time without progress that counts as a stall.
 * @returns The stalled runs; none while any run there makes progress.
 */
export function listStalledRuns(worker: TrackedWorker, limits: PoolLimits): readonly Run[] {
	const progressing = [...worker.runs.values()].filter(run => isExpectedToProgress(run));
	const isStalled = (run: Run): boolean => stalledMsOf(run, worker) >= Math.max(minStallMs(run, limits), MIN_STALLED_PERCENTS * expectedPercentMs(run));
	return progressing.every(run => isStalled(run)) ? progressing : [];
}

/** @returns Milliseconds without progress of a run, up to the worker's newest lists. */
export function stalledMsOf(run: Run, worker: TrackedWorker): number {
	return worker.listsAsOfMs - run.progressAtMs;
}

/**
 * Judges whether a stalled run should move. How long a stall will last is unknown, so a run without checkpoints moves once
 * it has been stalled for as long as its lost work would take again.
 *
 * @param run - A stalled run.
 * @param stalledMs - Time without progress.
 * @returns Whether to stop it.
 */
export function shouldMove(run: Run, stalledMs: number): boolean {
	return run.task.step.spec.isCheckpointing || stalledMs >= expectedPercentMs(run) * run.percent;
}

/** @param run - A run that is being stopped as stalled. */
export function recordStall(run: Run): void {
	unitOf(run.task)[0]!.stallCount++;
}

/** Shortest time without progress that counts as a stall of the run. */
function minStallMs(run: Run, {stallTimeoutMs}: PoolLimits): number {
	// A new leader does not know the stalls that an earlier one has seen.
	const stallCount = unitOf(run.task)[0]!.stallCount + (run.isRestored ? 1 : 0);
	return stallTimeoutMs * (2 ** stallCount);
}

/** @returns Milliseconds that one percent of the run takes, as far as it is known. */
function expectedPercentMs({percentMs, isRestored, percent, firstProgress, task: {step}}: Run): number {
	if (percentMs !== undefined) {
		return percentMs;
	}

	if (isRestored && percent > 0) {
		// It has been at work for some time that only its job's age bounds.
		return Math.max(0, (firstProgress?.atMs ?? 0) - step.job.acceptedAtLeaderClockMs) / percent;
	}

	return Math.max(step.spec.estimatedMs / 100 * MAX_SLOWDOWN_FACTOR, step.percentMs ?? 0);
}

/** Members of a gang make progress only once all of them run, and those that finish first wait for the others. */
function isExpectedToProgress(run: Run): boolean {
	const {spec, tasks} = run.task.step;
	const isUnitRunning = !spec.isGang || tasks.every(task => task.run?.phase === RUN_PHASES.running);
	return run.phase === RUN_PHASES.running && !run.task.isDone && !spec.isLasting && isUnitRunning && run.percent < ALMOST_DONE_PERCENT;
}
