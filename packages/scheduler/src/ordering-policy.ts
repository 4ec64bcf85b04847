import type {JobSpec} from '@amaranthsail/core';
import type {Fit} from './gang-placement.js';
import type {SchedulingPolicy} from './scheduler.js';

/** A waiting job as an ordering policy sees it. */
export type QueuedJob = {
	readonly jobId: string;
	readonly spec: JobSpec;
	readonly submittedAtMs: number;
	readonly queuedAtMs: number;
	readonly deadlineAtMs?: number;
	readonly accelerators: number;
	/** Learned run time. */
	readonly estimateMs: number;
	/** Accelerator time that the account has had, divided by its weight. */
	readonly attainedService: number;
	/** The account's dominant share of the cluster, divided by its weight. */
	readonly dominantShare: number;
};

/** Decides in which order waiting jobs are tried. */
export interface OrderingPolicy {
	/** How a place is chosen among those that fit. */
	readonly fit: Fit;

	/** Whether the policy keeps lanes for short work and makes reservations and second attempts. */
	readonly usesEstimates: boolean;

	/** Whether nothing starts before a job that is ahead of it, apart from work inside guarantees. */
	readonly blocksBehindHead: boolean;

	/**
	 * Sorts the queue.
	 *
	 * @param queue - The waiting jobs.
	 * @param nowMs - The present time.
	 * @returns The jobs, first one first.
	 */
	order(queue: readonly QueuedJob[], nowMs: number): readonly QueuedJob[];

	/**
	 * Decides whether running jobs may be moved so that a job fits.
	 *
	 * @param job - The job.
	 * @param nowMs - The present time.
	 * @returns Whether to look for moves.
	 */
	wantsMigration(job: QueuedJob, nowMs: number): boolean;

	/**
	 * Decides whether space is kept for a job that does not fit now.
	 *
	 * @param job - The job.
	 * @param nowMs - The present time.
	 * @returns Whether to make a reservation.
	 */
	wantsReservation(job: QueuedJob, nowMs: number): boolean;
}

/** Makes the policy of a record. */
export type OrderingPolicyFactory = (policy: SchedulingPolicy) => OrderingPolicy;
