import type {PlacedTask} from '@amaranthsail/scheduler';
import type {Arrival} from './arrivals.js';
import type {Division} from './division.js';
import {mean, quantile, type Measures} from './measures.js';
import {ARRIVAL_PERIOD_MS, type Scenario} from './scenario.js';

/** State of a job in the simulation. */
export type SimulatedJob = {
	readonly arrival: Arrival;
	state: 'waiting' | 'running' | 'completed' | 'failed' | 'refused' | 'cancelled';
	/** Remaining run time; reduced by a checkpoint. */
	remainingMs: number;
	startedAtMs: number;
	/** Number of ended attempts; events scheduled for an ended attempt are dropped. */
	attempt: number;
	tasks: PlacedTask[];
	firstStartedAtMs?: number;
	finishedAtMs?: number;
	reclaimStartedAtMs?: number;
};

function acceleratorCountOf(job: SimulatedJob): number {
	const {taskCount, shape} = job.arrival.job.spec;
	return taskCount * shape.accelerators;
}

function overlapMs(window: readonly [number, number], fromMs: number, toMs: number): number {
	return Math.max(0, Math.min(window[1], toMs) - Math.max(window[0], fromMs));
}

/** Collects the measures of one simulation. */
export class SimulationRecorder {
	readonly #scenario: Scenario;
	readonly #acceleratorCount: number;
	/** For each account with a guarantee: accelerators of the guaranteed shape, number of running jobs, number of waiting jobs that fit the shape, and start of the current wait. */
	readonly #claimsByAccount = new Map<string, {readonly accelerators: number; running: number; waiting: number; sinceMs: number | undefined}>();
	#waitingGangs = 0;
	#strandedAcceleratorMs = 0;
	#peakAcceleratorMs = 0;
	#reclaimMaxMs = 0;
	#claimWaitMaxMs = 0;
	#reclaims = 0;

	/**
	 * @param division - The division.
	 * @param scenario - The scenario.
	 * @param acceleratorCount - Number of all accelerators.
	 */
	constructor(division: Division, scenario: Scenario, acceleratorCount: number) {
		this.#scenario = scenario;
		this.#acceleratorCount = acceleratorCount;
		for (const guarantee of division.guarantees) {
			this.#claimsByAccount.set(guarantee.account, {
				accelerators: guarantee.accelerators, running: 0, waiting: 0, sinceMs: undefined,
			});
		}
	}

	/**
	 * Records the time between two events.
	 *
	 * @param fromMs - Time of the earlier event.
	 * @param toMs - Time of the later event.
	 * @param usedCount - Number of accelerators in use between them.
	 */
	recordInterval(fromMs: number, toMs: number, usedCount: number): void {
		if (this.#waitingGangs > 0) {
			this.#strandedAcceleratorMs += overlapMs([0, ARRIVAL_PERIOD_MS], fromMs, toMs) * (this.#acceleratorCount - usedCount);
		}

		for (const claim of this.#claimsByAccount.values()) {
			if (claim.running > 0 || claim.waiting === 0) {
				claim.sinceMs = undefined;
				continue;
			}

			claim.sinceMs ??= fromMs;
			this.#claimWaitMaxMs = Math.max(this.#claimWaitMaxMs, toMs - claim.sinceMs);
		}
	}

	/**
	 * Records that a job enters or leaves the queue.
	 *
	 * @param job - The job.
	 * @param change - 1 when it enters, -1 when it leaves.
	 */
	recordQueueChange(job: SimulatedJob, change: 1 | -1): void {
		const {account, taskCount} = job.arrival.job.spec;
		this.#waitingGangs += taskCount > 1 ? change : 0;
		const claim = this.#claimsByAccount.get(account);
		if (claim && acceleratorCountOf(job) <= claim.accelerators) {
			claim.waiting += change;
		}
	}

	/**
	 * Records the start of an attempt.
	 *
	 * @param job - The job.
	 * @param nowMs - The time.
	 */
	recordStart(job: SimulatedJob, nowMs: number): void {
		job.firstStartedAtMs ??= nowMs;
		if (job.reclaimStartedAtMs !== undefined) {
			this.#reclaimMaxMs = Math.max(this.#reclaimMaxMs, nowMs - job.reclaimStartedAtMs);
			this.#reclaims++;
			job.reclaimStartedAtMs = undefined;
		}

		this.#countRunning(job, 1);
	}

	/**
	 * Records the end of an attempt.
	 *
	 * @param job - The job.
	 * @param nowMs - The time.
	 */
	recordAttemptEnd(job: SimulatedJob, nowMs: number): void {
		this.#peakAcceleratorMs += overlapMs(this.#scenario.peak, job.startedAtMs, nowMs) * acceleratorCountOf(job);
		this.#countRunning(job, -1);
	}

	/**
	 * Records that running work is preempted to reclaim accelerators for a job.
	 *
	 * @param job - The job that the accelerators are reclaimed for.
	 * @param nowMs - The time.
	 */
	recordReclaim(job: SimulatedJob, nowMs: number): void {
		job.reclaimStartedAtMs ??= nowMs;
	}

	/**
	 * Computes the measures of the simulation.
	 *
	 * @param jobs - All jobs.
	 * @param endMs - Time that counts as the end of unfinished jobs.
	 * @returns The measures.
	 */
	computeMeasures(jobs: Iterable<SimulatedJob>, endMs: number): Measures {
		const allJobs = [...jobs];
		const countInState = (state: SimulatedJob['state']): number => allJobs.filter(job => job.state === state).length;
		const isOpen = (job: SimulatedJob): boolean => job.state === 'waiting' || job.state === 'running';
		const countedJobs = allJobs.filter(job => job.state === 'completed' || isOpen(job));
		const completionTimesMs = countedJobs.map(job => (job.finishedAtMs ?? endMs) - job.arrival.job.submittedAtMs);
		const [peakStartMs, peakEndMs] = this.#scenario.peak;
		const peakJobs = allJobs.filter(({arrival}) => arrival.job.submittedAtMs >= peakStartMs && arrival.job.submittedAtMs < peakEndMs);
		const finishedPeakJobs = peakJobs.filter(job => job.state === 'completed' && job.finishedAtMs! < peakEndMs);
		const shortWaitsMs = countedJobs.filter(job => job.arrival.isShort).map(job => (job.firstStartedAtMs ?? endMs) - job.arrival.job.submittedAtMs);
		return {
			completionMeanMs: mean(completionTimesMs),
			completionP99Ms: quantile(completionTimesMs, 0.99),
			fragmentation: this.#strandedAcceleratorMs / (this.#acceleratorCount * ARRIVAL_PERIOD_MS),
			peakService: finishedPeakJobs.length / Math.max(1, peakJobs.length),
			peakWork: this.#peakAcceleratorMs / (this.#acceleratorCount * (peakEndMs - peakStartMs)),
			shortWaitP99Ms: quantile(shortWaitsMs, 0.99),
			reclaimMaxMs: this.#reclaimMaxMs,
			claimWaitMaxMs: this.#claimWaitMaxMs,
			reclaims: this.#reclaims,
			completed: countInState('completed'),
			failed: countInState('failed'),
			refused: countInState('refused'),
			cancelled: countInState('cancelled'),
			unfinished: allJobs.filter(job => isOpen(job)).length,
		};
	}

	#countRunning(job: SimulatedJob, change: 1 | -1): void {
		const claim = this.#claimsByAccount.get(job.arrival.job.spec.account);
		if (claim) {
			claim.running += change;
		}
	}
}
