import {weightInCores} from './capacity.js';
import type {Run} from './job-model.js';

/** A stop writes a checkpoint; what is lost then is about the time of a restore. */
const RESTORE_SECONDS = 0.6;

/**
 * Work that is lost when a run is stopped.
 *
 * @param run - The run.
 * @param nowMs - Leader's clock.
 * @returns Core-seconds, accelerators included.
 */
export function lostCoreSeconds(run: Run, nowMs: number): number {
	const {spec} = run.task.step;
	const ranSeconds = run.startedAtMs === undefined ? 0 : (nowMs - run.startedAtMs) / 1000;
	return weightInCores(spec.shape) * (spec.isCheckpointing ? Math.min(RESTORE_SECONDS, ranSeconds) : ranSeconds);
}
