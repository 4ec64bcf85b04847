import type {Run} from './job-model.js';

/** Progress from which a run's own pace predicts its run time better than the caller's estimate. */
const MIN_PERCENT_FOR_PACE = 5;

/** @returns The total run time in milliseconds, by the run's pace up to `atMs` or by the caller's estimate. */
export function estimateTotalMs(run: Run, atMs: number): number {
	const ranMs = atMs - (run.startedAtMs ?? atMs);
	return run.percent >= MIN_PERCENT_FOR_PACE ? ranMs / run.percent * 100 : run.task.step.spec.estimatedMs;
}

/** @returns The remaining run time in milliseconds, by the run's pace or by the caller's estimate. */
export function estimateRemainingMs(run: Run, nowMs: number): number {
	const ranMs = nowMs - (run.startedAtMs ?? nowMs);
	return run.percent >= MIN_PERCENT_FOR_PACE
		? (ranMs / run.percent) * (100 - run.percent)
		: Math.max(0, run.task.step.spec.estimatedMs - ranMs);
}
