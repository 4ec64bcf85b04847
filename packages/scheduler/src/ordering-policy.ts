import type {JobSpec} from '@amaranthsail/core';
import type {FitStrategy} from './gang-placement.js';
import type {SchedulingPolicy} from './scheduler.js';

/** A waiting job as the input of an ordering policy. */
export type QueuedJob = {
	readonly jobId: string;
	readonly spec: JobSpec;
	readonly submittedAtMs: number;
	readonly queuedAtMs: number;
	readonly deadlineAtMs?: number;
	readonly accelerators: number;
	/** Estimated run time. */
	readonly estimateMs: number;
	/** Accelerator-milliseconds that the account has used, divided by its weight. */
	readonly attainedService: number;
	/** The account's dominant share of the cluster, divided by its weight. */
	readonly dominantShare: number;
};

/** Decides the order in which waiting jobs are considered for placement. */
export interface OrderingPolicy {
	/** How to choose among workers that fit. */
	readonly fit: FitStrategy;

	/** Whether run-time estimates are used to reserve capacity for short work, duplicate stragglers and compute the backlog. */
	readonly usesEstimates: boolean;

	/** Whether a job that does not fit blocks all jobs behind it, except those within guarantees. */
	readonly hasHeadOfLineBlocking: boolean;

	/**
	 * Sorts the queue.
	 *
	 * @param queue - The waiting jobs.
	 * @param nowMs - The current time.
	 * @returns The jobs, next one first.
	 */
	order(queue: readonly QueuedJob[], nowMs: number): readonly QueuedJob[];

	/**
	 * Decides whether running jobs may be moved to make a job fit.
	 *
	 * @param job - The job.
	 * @param nowMs - The current time.
	 * @returns Whether to search for moves.
	 */
	mayMigrateFor(job: QueuedJob, nowMs: number): boolean;

	/**
	 * Decides whether capacity is reserved for a job that does not fit now.
	 *
	 * @param job - The job.
	 * @param nowMs - The current time.
	 * @returns Whether to make a reservation.
	 */
	shouldReserveFor(job: QueuedJob, nowMs: number): boolean;
}

/** Creates an ordering policy from a policy record. */
export type OrderingPolicyFactory = (policy: SchedulingPolicy) => OrderingPolicy;
