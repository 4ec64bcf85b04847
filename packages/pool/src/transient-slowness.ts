import type {Run} from './job-model.js';
import type {PaceSample} from './pace-observation.js';

/** Disturbances of a worker last 5 to 8 s; one that lasts longer than this counts as its normal speed. */
const MAX_DISTURBANCE_MS = 10_000;

/** Time after its newest observation in which a disturbance is forgotten. */
const DECAY_MS = 10_000;

/** Percents that have to be expected in an interval: a percent is a whole number, so that fewer say little. */
const MIN_EXPECTED_PERCENTS = 4;

/** A run is disturbed below this share of its earlier pace. Disturbances slow workers down to a fifth. */
const DISTURBED_SHARE = 0.6;

/** The same share while the earlier pace is that since the start, whose time is not known precisely. */
const DISTURBED_SHARE_SINCE_START = 0.4;

/** Below this factor, a run that has no earlier pace says nothing about its worker's normal speed. */
const MIN_UNDISTURBED_FACTOR = 0.8;

type Progress = {percents: number; intervalMs: number};

type RunPace = {earlier: Progress; isEarlierSinceStart: boolean; readonly recent: Progress; disturbedSinceMs?: number};

/** Notices when a worker turns slow, by comparing the recent pace of its runs with their own earlier pace. */
export class TransientSlowness {
	readonly #paces = new WeakMap<Run, RunPace>();
	readonly #slowed = new Map<string, {readonly factor: number; readonly atMs: number}>();

	/**
	 * Records progress of a run.
	 *
	 * @param sample - The progress.
	 * @returns The progress, including earlier samples that were too short to judge, that shows the worker's normal speed.
	 */
	record(sample: PaceSample): Readonly<Progress> | undefined {
		const {percents, intervalMs} = sample;
		const pace = this.#paces.get(sample.run);
		if (!pace) {
			if (percents <= 0 || this.factorOf(sample.agent, sample.asOfMs) < MIN_UNDISTURBED_FACTOR) {
				return undefined;
			}

			this.#paces.set(sample.run, {earlier: {percents, intervalMs}, isEarlierSinceStart: sample.isFromStart, recent: {percents: 0, intervalMs: 0}});
			return {percents, intervalMs};
		}

		add(pace.recent, sample);
		const expected = pace.recent.intervalMs * pace.earlier.percents / pace.earlier.intervalMs;
		if (expected < MIN_EXPECTED_PERCENTS) {
			return undefined;
		}

		const recent = {...pace.recent};
		Object.assign(pace.recent, {percents: 0, intervalMs: 0});
		const share = recent.percents / expected;
		const isDisturbed = share < (pace.isEarlierSinceStart ? DISTURBED_SHARE_SINCE_START : DISTURBED_SHARE);
		if (isDisturbed && sample.asOfMs - (pace.disturbedSinceMs ?? sample.asOfMs) < MAX_DISTURBANCE_MS) {
			pace.disturbedSinceMs ??= sample.asOfMs;
			this.#slowed.set(sample.agent, {factor: Math.max(0.1, Math.min(share, this.factorOf(sample.agent, sample.asOfMs))), atMs: sample.asOfMs});
			return undefined;
		}

		pace.disturbedSinceMs = undefined;
		if (pace.isEarlierSinceStart) {
			pace.earlier = recent;
			pace.isEarlierSinceStart = false;
		} else {
			add(pace.earlier, recent);
		}

		return recent;
	}

	/** @returns The share of its normal speed at which the worker is expected to run now; 1 is undisturbed. */
	factorOf(agent: string, nowMs: number): number {
		const slowed = this.#slowed.get(agent);
		const share = slowed ? Math.min(1, (nowMs - slowed.atMs) / DECAY_MS) : 1;
		return slowed ? slowed.factor + ((1 - slowed.factor) * share) : 1;
	}

	/** @param agent - An agent that is gone, or whose worker has started again. */
	forget(agent: string): void {
		this.#slowed.delete(agent);
	}
}

function add(sum: Progress, {percents, intervalMs}: Readonly<Progress>): void {
	sum.percents += percents;
	sum.intervalMs += intervalMs;
}
