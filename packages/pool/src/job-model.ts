import {
	type JobSpec, type JobState, type Queue, type StepSpec, JOB_STATES,
} from './model.js';
import {formatTaskName} from './task-name.js';

/** Phases of a run as its leader sees it. */
export const RUN_PHASES = {
	/** Its row is being stored; nothing has been sent. */
	recording: 'recording',
	/** Stored; the worker has not confirmed the start. */
	starting: 'starting',
	running: 'running',
	/** It is to end; the worker has not listed the end. */
	stopping: 'stopping',
} as const;

/** One of {@link RUN_PHASES}. */
export type RunPhase = (typeof RUN_PHASES)[keyof typeof RUN_PHASES];

/** One run of a task on a worker. */
export type Run = {
	readonly task: Task;
	readonly number: number;
	readonly life: string;
	phase: RunPhase;
	readonly placedAtMs: number;
	/** Start orders may have reached the worker. */
	wasOrdered: boolean;
	/** The worker acknowledged a stop of this run, after this many orders of its agent. */
	stopAcknowledgedAtOrder?: number;
	/** The worker acknowledged the start, after this many orders of its agent. */
	startConfirmedAtOrder?: number;
	/** Worker's clock when it listed the run first. */
	listedAtClockMs?: number;
	nextOrderAtMs: number;
	isOrderUnderWay: boolean;
	/** Since when starts have been sent without an answer. */
	unansweredSinceMs?: number;
	percent: number;
	progressAtMs: number;
	/** It was found to stand still, and has shown no progress since. */
	isStalled: boolean;
	startedAtMs?: number;
	/** Checkpoint that the run continues from, or an empty string. */
	readonly startCheckpoint: string;
	/** Newest checkpoint that the run has written. */
	checkpoint: string;
	/** Time at which the newest checkpoint was first seen. */
	savedAtMs: number;
};

/** One task of a step in one occurrence of a job. */
export type Task = {
	readonly name: string;
	readonly step: StepState;
	readonly index: number;
	isDone: boolean;
	failures: number;
	/** Number of the newest run. */
	lastRun: number;
	/** Highest run whose failure has been counted. */
	lastFailedRun: number;
	/** Leader's clock when its newest run ended. */
	endedAtMs?: number;
	run?: Run;
	checkpoint: string;
	/** Ids of workers on which the task failed. */
	readonly failedOn: Set<string>;
};

/** One step in one occurrence of a job. */
export type StepState = {
	readonly job: Job;
	readonly occurrence: number;
	readonly number: number;
	readonly spec: StepSpec;
	readonly tasks: Task[];
	/** Since when its tasks may run. */
	readyAtMs?: number;
	/** Since when room is being made for it by stopping other work. */
	roomMadeSinceMs?: number;
};

/** One occurrence of a job's steps. */
export type Occurrence = {readonly number: number; readonly dueAtWallMs: number; readonly steps: StepState[]};

/** A job that the pool has accepted. */
export type Job = {
	readonly id: string;
	readonly queueName: string;
	readonly account: string;
	readonly spec: JobSpec | undefined;
	readonly acceptedAtMs: number;
	/** Leader's clock when it learned of the job. */
	readonly knownAtMs: number;
	readonly occurrences: Occurrence[];
	/** State as far as it is stored. */
	state: JobState;
	isCancelled: boolean;
	/** Time of day at which it ended. */
	endedAtWallMs?: number;
	/** Its row is being removed. */
	isPruned?: boolean;
	/** Its final row is being stored. */
	isEnding: boolean;
};

/** States in which nothing more happens to a job. */
export const FINAL_STATES: ReadonlySet<JobState> = new Set([JOB_STATES.completed, JOB_STATES.failed, JOB_STATES.cancelled]);

/**
 * Makes the state of one occurrence of a job.
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
				failures: 0,
				lastRun: 0,
				lastFailedRun: 0,
				checkpoint: '',
				failedOn: new Set(),
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

/** @returns Whether the steps before this one in its occurrence are done. */
export function isStepReady(step: StepState, occurrence: Occurrence): boolean {
	return step.spec.after.every(number => {
		const earlier = occurrence.steps[number];
		return earlier !== undefined && isStepDone(earlier);
	});
}

/**
 * Estimates the longest chain of work through a job's steps.
 *
 * @param spec - The job.
 * @returns Milliseconds by the caller's estimates.
 */
export function longestChainMs(spec: JobSpec): number {
	const endsMs: number[] = [];
	for (const step of spec.steps) {
		const beforeMs = Math.max(0, ...step.after.map(number => endsMs[number] ?? 0));
		endsMs.push(beforeMs + step.estimatedMs);
	}

	return Math.max(0, ...endsMs);
}

/**
 * Estimates the longest chain of work that a job still has.
 *
 * @param job - The job.
 * @returns Milliseconds by the caller's estimates, steps that are done left out.
 */
export function remainingChainMs(job: Job): number {
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
 * Time by which a job is on time.
 *
 * @param job - The job; it has a spec.
 * @param queue - Its queue; undefined when no configuration names it any more.
 * @returns Leader's clock in milliseconds.
 */
export function objectiveAtMs(job: Job, queue: Queue | undefined): number {
	return job.knownAtMs + ((queue?.stretch ?? 3) * longestChainMs(job.spec!)) + (queue?.targetLatencyMs ?? 0);
}

/** @returns The members of the task's gang, or the task alone. */
export function unitOf(task: Task): readonly Task[] {
	return task.step.spec.isGang ? task.step.tasks : [task];
}

/**
 * Makes a run that is not known to work yet.
 *
 * @param task - Its task.
 * @param start - Its number, its worker's life, how far its start has come, and the leader's clock.
 * @returns The run.
 */
export function createRun(task: Task, {number, life, phase, nowMs}: {readonly number: number; readonly life: string; readonly phase: RunPhase; readonly nowMs: number}): Run {
	return {
		task,
		number,
		life,
		phase,
		placedAtMs: nowMs,
		// A run that is not being recorded was stored before, and its start may have been sent.
		wasOrdered: phase !== RUN_PHASES.recording,
		nextOrderAtMs: nowMs,
		isOrderUnderWay: false,
		percent: 0,
		progressAtMs: nowMs,
		isStalled: false,
		startCheckpoint: unitOf(task)[0]!.checkpoint,
		checkpoint: '',
		savedAtMs: nowMs,
	};
}
