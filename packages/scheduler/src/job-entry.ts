import type {JobSpec} from '@amaranthsail/core';
import {blockSizeOf} from './accelerator-blocks.js';
import type {PlacedTask, SchedulerJob} from './scheduler.js';

/** The phase of a job. An `awaitingVictims` job holds its placement, by a reclaim or a migration, while its victims stop. */
export type JobPhase = 'waiting' | 'awaitingVictims' | 'placed' | 'ended';

/** A job with the scheduler's state for it. */
export type JobEntry = {
	readonly job: SchedulerJob;
	readonly spec: JobSpec;
	/** Jobs of the same kind have the same placement constraints, so they fit or do not fit alike. */
	readonly kind: string;
	/** Accelerators of all tasks. */
	readonly accelerators: number;
	phase: JobPhase;
	/** When it last entered the queue. */
	queuedAtMs: number;
	readonly failedWorkers: Set<string>;
	failureCount: number;
	/** Workers on which it failed and that it avoids; empty if it could not run without them. */
	avoidedWorkers: ReadonlySet<string>;
	tasks: readonly PlacedTask[];
	duplicates: readonly PlacedTask[];
	placedAtMs: number;
	startedAtMs?: number;
	/** Whether its current placement counts against its account's guarantee. */
	isWithinGuarantee: boolean;
	/** Running jobs that have to stop before this `awaitingVictims` job can start. */
	readonly victims: Set<string>;
	/** Whether its preemption has been decided. */
	isPreempted: boolean;
};

/**
 * Creates the state for a job.
 *
 * @param job - The job as submitted by the owner.
 * @param nowMs - The current time.
 * @returns A waiting entry.
 */
export function newJobEntry(job: SchedulerJob, nowMs: number): JobEntry {
	return {
		job,
		spec: job.spec,
		kind: kindOf(job.spec),
		accelerators: totalAccelerators(job.spec),
		phase: 'waiting',
		queuedAtMs: nowMs,
		failedWorkers: new Set(job.failedWorkers),
		failureCount: job.failedWorkers.length,
		avoidedWorkers: new Set(job.failedWorkers),
		tasks: [],
		duplicates: [],
		placedAtMs: 0,
		isWithinGuarantee: false,
		victims: new Set(),
		isPreempted: false,
	};
}

function kindOf(spec: JobSpec): string {
	const {shape} = spec;
	return [
		spec.account,
		spec.service,
		spec.taskCount,
		spec.adjacency,
		spec.repeatable,
		shape.slots,
		shape.connections,
		shape.processors,
		shape.memoryMb,
		shape.accelerators,
	].join('/');
}

/**
 * Counts the accelerators that a job uses.
 *
 * @param spec - The job.
 * @returns The accelerators of all tasks, in whole blocks.
 */
export function totalAccelerators(spec: JobSpec): number {
	return blockSizeOf(spec.shape.accelerators) * spec.taskCount;
}
