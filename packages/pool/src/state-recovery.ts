import {
	createRun, FINAL_STATES, type Job, RUN_PHASES, type Task,
} from './job-model.js';
import type {JobLifecycle} from './job-lifecycle.js';
import type {PoolContext} from './pool-context.js';
import type {StoredRow} from './ports.js';
import {
	type JobRow, type IncarnationRow, parseJobKey, type RunRow, TABLES,
} from './rows.js';
import type {TrackedWorker} from './tracked-worker.js';
import type {WorkerRegistry} from './worker-registry.js';

/** Rows that a new leader reads after its takeover. */
export type StoredState = {readonly jobs: readonly StoredRow[]; readonly runs: readonly StoredRow[]; readonly incarnations: readonly StoredRow[]};

/** Parts of the leader whose state is restored. */
export type RecoveryParts = {readonly context: PoolContext; readonly jobs: JobLifecycle; readonly workers: WorkerRegistry};

/**
 * Restores the leader's state from stored rows.
 *
 * A run that is stored without an end may be running, may have ended, or may never have been sent to its worker. Its
 * start is sent again under the same number once the worker's lists have been read.
 *
 * @param state - The rows.
 * @param parts - The parts to restore; they are empty.
 */
export function recover(state: StoredState, parts: RecoveryParts): void {
	const {context, jobs, workers} = parts;
	const cancelled: string[] = [];
	for (const row of state.jobs) {
		const {jobId, isCancellation} = parseJobKey(row.key);
		if (isCancellation) {
			cancelled.push(jobId);
		} else {
			jobs.addStored(jobId, row.value as JobRow);
		}
	}

	const agentsByIncarnation = new Map(state.incarnations.map(row => [(row.value as IncarnationRow).life, row.key]));
	const orphanedRows: StoredRow[] = [];
	for (const row of state.runs) {
		const task = context.findTask(row.key);
		if (task) {
			restoreTask(task, row.value as RunRow, context, incarnation => workers.trackUnreported(incarnation, agentsByIncarnation.get(incarnation) ?? ''));
		} else {
			orphanedRows.push(row);
		}
	}

	// These rows belong to jobs that have ended.
	context.commits.enqueueRemovals(orphanedRows, () => undefined);
	const openJobs = [...context.jobs.values()].filter(job => !FINAL_STATES.has(job.state));
	for (const job of openJobs) {
		markStartedStepsReady(job);
		jobs.endIfFinished(job);
	}

	for (const jobId of cancelled) {
		jobs.cancel(jobId);
	}

	context.log('state recovered', {jobs: openJobs.length, runs: state.runs.length, cancellations: cancelled.length, workers: context.workers.size});
}

function restoreTask(task: Task, row: RunRow, context: PoolContext, findOrTrackWorker: (incarnation: string) => TrackedWorker): void {
	task.lastRunNumber = row.run;
	task.isDone = row.isDone ?? false;
	task.failureCount = row.failures ?? 0;
	task.checkpoint = row.checkpoint ?? '';
	if (row.life === undefined) {
		// The newest run has ended, so its end has been counted.
		task.lastFailedRunNumber = row.run;
		return;
	}

	task.lastFailedRunNumber = row.run - 1;
	const run = createRun(task, {number: row.run, incarnation: row.life, phase: RUN_PHASES.starting, nowMs: context.nowMs()});
	task.run = run;
	findOrTrackWorker(row.life).runs.set(task.name, run);
}

/** A step with a past or present run became ready under an earlier leader; it counts as ready since its job was accepted. */
function markStartedStepsReady(job: Job): void {
	for (const step of job.occurrences.flatMap(occurrence => occurrence.steps)) {
		if (step.tasks.some(task => task.lastRunNumber > 0)) {
			step.readyAtMs = job.acceptedAtLeaderClockMs;
		}
	}
}
