import type {Run, StepState} from './job-model.js';
import {type ListedRun} from './model.js';

/** Progress of one run between two readings. */
export type PaceSample = {
	/** Name of the worker's agent, which outlives the worker's incarnations. */
	readonly agent: string;
	readonly incarnation: string;
	readonly run: Run;
	readonly step: StepState;
	/** Length of the interval; at least {@link MIN_INTERVAL_MS}. */
	readonly intervalMs: number;
	/** Percent done in the interval. */
	readonly percents: number;
	/** Leader's clock at the end of the interval. */
	readonly asOfMs: number;
	/** The interval begins with the start of the work and not with a reading, so that its length is less certain. */
	readonly isFromStart: boolean;
};

/** A worker whose lists are observed. */
export type ObservedWorker = {readonly agent: string; readonly incarnation: string; readonly listsAsOfMs: number};

/** Percents are whole numbers: a shorter interval holds too few of them. Lists also come at the ends of runs. */
export const MIN_INTERVAL_MS = 400;

/** Progress from which the pace since the start is known; a run shows 0 percent for up to 0.7 s. */
const MIN_PERCENT_SINCE_START = 5;

/** From this percentage on a member of a gang waits for the others, so it says nothing about pace. */
const DONE_PERCENT = 100;

type Reading = {readonly atMs: number; readonly percent: number};

/** Turns the percents in the lists of workers into paces. */
export class PaceObserver {
	/** Reading at the end of each run's newest sample, or its newest reading of 0 percent. */
	readonly #readings = new WeakMap<Run, Reading>();

	/**
	 * Observes the runs in a list of a worker.
	 *
	 * @param worker - The worker.
	 * @param listed - The expected runs in its list, after their progress was recorded.
	 * @returns A sample for each run that has been observed for long enough since its last one.
	 */
	observe(worker: ObservedWorker, listed: ReadonlyArray<readonly [Run, ListedRun]>): readonly PaceSample[] {
		const samples: PaceSample[] = [];
		for (const [run, {percent}] of listed) {
			const sample = run.task.step.spec.isLasting || percent >= DONE_PERCENT ? undefined : this.#sampleOf(run, {atMs: worker.listsAsOfMs, percent});
			if (sample) {
				samples.push({
					agent: worker.agent, incarnation: worker.incarnation, run, step: run.task.step, asOfMs: worker.listsAsOfMs, ...sample,
				});
			}
		}

		return samples;
	}

	#sampleOf(run: Run, reading: Reading): Pick<PaceSample, 'intervalMs' | 'percents' | 'isFromStart'> | undefined {
		const last = this.#readings.get(run);
		if (reading.percent === 0 || (last !== undefined && reading.percent < last.percent)) {
			this.#readings.set(run, reading);
			return undefined;
		}

		const isFromStart = last === undefined || last.percent === 0;
		if (isFromStart && !knowsStart(run)) {
			this.#readings.set(run, reading);
			return undefined;
		}

		const fromMs = isFromStart ? Math.max(run.startedAtMs ?? reading.atMs, last?.atMs ?? 0) : last.atMs;
		const intervalMs = reading.atMs - fromMs;
		const percents = reading.percent - (last?.percent ?? 0);
		if (intervalMs < MIN_INTERVAL_MS || (isFromStart && percents < MIN_PERCENT_SINCE_START)) {
			return undefined;
		}

		this.#readings.set(run, reading);
		return {intervalMs, percents, isFromStart};
	}
}

/** Whether the leader has seen the run begin at 0 percent. */
function knowsStart(run: Run): boolean {
	return !run.isRestored && run.startCheckpoint === '' && run.startedAtMs !== undefined;
}
