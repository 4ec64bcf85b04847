import type {
	AttemptMember, JobSpec, TaskReport, TaskState,
} from '@amaranthsail/core';
import type {PlacedTask} from '@amaranthsail/scheduler';

/** How it is known that a member no longer runs and can no longer start. */
export type MemberEnd
	/** A report of a final task state by the incarnation that prepared the task. */
	= | 'reported'
	/** The same by a newer incarnation, which cannot know whether the task ever started. */
		| 'reported_by_successor'
	/** A complete heartbeat without the task. */
		| 'absent'
	/** The lease has expired with certainty. */
		| 'fenced'
	/** The attempt was never decided, so no release was sent, and the worker is silent or was restarted. */
		| 'never_released';

/** One task of an attempt as the owner knows it. */
export type Member = {
	readonly place: AttemptMember;
	state: TaskState | 'unreported';
	/** From the incarnation that prepared the task; undefined before its first report. */
	everStarted: boolean | undefined;
	reason: string | undefined;
	answer: TaskReport['answer'];
	hasCheckpoint: boolean;
	end: MemberEnd | undefined;
	/** Sequence of the last heartbeat that reported the task. */
	reportedSequence: number | undefined;
	lastCommand: {readonly kind: string; readonly atMs: number} | undefined;
};

/** Why an attempt is stopped. */
export type StopCause = {
	readonly kind: 'cancelled' | 'preempted' | 'timed_out' | 'member_failed' | 'member_lost';
	readonly message: string;
};

/** One try to run all tasks of a job. */
export type Attempt = {
	readonly number: number;
	readonly members: readonly Member[];
	/** Whether the decision row is unwritten, sent, or confirmed committed. Nothing is released before `durable`. */
	decision: 'none' | 'sent' | 'durable';
	/** Restored from a row; releases wait until every member has reported. */
	readonly recovered: boolean;
	readonly placedAtMs: number;
	stopCause: StopCause | undefined;
	stopSinceMs: number | undefined;
	/** A reclaim in progress: members are told to checkpoint and stopped at the end of the grace. */
	preempt: {readonly untilMs: number; readonly hadCheckpoint: readonly boolean[]} | undefined;
	/** When the decision was confirmed; moved on while the ownership is not valid. */
	decidedAtMs: number;
	/** When every member was first seen running. */
	startedAtMs: number | undefined;
};

const STATE_ORDER: Readonly<Record<Member['state'], number>> = {
	unreported: 0, prepared: 1, running: 2, checkpointing: 2, refused: 3, finished: 3, failed: 3, stopped: 3,
};
const FINAL_TASK_STATES: ReadonlySet<string> = new Set(['refused', 'finished', 'failed', 'stopped']);

/** Refusals that pass by themselves: resources in use, or a shutdown. They count neither against the job nor against the worker. */
const TRANSIENT_REFUSAL = /^(?:no_(?:slots|connections|processors|memoryMb|accelerators)|accelerator_taken|already_ended|agent_leaving|endpoint_leaving|unknown_endpoint)$/v;

/** Stops that nobody asked for and that a start on the same worker would probably meet again. */
const COUNTED_STOPS: ReadonlySet<string> = new Set(['start_refused', 'worker_unavailable', 'lost_by_worker', 'stopped_by_worker']);

function countsAsFailure({state, reason}: Member): boolean {
	if (state === 'refused') {
		return !TRANSIENT_REFUSAL.test(reason ?? '');
	}

	return state === 'failed' || (state === 'stopped' && COUNTED_STOPS.has(reason ?? ''));
}

/**
 * Tells whether a task in this state no longer runs.
 *
 * @param state - The reported state.
 * @returns True for a state that does not change any more.
 */
export function isFinalTaskState(state: string): boolean {
	return FINAL_TASK_STATES.has(state);
}

/**
 * Makes the members of an attempt.
 *
 * @param number - The attempt's number.
 * @param places - Where each task goes.
 * @param options - Whether the attempt comes from a row, and the time in monotonic milliseconds.
 * @returns The attempt, with no member reported.
 */
export function createAttempt(number: number, places: readonly AttemptMember[], options: {readonly recovered: boolean; readonly nowMs: number}): Attempt {
	return {
		number,
		members: places.map(place => ({
			place, state: 'unreported', everStarted: undefined, reason: undefined, answer: undefined, hasCheckpoint: false, end: undefined, reportedSequence: undefined, lastCommand: undefined,
		})),
		decision: options.recovered ? 'durable' : 'none',
		recovered: options.recovered,
		placedAtMs: options.nowMs,
		stopCause: undefined,
		stopSinceMs: undefined,
		preempt: undefined,
		decidedAtMs: options.nowMs,
		startedAtMs: undefined,
	};
}

/**
 * Tells whether a final state of a member was reported.
 *
 * @param member - The member.
 * @returns True when an agent remembers the task and may be told to forget it.
 */
export function isReported({end}: Member): boolean {
	return end === 'reported' || end === 'reported_by_successor';
}

/**
 * Takes over a report about a member. Reports of an earlier state than the known one change nothing,
 * so duplicated and reordered heartbeats are harmless.
 *
 * @param member - The member to update.
 * @param report - The report.
 * @param source - Incarnation and sequence of the heartbeat.
 */
export function applyReport(member: Member, report: TaskReport, source: {readonly incarnation: string; readonly sequence: number}): void {
	const isOwnIncarnation = source.incarnation === member.place.incarnation;
	const isFinal = isFinalTaskState(report.state);
	// A newer incarnation may report that a leftover has ended; anything else it says is not proof.
	if (isReported(member) || (!isOwnIncarnation && !isFinal) || STATE_ORDER[report.state] < STATE_ORDER[member.state]) {
		return;
	}

	// A finished task without length and digest cannot be checked by the caller.
	const isUncheckable = report.state === 'finished' && report.answer === undefined;
	member.state = isUncheckable ? 'failed' : report.state;
	member.reason = isUncheckable ? 'answer_missing' : report.reason;
	member.answer = report.answer;
	member.hasCheckpoint ||= report.hasCheckpoint ?? false;
	if (isOwnIncarnation) {
		member.everStarted = Boolean(member.everStarted) || report.everStarted;
		member.reportedSequence = Math.max(member.reportedSequence ?? 0, source.sequence);
	}

	if (isFinal) {
		member.end = isOwnIncarnation ? 'reported' : 'reported_by_successor';
	}
}

/**
 * Finds the reason to stop an attempt in the state of its members.
 *
 * @param attempt - The attempt.
 * @returns The cause, or undefined while no member has failed, been lost or given up.
 */
export function memberTrouble(attempt: Attempt): StopCause | undefined {
	const troubled = attempt.members.find(member => member.end !== undefined && member.state !== 'finished');
	if (troubled === undefined) {
		return undefined;
	}

	const {place: {taskIndex, workerId}, state, reason, end} = troubled;
	if (end !== 'reported') {
		return {kind: 'member_lost', message: `Task ${taskIndex} on worker ${workerId} was lost (${String(end)}).`};
	}

	return {kind: 'member_failed', message: `Task ${taskIndex} on worker ${workerId} is ${state}${reason === undefined ? '' : `: ${reason}`}.`};
}

/**
 * Tells whether every member is proven to run no more.
 *
 * @param attempt - The attempt.
 * @returns True when a new attempt may start.
 */
export function isSettled(attempt: Attempt): boolean {
	return attempt.members.every(member => member.end !== undefined);
}

/**
 * Tells whether the attempt is proven to have started nothing: each member's own incarnation says so.
 *
 * @param attempt - A settled attempt.
 * @returns False when a task has started or may have.
 */
export function isProvenNeverStarted(attempt: Attempt): boolean {
	return attempt.members.every(member => member.end === 'reported' && member.everStarted === false && member.state !== 'finished');
}

/**
 * Names the workers whose failure counts against the job.
 *
 * @param attempt - The attempt.
 * @returns Ids of workers on which a task failed, was refused for good, or stopped by itself.
 */
export function failedWorkersOf(attempt: Attempt): readonly string[] {
	return attempt.members
		.filter(member => countsAsFailure(member))
		.map(member => member.place.workerId);
}

/**
 * Lists the placement for the scheduler.
 *
 * @param attempt - The attempt.
 * @returns One place per task.
 */
export function placedTasksOf(attempt: Attempt): readonly PlacedTask[] {
	return attempt.members.map(({place: {taskIndex, workerId, endpointId, accelerators}}) => ({
		taskIndex, workerId, endpointId, accelerators,
	}));
}

/**
 * Tells whether a job may lose its place to another one.
 *
 * @param spec - The job's specification.
 * @returns True only for repeatable jobs.
 */
export function isStoppable(spec: JobSpec): boolean {
	return spec.repeatable;
}
