import {
	type JobSpec, type JobState, type StepSpec, JOB_STATES,
} from './model.js';
import type {QueueTerms} from './queue-terms.js';
import {formatTaskName} from './task-name.js';
import type {WorkerCrash} from './crash-record.js';

/** Phases of a run as its leader sees it. */
export const RUN_PHASES = {
	/** Its row is being stored; no order has been sent. */
	recording: 'recording',
	/** Its row is stored; the worker has not acknowledged the start. */
	starting: 'starting',
	running: 'running',
	/** It is being stopped; its end is not known yet. */
	stopping: 'stopping',
} as const;

/** One of {@link RUN_PHASES}. */
export type RunPhase = (typeof RUN_PHASES)[keyof typeof RUN_PHASES];

/** Incarnation that the start was sent to, and the leader's clock from which no start is awaited any more. */
export type KeptRun = {readonly incarnation: string; readonly untilMs: number};

/** A percentage of a run, and the leader's clock when it was seen; not exact if the run had shown it for an unknown time. */
export type Progress = {readonly atMs: number; readonly percent: number; readonly isExact: boolean};

/** One run of a task on a worker. */
export type Run = {
	readonly task: Task;
	readonly number: number;
	readonly incarnation: string;
	/** It has ended with an earlier incarnation of its worker, and is kept until a late start of it is impossible. */
	readonly keptFor?: KeptRun;
	phase: RunPhase;
	readonly placedAtMs: number;
	/** Start orders that may have reached the worker without an answer. */
	unansweredStarts: number;
	/** Leader's clock when its newest start was sent, or when the run was restored, as an earlier leader may have sent one until then. */
	startSentAtMs: number;
	/** Leader's clock when the worker first acknowledged or listed the run. */
	knownSinceMs?: number;
	/** It was placed by an earlier leader, so it may have been at work for longer than this one knows. */
	readonly isRestored: boolean;
	/** The agent's count of orders when the worker acknowledged a stop of this run. */
	stopAcknowledgedOrderCount?: number;
	/** The agent's count of orders when the worker acknowledged the start. */
	startAcknowledgedOrderCount?: number;
	/** Worker's clock when it first listed the run. */
	firstListedAtWorkerClockMs?: number;
	nextOrderAtMs: number;
	isOrderInFlight: boolean;
	/** Leader's clock when a start first remained unanswered. */
	startUnansweredSinceMs?: number;
	percent: number;
	/** Leader's clock at the reading of `percent`. */
	percentAsOfMs: number;
	/** Leader's clock at its newest progress. */
	progressAtMs: number;
	/** Its first progress that is known: its start, or the first list or change of a run that has not begun at 0 percent under this leader. */
	firstProgress?: Progress;
	/** Milliseconds that one percent has taken since then; absent before the next percent. */
	percentMs?: number;
	/** It has been found stalled, and has shown no progress since. */
	isStalled: boolean;
	startedAtMs?: number;
	/** Checkpoint that the run resumes from, or an empty string. */
	readonly startCheckpoint: string;
	/** Newest checkpoint that the run has written. */
	checkpoint: string;
};

/** One task of a step in one occurrence of a job. */
export type Task = {
	readonly name: string;
	readonly step: StepState;
	readonly index: number;
	isDone: boolean;
	failureCount: number;
	/** Runs that were stopped as stalled under this leader; counted at the first member of a gang. */
	stallCount: number;
	/** Number of the newest run. */
	lastRunNumber: number;
	/** Whether a worker is known to have begun a run of it. */
	hasBegun: boolean;
	/** Number of the newest run whose failure has been counted. */
	lastFailedRunNumber: number;
	/** Leader's clock when its newest run ended. */
	endedAtMs?: number;
	run?: Run;
	checkpoint: string;
	/** Ids of workers on which the task failed. */
	readonly failedWorkerIds: Set<string>;
	/** Workers that crashed, or may have crashed, while the task ran there. */
	crashes: readonly WorkerCrash[];
};

/** One step in one occurrence of a job. */
export type StepState = {
	readonly job: Job;
	readonly occurrence: number;
	readonly number: number;
	readonly spec: StepSpec;
	readonly tasks: Task[];
	/** Milliseconds that one percent of a task has taken, by the newest run that has shown it. */
	percentMs?: number;
	/** Leader's clock since which its tasks may run. */
	readyAtMs?: number;
	/** Leader's clock when other work was last stopped for it. */
	lastPreemptionAtMs?: number;
};

/** One occurrence of a job's steps. */
export type Occurrence = {readonly number: number; readonly dueAtWallMs: number; readonly steps: StepState[]};

/** A job that the pool has accepted. */
export type Job = {
	readonly id: string;
	readonly queueName: string;
	readonly account: string;
	/** Terms of its queue at its acceptance, if its row has them. */
	readonly terms?: QueueTerms;
	readonly spec: JobSpec | undefined;
	readonly acceptedAtWallMs: number;
	/** Time of acceptance on the leader's clock. */
	readonly acceptedAtLeaderClockMs: number;
	readonly occurrences: Occurrence[];
	/** The stored state; a change is visible only once it is stored. */
	state: JobState;
	isCancelled: boolean;
	/** Unix time at which it ended. */
	endedAtWallMs?: number;
	/** Leader's clock since which it is known to have ended. */
	endKnownSinceMs?: number;
	/** Its row is being removed. */
	isBeingRemoved?: boolean;
	/** The row of one of its tasks says, or is being stored to say, that a worker has begun it. */
	isBeginningStored: boolean;
	/** Its final row is being stored. */
	isEnding: boolean;
	/** One of its rows cannot be read, so that it is neither placed nor completed; it can still be cancelled. */
	hasUnreadableRows: boolean;
};

/** States of a job that never change again. */
export const FINAL_STATES: ReadonlySet<JobState> = new Set([JOB_STATES.completed, JOB_STATES.failed, JOB_STATES.cancelled]);

/**
 * Creates one occurrence of a job.
 *
 * @param job - The job; it has a spec.
 * @param number - Number of the occurrence, from 0.
 * @returns The occurrence with tasks that have never run.
 */
export function createOccurrence(job: Job, number: number): Occurrence {
	const {recurrence, steps} = job.spec!;
	const occurrence: Occurrence = {
		number,
		dueAtWallMs: recurrence ? recurrence.startAtMs + (number * recurrence.intervalMs) : 0,
		steps: [],
	};
	for (const [stepNumber, spec] of steps.entries()) {
		const step: StepState = {job, occurrence: number, number: stepNumber, spec, tasks: []};
		for (let index = 0; index < spec.taskCount; index++) {
			step.tasks.push({
				name: formatTaskName({jobId: job.id, occurrence: number, step: stepNumber, index}),
				step,
				index,
				isDone: false,
				failureCount: 0,
				stallCount: 0,
				lastRunNumber: 0,
				hasBegun: false,
				lastFailedRunNumber: 0,
				checkpoint: '',
				failedWorkerIds: new Set(),
				crashes: [],
			});
		}

		occurrence.steps.push(step);
	}

	return occurrence;
}

/** @returns Whether all tasks of a step are done. */
export function isStepDone(step: StepState): boolean {
	return step.tasks.every(task => task.isDone);
}

/** @returns Whether the steps that have to precede this one in its occurrence are done. */
export function isStepReady(step: StepState, occurrence: Occurrence): boolean {
	return step.spec.after.every(number => {
		const earlier = occurrence.steps[number];
		return earlier !== undefined && isStepDone(earlier);
	});
}

/**
 * Estimates the critical path through a job's steps.
 *
 * @param spec - The job.
 * @returns Milliseconds, by the caller's estimates.
 */
export function criticalPathMs(spec: JobSpec): number {
	const endsMs: number[] = [];
	for (const step of spec.steps) {
		const beforeMs = Math.max(0, ...step.after.map(number => endsMs[number] ?? 0));
		endsMs.push(beforeMs + step.estimatedMs);
	}

	return Math.max(0, ...endsMs);
}

/**
 * Estimates the critical path through the steps of a job that are not done.
 *
 * @param job - The job.
 * @returns Milliseconds, by the caller's estimates.
 */
export function remainingCriticalPathMs(job: Job): number {
	let longestMs = 0;
	for (const occurrence of job.occurrences) {
		const endsMs: number[] = [];
		for (const step of occurrence.steps) {
			const beforeMs = Math.max(0, ...step.spec.after.map(number => endsMs[number] ?? 0));
			endsMs.push(beforeMs + (isStepDone(step) ? 0 : step.spec.estimatedMs));
		}

		longestMs = Math.max(longestMs, ...endsMs);
	}

	return longestMs;
}

/**
 * Computes the time by which a job has to end to be on time.
 *
 * @param job - The job; it has a spec.
 * @param queue - Terms of its queue; undefined if they are not known.
 * @returns Leader's clock in milliseconds.
 */
export function objectiveAtMs(job: Job, queue: QueueTerms | undefined): number {
	return job.acceptedAtLeaderClockMs + ((queue?.stretch ?? 3) * criticalPathMs(job.spec!)) + (queue?.targetLatencyMs ?? 0);
}

/** @returns The members of the task's gang, or the task alone. */
export function unitOf(task: Task): readonly Task[] {
	return task.step.spec.isGang ? task.step.tasks : [task];
}

/**
 * Creates a run that is not known to have started.
 *
 * @param task - Its task.
 * @param start - Its number, its worker's incarnation, its phase, and the leader's clock.
 * @returns The run.
 */
export function createRun(task: Task, {number, incarnation, phase, nowMs}: {readonly number: number; readonly incarnation: string; readonly phase: RunPhase; readonly nowMs: number}): Run {
	return {
		task,
		number,
		incarnation,
		phase,
		placedAtMs: nowMs,
		// A run in a later phase was stored by an earlier leader, which may have sent its start.
		unansweredStarts: phase === RUN_PHASES.recording ? 0 : 1,
		startSentAtMs: nowMs,
		isRestored: phase !== RUN_PHASES.recording,
		nextOrderAtMs: nowMs,
		isOrderInFlight: false,
		percent: 0,
		percentAsOfMs: nowMs,
		progressAtMs: nowMs,
		isStalled: false,
		startCheckpoint: unitOf(task)[0]!.checkpoint,
		checkpoint: '',
	};
}

/** @returns Whether a start of the run may have reached its worker, or may still do so. */
export function mayHaveStarted(run: Run): boolean {
	return run.unansweredStarts > 0 || run.knownSinceMs !== undefined;
}
