import {firstExceeded, type JobSpec} from '@amaranthsail/core';
import {blockSizeOf, findFreeBlocks} from './accelerator-blocks.js';
import type {RefusalCause, WorkerRefusal} from './scheduler.js';
import type {WorkerState} from './worker-state.js';

/** Constraints that apply to the job as a whole. */
export type JobConstraints = {
	readonly avoidedWorkers: ReadonlySet<string>;
	readonly mayReceiveJob: (workerId: string) => boolean;
	/** Whether the job is long and would use capacity that is reserved for short work. */
	readonly exceedsLongWorkLimit: boolean;
	/** Whether all tasks together fit into the free capacity. */
	readonly fitsTogether: boolean;
	/** Whether a placement exists that keeps all guarantees packable. */
	readonly keepsGuarantees: boolean;
};

/**
 * Determines why a job cannot run on one worker.
 *
 * @param spec - The job.
 * @param worker - The worker.
 * @param constraints - Rules for the job as a whole.
 * @returns The first resource or rule that refuses the job, or undefined if the worker could run a task.
 */
function refusalCause(spec: JobSpec, worker: WorkerState, constraints: JobConstraints): RefusalCause | undefined {
	if (!worker.isUsable) {
		return 'suspect';
	}

	if (!constraints.mayReceiveJob(worker.workerId)) {
		return 'quarantined';
	}

	if (worker.endpointFor(spec.service) === undefined) {
		return worker.facts.endpoints.some(endpoint => endpoint.service === spec.service) ? 'leaving' : 'service';
	}

	if (constraints.avoidedWorkers.has(worker.workerId)) {
		return 'failed_before';
	}

	const [slots, connections, processors, memoryMb] = worker.freeAmounts as [number, number, number, number];
	const exceeded = firstExceeded(spec.shape, {
		slots, connections, processors, memoryMb, accelerators: worker.freeAccelerators.filter(Boolean).length,
	});
	if (exceeded) {
		return exceeded;
	}

	const size = blockSizeOf(spec.shape.accelerators);
	if (size > 0 && findFreeBlocks(worker.freeAccelerators, size).length === 0) {
		return 'accelerators';
	}

	if (constraints.exceedsLongWorkLimit) {
		return 'lane';
	}

	if (!constraints.fitsTogether) {
		return 'adjacency';
	}

	return constraints.keepsGuarantees ? undefined : 'guarantee';
}

/**
 * Determines why a waiting job cannot run, for each worker.
 *
 * @param spec - The job.
 * @param workers - All workers.
 * @param constraints - Rules for the job as a whole.
 * @returns One refusal per worker that refuses the job.
 */
export function workerRefusals(spec: JobSpec, workers: Iterable<WorkerState>, constraints: JobConstraints): readonly WorkerRefusal[] {
	return [...workers].flatMap(worker => {
		const because = refusalCause(spec, worker, constraints);
		return because ? [{workerId: worker.workerId, because}] : [];
	});
}

/**
 * Summarizes refusals.
 *
 * @param refusals - One per worker that refuses the job.
 * @param workerCount - Number of all workers.
 * @returns A message with the number of workers for each cause.
 */
export function summarizeRefusals(refusals: readonly WorkerRefusal[], workerCount: number): string {
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
