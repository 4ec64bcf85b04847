import {weightInCores} from './capacity.js';
import type {Run} from './job-model.js';

/** Work lost by a run that writes checkpoints: a stop writes one, so the loss is about the time to restore it. */
const CHECKPOINT_RESTORE_SECONDS = 0.6;

/**
 * Estimates the work that is lost if a run is stopped.
 *
 * @param run - The run.
 * @param nowMs - Leader's clock.
 * @returns Core-seconds, with accelerators counted as cores.
 */
export function lostCoreSeconds(run: Run, nowMs: number): number {
	const {spec} = run.task.step;
	const ranSeconds = run.startedAtMs === undefined ? 0 : (nowMs - run.startedAtMs) / 1000;
	return weightInCores(spec.shape) * (spec.isCheckpointing ? Math.min(CHECKPOINT_RESTORE_SECONDS, ranSeconds) : ranSeconds);
}
