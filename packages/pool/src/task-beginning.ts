import type {Task} from './job-model.js';
import type {PoolContext} from './pool-context.js';
import {encodeRunRow} from './run-row.js';

/**
 * Records that a worker has begun a run of a task. The first one of a job is stored at once, so that the next leader, and
 * an entry that answers from the store, know that the job has begun even while the worker's agent is silent.
 *
 * @param task - The task.
 * @param context - State of the pool.
 */
export function recordBegun(task: Task, context: PoolContext): void {
	if (task.hasBegun) {
		return;
	}

	task.hasBegun = true;
	const {job} = task.step;
	// A task with a run and no number has a row that cannot be read, which is kept.
	if (!job.isBeginningStored && !job.isEnding && task.lastRunNumber > 0) {
		job.isBeginningStored = true;
		context.commits.enqueue([encodeRunRow(task)], () => undefined);
	}
}
