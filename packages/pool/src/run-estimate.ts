import type {Run} from './job-model.js';

/** Progress from which a run's own pace predicts its run time better than the caller's estimate. */
const MIN_PERCENT_FOR_PACE = 5;

/** @returns The total run time in milliseconds, by the run's pace up to `atMs` or by the caller's estimate. */
export function estimateTotalMs(run: Run, atMs: number): number {
	const ranMs = atMs - (run.startedAtMs ?? atMs);
	return run.percent >= MIN_PERCENT_FOR_PACE ? ranMs / run.percent * 100 : run.task.step.spec.estimatedMs;
}

/**
 * Estimates the remaining run time, by the run's pace or by the caller's estimate.
 *
 * Lists may be older than a second, and an urgent task runs for three. The pace is that up to the reading of the
 * progress; the run has gone on since.
 *
 * @param run - The run.
 * @param nowMs - Leader's clock.
 * @returns Milliseconds.
 */
export function estimateRemainingMs(run: Run, nowMs: number): number {
	const ranMs = nowMs - (run.startedAtMs ?? nowMs);
	return Math.max(0, estimateTotalMs(run, run.percentAsOfMs) - ranMs);
}
