import type {JobSpec} from '@amaranthsail/core';
import {blockSizeOf} from './accelerator-blocks.js';
import type {PlacedTask, SchedulerJob} from './scheduler.js';

/** Where a job stands for the scheduler. A `reclaiming` one holds its place until its victims have stopped. */
export type JobPhase = 'waiting' | 'reclaiming' | 'placed' | 'ended';

/** A job with everything the scheduler notes about it. */
export type JobEntry = {
	readonly job: SchedulerJob;
	readonly spec: JobSpec;
	/** Jobs of one kind fit or fail alike. */
	readonly kind: string;
	/** Accelerators of all tasks. */
	readonly accelerators: number;
	phase: JobPhase;
	/** When it last entered the queue. */
	queuedAtMs: number;
	readonly failedWorkers: Set<string>;
	failureCount: number;
	/** Failed workers that it keeps away from; empty when it could not run without them. */
	avoided: ReadonlySet<string>;
	tasks: readonly PlacedTask[];
	duplicates: readonly PlacedTask[];
	placedAtMs: number;
	startedAtMs?: number;
	/** Whether its present placement counts against its account's guarantee. */
	inside: boolean;
	/** Running jobs that have to stop before a `reclaiming` job can start. */
	readonly victims: Set<string>;
	/** Whether it has been told to stop. */
	isPreempted: boolean;
};

/**
 * Starts the notes about a job.
 *
 * @param job - The job as the owner gave it.
 * @param nowMs - The present time.
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
		avoided: new Set(job.failedWorkers),
		tasks: [],
		duplicates: [],
		placedAtMs: 0,
		inside: false,
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
 * Counts the accelerators that a job takes.
 *
 * @param spec - The job.
 * @returns The accelerators of all tasks, in whole blocks.
 */
export function totalAccelerators(spec: JobSpec): number {
	return blockSizeOf(spec.shape.accelerators) * spec.taskCount;
}
