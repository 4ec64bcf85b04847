import {
	createRun, FINAL_STATES, type Job, RUN_PHASES, type Task,
} from './job-model.js';
import type {CrashLedger} from './crash-ledger.js';
import type {JobLifecycle} from './job-lifecycle.js';
import type {RunLifecycle} from './run-lifecycle.js';
import {parseTaskName} from './task-name.js';
import {type PoolContext, POOL_EVENTS} from './pool-context.js';
import type {StoredRow} from './ports.js';
import {decodeIncarnationRow, decodeJobRow, decodeRunRow} from './row-decoding.js';
import {parseJobKey, type RunRow} from './rows.js';
import type {TrackedWorker} from './tracked-worker.js';
import type {WorkerRegistry} from './worker-registry.js';

/** Rows that a new leader reads after its takeover. */
export type StoredState = {readonly jobs: readonly StoredRow[]; readonly runs: readonly StoredRow[]; readonly incarnations: readonly StoredRow[]};

/** Parts of the leader whose state is restored. */
export type RecoveryParts = {readonly context: PoolContext; readonly jobs: JobLifecycle; readonly runs: RunLifecycle; readonly crashes: CrashLedger; readonly workers: WorkerRegistry};

/**
 * Restores the leader's state from stored rows.
 *
 * A run that is stored without an end may be running, may have ended, or may never have been sent to its worker. Its
 * start is sent again under the same number once the worker's lists have been read. Whether a job has begun is stored
 * with the first of its tasks that a worker is known to have begun.
 *
 * A row that cannot be read stops its job and nothing else: the job is not placed, and its other rows are kept.
 *
 * @param state - The rows.
 * @param parts - The parts to restore; they are empty.
 */
export function recover(state: StoredState, parts: RecoveryParts): void {
	const {context, jobs, runs, crashes, workers} = parts;
	const cancelled: string[] = [];
	for (const row of state.jobs) {
		const {jobId, isCancellation} = parseJobKey(row.key);
		const job = isCancellation ? undefined : decodeJobRow(row.value);
		if (isCancellation) {
			cancelled.push(jobId);
		} else if (job) {
			jobs.addStored(jobId, job);
		} else {
			context.unreadableJobs.add(jobId);
			logUnreadable(row, context);
		}
	}

	const agentsByIncarnation = new Map(state.incarnations.map(row => [decodeIncarnationRow(row.value)?.life, row.key]));
	const orphanedRows: StoredRow[] = [];
	for (const row of state.runs) {
		const name = parseTaskName(row.key);
		if (name) {
			jobs.restoreOccurrences(name.jobId, name.occurrence, state.runs.length);
		}

		const task = context.findTask(row.key);
		const run = decodeRunRow(row.value);
		if (!task) {
			if (context.unreadableJobs.has(name?.jobId ?? '')) {
				context.unreadableJobs.addTask(row.key, run);
			} else {
				orphanedRows.push(row);
			}

			continue;
		}

		if (run) {
			restoreTask(task, run, context, incarnation => workers.trackUnreported(incarnation, agentsByIncarnation.get(incarnation) ?? ''));
			crashes.restore(task);
		} else {
			logUnreadable(row, context);
			task.step.job.hasUnreadableRows = true;
		}
	}

	// These rows belong to jobs that have ended.
	context.commits.enqueueRemovals(orphanedRows, () => undefined);
	const openJobs = [...context.jobs.values()].filter(job => !FINAL_STATES.has(job.state));
	for (const job of openJobs) {
		markStartedStepsReady(job);
		restoreGangs(job, runs);
		jobs.endIfFinished(job);
	}

	for (const jobId of cancelled) {
		jobs.cancel(jobId);
	}

	context.log('state recovered', {jobs: openJobs.length, runs: state.runs.length, cancellations: cancelled.length, workers: context.workers.size});
}

function logUnreadable(row: StoredRow, context: PoolContext): void {
	context.log(POOL_EVENTS.rowUnreadable, {table: row.table, key: row.key, rowVersion: row.version});
}

/**
 * Makes the members of each gang agree. The rows of a gang that is wider than a transaction are stored in several, and
 * the earlier leader may have failed between two of them.
 */
function restoreGangs(job: Job, runs: RunLifecycle): void {
	for (const step of job.occurrences.flatMap(occurrence => occurrence.steps)) {
		if (!step.spec.isGang) {
			continue;
		}

		const isDone = step.tasks.some(task => task.isDone);
		const isPartial = step.tasks.some(task => task.run) && step.tasks.some(task => !task.run);
		for (const task of step.tasks) {
			task.isDone = isDone;
			if (task.run && (isPartial || isDone)) {
				runs.stop(task.run, isDone ? 'gang is done' : 'gang was stored in part');
			}
		}
	}
}

function restoreTask(task: Task, row: RunRow, context: PoolContext, findOrTrackWorker: (incarnation: string) => TrackedWorker): void {
	task.lastRunNumber = row.run;
	// A run that has not ended may have begun since its row was written; the worker's lists and answers show it.
	task.hasBegun = row.isUnbegun !== true;
	task.step.job.isBeginningStored ||= task.hasBegun;
	task.isDone = (row.isDone ?? false) && !task.step.spec.isLasting;
	task.failureCount = row.failures ?? 0;
	task.checkpoint = row.checkpoint ?? '';
	task.crashes = row.crashes ?? [];
	for (const crash of task.crashes) {
		if (!crash.isConfirmed) {
			// Tracked so that its next report, or that of a later incarnation, decides whether it has crashed.
			findOrTrackWorker(crash.life);
		}
	}

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
