import type {PlacedTask} from '@amaranthsail/scheduler';
import type {Arrival} from './arrivals.js';
import type {Division} from './division.js';
import {mean, quantile, type Measures} from './measures.js';
import {ARRIVALS_MS, type Scenario} from './scenario.js';

/** A job in the simulation. */
export type RunJob = {
	readonly arrival: Arrival;
	phase: 'waiting' | 'running' | 'completed' | 'failed' | 'refused' | 'cancelled';
	/** Run time left; a checkpoint lowers it. */
	remainingMs: number;
	startedAtMs: number;
	/** Grows when an attempt ends, so that events of that attempt are dropped. */
	generation: number;
	tasks: PlacedTask[];
	firstStartMs?: number;
	finishedAtMs?: number;
	reclaimSinceMs?: number;
};

function acceleratorsOf(job: RunJob): number {
	const {taskCount, shape} = job.arrival.job.spec;
	return taskCount * shape.accelerators;
}

function overlapMs(window: readonly [number, number], fromMs: number, toMs: number): number {
	return Math.max(0, Math.min(window[1], toMs) - Math.max(window[0], fromMs));
}

/** Collects the measures of one run. */
export class RunRecorder {
	readonly #scenario: Scenario;
	readonly #accelerators: number;
	/** The largest shape of each account that holds a guarantee, and the account's running and waiting work. */
	readonly #claims = new Map<string, {readonly accelerators: number; running: number; waiting: number; sinceMs: number | undefined}>();
	#waitingGangs = 0;
	#strandedMs = 0;
	#peakWorkMs = 0;
	#reclaimMaxMs = 0;
	#claimWaitMaxMs = 0;
	#reclaims = 0;

	/**
	 * @param division - The division.
	 * @param scenario - The scenario.
	 * @param accelerators - All accelerators.
	 */
	constructor(division: Division, scenario: Scenario, accelerators: number) {
		this.#scenario = scenario;
		this.#accelerators = accelerators;
		for (const guarantee of division.guarantees) {
			this.#claims.set(guarantee.account, {
				accelerators: guarantee.accelerators, running: 0, waiting: 0, sinceMs: undefined,
			});
		}
	}

	/**
	 * Accounts for the time between two events.
	 *
	 * @param fromMs - The earlier event.
	 * @param toMs - The later event.
	 * @param inUse - Accelerators in use in between.
	 */
	pass(fromMs: number, toMs: number, inUse: number): void {
		if (this.#waitingGangs > 0) {
			this.#strandedMs += overlapMs([0, ARRIVALS_MS], fromMs, toMs) * (this.#accelerators - inUse);
		}

		for (const claim of this.#claims.values()) {
			if (claim.running > 0 || claim.waiting === 0) {
				claim.sinceMs = undefined;
				continue;
			}

			claim.sinceMs ??= fromMs;
			this.#claimWaitMaxMs = Math.max(this.#claimWaitMaxMs, toMs - claim.sinceMs);
		}
	}

	/**
	 * Counts a job into or out of the queue.
	 *
	 * @param job - The job.
	 * @param change - 1 or -1.
	 */
	queueChanged(job: RunJob, change: 1 | -1): void {
		const {account, taskCount} = job.arrival.job.spec;
		this.#waitingGangs += taskCount > 1 ? change : 0;
		const claim = this.#claims.get(account);
		if (claim && acceleratorsOf(job) <= claim.accelerators) {
			claim.waiting += change;
		}
	}

	/**
	 * Notes a start.
	 *
	 * @param job - The job.
	 * @param nowMs - The time.
	 */
	started(job: RunJob, nowMs: number): void {
		job.firstStartMs ??= nowMs;
		if (job.reclaimSinceMs !== undefined) {
			this.#reclaimMaxMs = Math.max(this.#reclaimMaxMs, nowMs - job.reclaimSinceMs);
			this.#reclaims++;
			job.reclaimSinceMs = undefined;
		}

		this.#countRunning(job, 1);
	}

	/**
	 * Notes the end of an attempt.
	 *
	 * @param job - The job.
	 * @param nowMs - The time.
	 */
	ended(job: RunJob, nowMs: number): void {
		this.#peakWorkMs += overlapMs(this.#scenario.peak, job.startedAtMs, nowMs) * acceleratorsOf(job);
		this.#countRunning(job, -1);
	}

	/**
	 * Notes that running work is stopped for a job.
	 *
	 * @param job - The job that reclaims.
	 * @param nowMs - The time.
	 */
	reclaimBegins(job: RunJob, nowMs: number): void {
		job.reclaimSinceMs ??= nowMs;
	}

	/**
	 * Sums up the run.
	 *
	 * @param jobs - All jobs.
	 * @param limitMs - End time of jobs that never finished.
	 * @returns The measures.
	 */
	measures(jobs: Iterable<RunJob>, limitMs: number): Measures {
		const all = [...jobs];
		const count = (phase: RunJob['phase']): number => all.filter(job => job.phase === phase).length;
		const isOpen = (job: RunJob): boolean => job.phase === 'waiting' || job.phase === 'running';
		const counted = all.filter(job => job.phase === 'completed' || isOpen(job));
		const completionMs = counted.map(job => (job.finishedAtMs ?? limitMs) - job.arrival.job.submittedAtMs);
		const [peakFromMs, peakToMs] = this.#scenario.peak;
		const inPeak = all.filter(({arrival}) => arrival.job.submittedAtMs >= peakFromMs && arrival.job.submittedAtMs < peakToMs);
		const served = inPeak.filter(job => job.phase === 'completed' && job.finishedAtMs! < peakToMs);
		const shortWaits = counted.filter(job => job.arrival.isShort).map(job => (job.firstStartMs ?? limitMs) - job.arrival.job.submittedAtMs);
		return {
			completionMeanMs: mean(completionMs),
			completionP99Ms: quantile(completionMs, 0.99),
			fragmentation: this.#strandedMs / (this.#accelerators * ARRIVALS_MS),
			peakService: served.length / Math.max(1, inPeak.length),
			peakWork: this.#peakWorkMs / (this.#accelerators * (peakToMs - peakFromMs)),
			shortWaitP99Ms: quantile(shortWaits, 0.99),
			reclaimMaxMs: this.#reclaimMaxMs,
			claimWaitMaxMs: this.#claimWaitMaxMs,
			reclaims: this.#reclaims,
			completed: count('completed'),
			failed: count('failed'),
			refused: count('refused'),
			cancelled: count('cancelled'),
			unfinished: all.filter(job => isOpen(job)).length,
		};
	}

	#countRunning(job: RunJob, change: 1 | -1): void {
		const claim = this.#claims.get(job.arrival.job.spec.account);
		if (claim) {
			claim.running += change;
		}
	}
}
