import {firstExceeded, type JobSpec} from '@amaranthsail/core';
import {blockSizeOf, freeBlocks} from './accelerator-blocks.js';
import type {RefusalCause, WorkerRefusal} from './scheduler.js';
import type {WorkerState} from './worker-state.js';

/** Rules that hold for the job as a whole. */
export type JobRules = {
	readonly avoided: ReadonlySet<string>;
	readonly mayTake: (workerId: string) => boolean;
	/** Whether the lane for short work keeps the job out. */
	readonly isOutOfLane: boolean;
	/** Whether the tasks together fit the free space. */
	readonly fitsTogether: boolean;
	/** Whether a place was found that leaves all guarantees intact. */
	readonly isAllowed: boolean;
};

/**
 * Names what keeps a job off one worker.
 *
 * @param spec - The job.
 * @param worker - The worker.
 * @param rules - Rules for the job as a whole.
 * @returns The first limit or rule that refuses the job, or undefined when the worker could take a task.
 */
function causeOf(spec: JobSpec, worker: WorkerState, rules: JobRules): RefusalCause | undefined {
	if (!worker.usable) {
		return 'suspect';
	}

	if (!rules.mayTake(worker.workerId)) {
		return 'quarantined';
	}

	if (worker.endpointFor(spec.service) === undefined) {
		return worker.facts.endpoints.some(endpoint => endpoint.service === spec.service) ? 'leaving' : 'service';
	}

	if (rules.avoided.has(worker.workerId)) {
		return 'failed_before';
	}

	const [slots, connections, processors, memoryMb] = worker.room as [number, number, number, number];
	const exceeded = firstExceeded(spec.shape, {
		slots, connections, processors, memoryMb, accelerators: worker.free.filter(Boolean).length,
	});
	if (exceeded) {
		return exceeded;
	}

	const size = blockSizeOf(spec.shape.accelerators);
	if (size > 0 && freeBlocks(worker.free, size).length === 0) {
		return 'accelerators';
	}

	if (rules.isOutOfLane) {
		return 'lane';
	}

	if (!rules.fitsTogether) {
		return 'adjacency';
	}

	return rules.isAllowed ? undefined : 'guarantee';
}

/**
 * Names what keeps a waiting job off each worker.
 *
 * @param spec - The job.
 * @param workers - All workers.
 * @param rules - Rules for the job as a whole.
 * @returns One refusal per worker that refuses.
 */
export function workerRefusals(spec: JobSpec, workers: Iterable<WorkerState>, rules: JobRules): readonly WorkerRefusal[] {
	return [...workers].flatMap(worker => {
		const because = causeOf(spec, worker, rules);
		return because ? [{workerId: worker.workerId, because}] : [];
	});
}

/**
 * Sums up refusals.
 *
 * @param refusals - One per worker.
 * @param workerCount - All workers.
 * @returns A sentence with the number of workers for each cause.
 */
export function summarize(refusals: readonly WorkerRefusal[], workerCount: number): string {
	if (workerCount === 0) {
		return 'no worker is known';
	}

	const counts = new Map<RefusalCause, number>();
	for (const {because} of refusals) {
		counts.set(because, (counts.get(because) ?? 0) + 1);
	}

	const parts = [...counts].map(([because, count]) => `${because} (${count} of ${workerCount} workers)`);
	return parts.length === 0 ? 'can be placed; waits for its turn' : `refused by ${parts.join(', ')}`;
}
