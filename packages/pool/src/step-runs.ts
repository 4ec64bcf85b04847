import type {StepState} from './job-model.js';
import type {PoolContext} from './pool-context.js';
import type {TrackedWorker} from './tracked-worker.js';

/** @returns The number of the step's tasks that run on a worker. */
export function countRunsOfStep(worker: TrackedWorker, step: StepState): number {
	let count = 0;
	for (const run of worker.runs.values()) {
		count += run.task.step === step ? 1 : 0;
	}

	return count;
}

/** @returns A worker that runs a task of the step and is not evacuated, so that more of them may run near it. */
export function findWorkerOfStep(step: StepState, context: PoolContext): TrackedWorker | undefined {
	const workers = step.tasks.map(({run}) => run && context.workers.get(run.incarnation));
	return workers.find(worker => worker && !context.evacuations.has(worker.facts.failureDomain));
}
