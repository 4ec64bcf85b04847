import {URGENT_PRIORITY} from './guarantees.js';
import {
	createOccurrence, FINAL_STATES, isStepDone, type Job, type Task,
} from './job-model.js';
import {JOB_STATES, type JobState, MAX_JOB_TASKS} from './model.js';
import type {PoolContext} from './pool-context.js';
import {cancellationKey, type JobRow, TABLES} from './rows.js';
import type {RunLifecycle} from './run-lifecycle.js';
import {isCrashingTask} from './worker-crash.js';

/** Limits the effect of a jump of the wall clock on a job's age; jobs older than this have all missed their objective. */
const MAX_JOB_AGE_MS = 600_000;

/** A leader keeps ended jobs for at least this time on its own clock, as the wall clock may jump. */
const MIN_RETENTION_MS = 600_000;

/** Largest number of jobs removed at once; they fit into one transaction. */
const MAX_JOBS_PER_PRUNE = 90;

/** Tracks jobs from their acceptance to their final state and removal. */
export class JobLifecycle {
	readonly #context: PoolContext;
	readonly #runs: RunLifecycle;

	/**
	 * @param context - State of the pool.
	 * @param runs - Stops the runs of jobs that end early.
	 */
	constructor(context: PoolContext, runs: RunLifecycle) {
		this.#context = context;
		this.#runs = runs;
	}

	/**
	 * Adds a job from its stored row. A row of a known job changes nothing.
	 *
	 * @param id - The job.
	 * @param row - Its row.
	 * @returns The job.
	 */
	addStored(id: string, row: JobRow): Job {
		const known = this.#context.jobs.get(id);
		if (known) {
			return known;
		}

		const job: Job = {
			id,
			queueName: row.queue,
			account: row.account,
			...(row.terms && {terms: row.terms}),
			spec: row.spec,
			acceptedAtWallMs: row.acceptedAtMs,
			acceptedAtLeaderClockMs: this.#context.nowMs() - this.#ageMs(row),
			occurrences: [],
			state: row.finalState ?? JOB_STATES.queued,
			isCancelled: false,
			...(row.finalState !== undefined && {endedAtWallMs: row.endedAtMs ?? row.acceptedAtMs, endKnownSinceMs: this.#context.nowMs()}),
			isEnding: false,
			isBeginningStored: false,
			hasUnreadableRows: false,
		};
		this.#context.jobs.set(id, job);
		if (!FINAL_STATES.has(job.state)) {
			this.#addDueOccurrences(job);
			this.#recordUrgentDemand(job);
			this.#context.needsSchedulingRound = true;
			this.#context.log('job known', {
				job: id, queue: row.queue, account: row.account, steps: row.spec?.steps.length ?? 0, acceptedAtMs: row.acceptedAtMs,
			});
		}

		return job;
	}

	/**
	 * Cancels a job whose cancellation is stored.
	 *
	 * @param id - The job.
	 */
	cancel(id: string): void {
		const job = this.#context.jobs.get(id);
		if (!job || job.isCancelled || job.isEnding || FINAL_STATES.has(job.state)) {
			return;
		}

		job.isCancelled = true;
		this.#end(job, JOB_STATES.cancelled);
	}

	/**
	 * Ends a job if all its tasks are done, if a task has failed as often as the queue allows, or if one crashes its workers.
	 *
	 * @param job - The job; the state of its tasks has changed.
	 */
	endIfFinished(job: Job): void {
		if (job.isEnding || job.hasUnreadableRows || !job.spec || FINAL_STATES.has(job.state)) {
			return;
		}

		const maxAttempts = this.#context.queueOf(job)?.maxAttempts ?? Number.POSITIVE_INFINITY;
		const steps = job.occurrences.flatMap(occurrence => occurrence.steps);
		const hasFailed = (task: Task): boolean => !task.step.spec.isLasting && task.failureCount >= maxAttempts;
		if (steps.some(step => step.tasks.some(task => hasFailed(task) || (!task.isDone && isCrashingTask(task.crashes))))) {
			this.#end(job, JOB_STATES.failed);
			return;
		}

		const isComplete = job.occurrences.length === (job.spec.recurrence?.count ?? 1) && steps.every(step => isStepDone(step));
		if (isComplete) {
			this.#end(job, JOB_STATES.completed);
		}
	}

	/** Creates the due occurrences of recurring jobs. */
	createDueOccurrences(): void {
		for (const job of this.#context.jobs.values()) {
			if (job.spec?.recurrence && !job.isEnding && !FINAL_STATES.has(job.state)) {
				this.#addDueOccurrences(job);
			}
		}
	}

	/**
	 * Creates the occurrences of a job up to one that an earlier leader has started; by this leader's wall clock it may not
	 * be due yet.
	 *
	 * @param id - The job; one that is unknown or has ended is left as it is.
	 * @param number - Number of the occurrence.
	 * @param runCount - Number of stored runs. All tasks of earlier occurrences have one, but for as many as may be open.
	 */
	restoreOccurrences(id: string, number: number, runCount: number): void {
		const job = this.#context.jobs.get(id);
		const count = Math.min(job?.spec?.recurrence?.count ?? 1, runCount + MAX_JOB_TASKS);
		if (!job?.spec || FINAL_STATES.has(job.state) || number >= count) {
			return;
		}

		while (job.occurrences.length <= number) {
			job.occurrences.push(createOccurrence(job, job.occurrences.length));
		}
	}

	/** Removes jobs whose retention period has passed from the store, and then from memory. */
	pruneEnded(): void {
		const untilMs = this.#context.clock.wallMs() - this.#context.limits.retainEndedMs;
		const knownUntilMs = this.#context.nowMs() - Math.min(MIN_RETENTION_MS, this.#context.limits.retainEndedMs);
		const ended = [...this.#context.jobs.values()]
			.filter(job => FINAL_STATES.has(job.state) && !job.isBeingRemoved && (job.endedAtWallMs ?? untilMs) < untilMs && (job.endKnownSinceMs ?? knownUntilMs) < knownUntilMs)
			.slice(0, MAX_JOBS_PER_PRUNE);
		if (ended.length === 0) {
			return;
		}

		for (const job of ended) {
			job.isBeingRemoved = true;
		}

		this.#context.commits.enqueueRemovals(ended.map(job => ({table: TABLES.jobs, key: job.id})), () => undefined);
		this.#context.commits.enqueue([], () => {
			this.#context.log('ended jobs removed', {jobs: ended.length, retainEndedMs: this.#context.limits.retainEndedMs});
			for (const job of ended) {
				this.#context.jobs.delete(job.id);
			}
		});
	}

	#recordUrgentDemand(job: Job): void {
		const queue = this.#context.queueOf(job);
		if (queue?.priority === URGENT_PRIORITY) {
			const steps = job.spec!.steps.map(step => ({accelerators: step.taskCount * step.shape.accelerators, estimatedMs: step.estimatedMs}));
			this.#context.headroom.recordArrival(queue.service, {
				atMs: this.#context.nowMs(),
				accelerators: Math.max(...steps.map(step => step.accelerators)),
				acceleratorMs: steps.reduce((sum, step) => sum + (step.accelerators * step.estimatedMs), 0),
			});
		}
	}

	/** Milliseconds since a job was accepted; the wall clocks of the entries differ little, but may jump. */
	#ageMs(row: JobRow): number {
		return Math.min(MAX_JOB_AGE_MS, Math.max(0, this.#context.clock.wallMs() - row.acceptedAtMs));
	}

	/** Adds the occurrences that are due; those that would make the job too large wait until earlier ones are done. */
	#addDueOccurrences(job: Job): void {
		if (!job.spec) {
			return;
		}

		const {recurrence, steps} = job.spec;
		const tasksPerOccurrence = steps.reduce((sum, step) => sum + step.taskCount, 0);
		let openTasks: number | undefined;
		const wallMs = this.#context.clock.wallMs();
		const count = recurrence?.count ?? 1;
		while (job.occurrences.length < count) {
			const number = job.occurrences.length;
			if (recurrence && recurrence.startAtMs + (number * recurrence.intervalMs) > wallMs) {
				return;
			}

			openTasks ??= countOpenTasks(job);
			if (openTasks > 0 && openTasks + tasksPerOccurrence > MAX_JOB_TASKS) {
				return;
			}

			openTasks += tasksPerOccurrence;
			job.occurrences.push(createOccurrence(job, number));
			this.#context.needsSchedulingRound = true;
		}
	}

	#end(job: Job, state: JobState): void {
		job.isEnding = true;
		const tasks = job.occurrences.flatMap(occurrence => occurrence.steps.flatMap(step => step.tasks));
		const isJobAtFault = state === JOB_STATES.failed;
		for (const task of tasks) {
			if (task.run && !task.isDone) {
				this.#runs.stop(task.run, `job ${state}`);
			}
		}

		if (isJobAtFault) {
			for (const worker of this.#context.workers.values()) {
				worker.failedJobIds.delete(job.id);
			}
		}

		const row: JobRow = {queue: job.queueName, account: job.account, acceptedAtMs: job.acceptedAtWallMs, finalState: state, endedAtMs: this.#context.clock.wallMs()};
		this.#context.commits.enqueue([{table: TABLES.jobs, key: job.id, value: row}], () => {
			job.state = state;
			job.endedAtWallMs = row.endedAtMs!;
			job.endKnownSinceMs = this.#context.nowMs();
			this.#context.needsSchedulingRound = true;
			this.#context.log('job ended', {job: job.id, state, sinceKnownMs: Math.round(this.#context.nowMs() - job.acceptedAtLeaderClockMs)});
		});
		const removals: Array<{table: string; key: string}> = tasks.filter(task => task.lastRunNumber > 0).map(task => ({table: TABLES.runs, key: task.name}));
		if (job.isCancelled) {
			removals.push({table: TABLES.jobs, key: cancellationKey(job.id)});
		}

		this.#context.commits.enqueueRemovals(removals, () => {
			this.#context.needsSchedulingRound = true;
		});
	}
}

function countOpenTasks(job: Job): number {
	let count = 0;
	for (const {steps} of job.occurrences) {
		for (const {tasks} of steps) {
			count += tasks.filter(task => !task.isDone).length;
		}
	}

	return count;
}
