import type {LogFields} from '@amaranthsail/core';
import {EMPTY_SHAPE} from '../capacity.js';
import {type Run, RUN_PHASES} from '../job-model.js';
import type {TrackedWorker} from '../tracked-worker.js';
import {Interference} from './interference.js';
import {kindOf} from './task-kind.js';

/** Passes the lists of tracked workers to {@link Interference}, and logs what it decides. */
export class WorkerInterference {
	readonly pairs: Interference;

	/** @param log - Logs decisions. */
	constructor(log: (event: string, fields: LogFields) => void) {
		this.pairs = new Interference(({isFound, kind, neighbour, isMutual, slowdown, weight, workers}) => {
			log(isFound ? 'interference found' : 'interference forgotten', {
				kind, neighbour, isMutual, slowdown: Math.round(slowdown * 100) / 100, evidence: Math.round(weight * 10) / 10, workers,
			});
		});
	}

	/**
	 * Observes the lists of a worker.
	 *
	 * @param worker - The worker; its clock belongs to the lists.
	 * @param listed - The expected runs that it lists, after their progress was recorded.
	 * @param completed - Runs whose success it lists for the first time.
	 * @param nowMs - Leader's clock.
	 */
	observe(worker: TrackedWorker, listed: readonly Run[], completed: readonly Run[], nowMs: number): void {
		// Runs that are not expected there may slow the others down.
		const hasUnexpectedRuns = worker.hasUnknownRuns || worker.unexpectedCapacity !== EMPTY_SHAPE;
		this.pairs.observe({
			worker,
			atMs: nowMs,
			workerClockMs: worker.workerClockMs,
			runs: hasUnexpectedRuns ? [] : listed.map(run => readingOf(run)),
			// A member of a gang was complete some time before the gang ended.
			completedRuns: completed.filter(run => !run.task.step.spec.isGang),
		});
	}

	/**
	 * Counts the runs beside a kind that slows them down.
	 *
	 * @param workers - The workers.
	 * @returns Their number.
	 */
	countSlowedRuns(workers: Iterable<TrackedWorker>): number {
		let count = 0;
		if (this.pairs.foundCount > 0) {
			for (const worker of workers) {
				count += this.pairs.countSlowed([...worker.runs.values()].map(run => kindOf(run.task.step)));
			}
		}

		return count;
	}
}

function readingOf(run: Run): {readonly run: Run; readonly kind: string; readonly percent: number; readonly isResumed: boolean; readonly isWaiting: boolean; readonly isIgnored: boolean} {
	const {spec} = run.task.step;
	return {
		run,
		kind: kindOf(run.task.step),
		percent: run.percent,
		isResumed: run.startCheckpoint !== '',
		isWaiting: spec.isGang && run.percent >= 100,
		isIgnored: spec.isLasting || run.phase === RUN_PHASES.stopping,
	};
}
