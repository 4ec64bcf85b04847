import {
	createRun, FINAL_STATES, type Job, RUN_PHASES, type Task,
} from './job-model.js';
import type {JobLifecycle} from './job-lifecycle.js';
import type {PoolContext} from './pool-context.js';
import type {StoredRow} from './ports.js';
import {
	type JobRow, type LifeRow, parseJobKey, type RunRow, TABLES,
} from './rows.js';
import type {WorkerEntry} from './tracked-worker.js';
import type {WorkerRegistry} from './worker-registry.js';

/** Rows of the pool as a new leader reads them after its takeover. */
export type StoredState = {readonly jobs: readonly StoredRow[]; readonly runs: readonly StoredRow[]; readonly lives: readonly StoredRow[]};

/** Parts of the leader that recovery fills. */
export type RecoveryParts = {readonly context: PoolContext; readonly jobs: JobLifecycle; readonly workers: WorkerRegistry};

/**
 * Rebuilds the leader's state from stored rows.
 *
 * A run that is stored without an end may be running, may have ended, or may never have been sent: its start
 * is sent again under the same number once the worker's lists have been read.
 *
 * @param state - The rows.
 * @param parts - The parts to fill; they are empty.
 */
export function recover(state: StoredState, parts: RecoveryParts): void {
	const {context, jobs, workers} = parts;
	const cancelled: string[] = [];
	for (const row of state.jobs) {
		const {jobId, isCancel} = parseJobKey(row.key);
		if (isCancel) {
			cancelled.push(jobId);
		} else {
			jobs.learn(jobId, row.value as JobRow);
		}
	}

	const agents = new Map(state.lives.map(row => [(row.value as LifeRow).life, row.key]));
	const left: StoredRow[] = [];
	for (const row of state.runs) {
		const task = context.findTask(row.key);
		if (task) {
			restoreTask(task, row.value as RunRow, context, life => workers.expect(life, agents.get(life) ?? ''));
		} else {
			left.push(row);
		}
	}

	// Rows of jobs that have ended.
	context.commits.enqueueRemovals(left, () => undefined);
	const open = [...context.jobs.values()].filter(job => !FINAL_STATES.has(job.state));
	for (const job of open) {
		noteKnownStart(job);
		jobs.settle(job);
	}

	for (const jobId of cancelled) {
		jobs.cancel(jobId);
	}

	context.log('state recovered', {jobs: open.length, runs: state.runs.length, cancellations: cancelled.length, workers: context.workers.size});
}

function restoreTask(task: Task, row: RunRow, context: PoolContext, workerOf: (life: string) => WorkerEntry): void {
	task.lastRun = row.run;
	task.isDone = row.isDone ?? false;
	task.failures = row.failures ?? 0;
	task.checkpoint = row.checkpoint ?? '';
	if (row.life === undefined) {
		// The newest run has ended, so its end has been counted.
		task.lastFailedRun = row.run;
		return;
	}

	task.lastFailedRun = row.run - 1;
	const run = createRun(task, {number: row.run, life: row.life, phase: RUN_PHASES.starting, nowMs: context.nowMs()});
	task.run = run;
	workerOf(row.life).runs.set(task.name, run);
}

/** A step with a run, past or present, has been ready since before this leader. */
function noteKnownStart(job: Job): void {
	for (const step of job.occurrences.flatMap(occurrence => occurrence.steps)) {
		if (step.tasks.some(task => task.lastRun > 0)) {
			step.readyAtMs = job.knownAtMs;
		}
	}
}
