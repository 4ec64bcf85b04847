import type {Run} from './job-model.js';

/** Share of a run, in percent, from which its own pace tells more than the estimate. */
const TELLING_PERCENT = 5;

/** @returns How long a run takes in all, by its pace up to a time or by the caller's estimate. */
export function estimateTotalMs(run: Run, atMs: number): number {
	const ranMs = atMs - (run.startedAtMs ?? atMs);
	return run.percent >= TELLING_PERCENT ? ranMs / run.percent * 100 : run.task.step.spec.estimatedMs;
}

/** @returns How long a run still takes, by its pace or by the caller's estimate. */
export function estimateRemainingMs(run: Run, nowMs: number): number {
	const ranMs = nowMs - (run.startedAtMs ?? nowMs);
	return run.percent >= TELLING_PERCENT
		? (ranMs / run.percent) * (100 - run.percent)
		: Math.max(0, run.task.step.spec.estimatedMs - ranMs);
}
