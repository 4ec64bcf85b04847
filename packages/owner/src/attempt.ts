import type {
	AttemptMember, JobSpec, TaskReport, TaskState,
} from '@amaranthsail/core';
import type {PlacedTask} from '@amaranthsail/scheduler';

/** Evidence that a member no longer runs and can no longer start. */
export type MemberEnd
	/** A report of a final task state by the incarnation that prepared the task. */
	= | 'reported'
	/** The same report by a newer incarnation, which cannot know whether the task ever started. */
		| 'reported_by_successor'
	/** A complete heartbeat without the task. */
		| 'absent'
	/** The lease has certainly expired. */
		| 'fenced'
	/** The attempt was never decided, so no release was sent, and the worker is silent, was restarted or has not reported the task. */
		| 'never_released';

/** One task of an attempt, with the state known to the owner. */
export type Member = {
	readonly place: AttemptMember;
	state: TaskState | 'unreported';
	/** Whether the task has started, as reported by the incarnation that prepared it; undefined before its first report. */
	everStarted: boolean | undefined;
	reason: string | undefined;
	answer: TaskReport['answer'];
	hasCheckpoint: boolean;
	end: MemberEnd | undefined;
	/** Sequence of the last heartbeat that reported the task. */
	reportedSequence: number | undefined;
	lastCommand: {readonly kind: string; readonly atMs: number} | undefined;
};

/** Reason why an attempt is stopped. */
export type StopCause = {
	readonly kind: 'cancelled' | 'preempted' | 'timed_out' | 'member_failed' | 'member_lost';
	readonly message: string;
};

/** One try to run all tasks of a job. */
export type Attempt = {
	readonly number: number;
	readonly members: readonly Member[];
	/** Whether the write of the decision has not been sent, has been sent, or is confirmed as committed. No member is released before `durable`. */
	decision: 'none' | 'sent' | 'durable';
	/** Whether the attempt was restored from a row; releases then wait until every member has reported. */
	readonly isRecovered: boolean;
	readonly placedAtMs: number;
	stopCause: StopCause | undefined;
	stopRequestedAtMs: number | undefined;
	/** A preemption in progress: members receive a checkpoint command and are stopped at the end of the grace period. */
	preemption: {readonly graceEndsAtMs: number; readonly hadCheckpoint: readonly boolean[]} | undefined;
	/** When the decision was confirmed; advances with the clock while the ownership is not valid. */
	decidedAtMs: number;
	/** When every member was first seen running. */
	startedAtMs: number | undefined;
};

const TASK_STATE_ORDER: Readonly<Record<Member['state'], number>> = {
	unreported: 0, prepared: 1, running: 2, checkpointing: 2, refused: 3, finished: 3, failed: 3, stopped: 3,
};
const FINAL_TASK_STATES: ReadonlySet<string> = new Set(['refused', 'finished', 'failed', 'stopped']);

/** Reasons of temporary refusals: resources in use, or a shutdown. They count against neither the job nor the worker. */
const TRANSIENT_REFUSAL_REASON = /^(?:no_(?:slots|connections|processors|memoryMb|accelerators)|accelerator_taken|already_ended|agent_leaving|endpoint_leaving|unknown_endpoint)$/v;

/** Reasons of stops that nobody requested and that would probably recur on the same worker. */
const COUNTED_STOP_REASONS: ReadonlySet<string> = new Set(['start_refused', 'worker_unavailable', 'lost_by_worker', 'stopped_by_worker']);

function countsAsFailure({state, reason}: Member): boolean {
	if (state === 'refused') {
		return !TRANSIENT_REFUSAL_REASON.test(reason ?? '');
	}

	return state === 'failed' || (state === 'stopped' && COUNTED_STOP_REASONS.has(reason ?? ''));
}

/**
 * Returns whether a task in this state has ended.
 *
 * @param state - The reported state.
 * @returns True for a state that no longer changes.
 */
export function isFinalTaskState(state: string): boolean {
	return FINAL_TASK_STATES.has(state);
}

/**
 * Creates an attempt and its members.
 *
 * @param attemptNumber - The attempt's number.
 * @param places - Where each task goes.
 * @param options - Whether the attempt is restored from a row, and the time in monotonic milliseconds.
 * @returns The attempt; no member is reported yet.
 */
export function createAttempt(attemptNumber: number, places: readonly AttemptMember[], options: {readonly isRecovered: boolean; readonly nowMs: number}): Attempt {
	return {
		number: attemptNumber,
		members: places.map(place => ({
			place, state: 'unreported', everStarted: undefined, reason: undefined, answer: undefined, hasCheckpoint: false, end: undefined, reportedSequence: undefined, lastCommand: undefined,
		})),
		decision: options.isRecovered ? 'durable' : 'none',
		isRecovered: options.isRecovered,
		placedAtMs: options.nowMs,
		stopCause: undefined,
		stopRequestedAtMs: undefined,
		preemption: undefined,
		decidedAtMs: options.nowMs,
		startedAtMs: undefined,
	};
}

/**
 * Returns whether a final state of a member was reported.
 *
 * @param member - The member.
 * @returns True when an agent keeps a report of the task that a `forget` command removes.
 */
export function hasReportedEnd({end}: Member): boolean {
	return end === 'reported' || end === 'reported_by_successor';
}

/**
 * Applies a report to a member. Reports of an earlier state than the known one are ignored,
 * so duplicated and reordered heartbeats are harmless.
 *
 * @param member - The member to update.
 * @param report - The report.
 * @param source - Incarnation and sequence of the heartbeat.
 */
export function applyReport(member: Member, report: TaskReport, source: {readonly incarnation: string; readonly sequence: number}): void {
	const isOwnIncarnation = source.incarnation === member.place.incarnation;
	const isFinal = isFinalTaskState(report.state);
	// A newer incarnation can prove that a task of an earlier one has ended; its other reports prove nothing.
	if (hasReportedEnd(member) || (!isOwnIncarnation && !isFinal) || TASK_STATE_ORDER[report.state] < TASK_STATE_ORDER[member.state]) {
		return;
	}

	// A caller cannot verify the answer of a finished task without its length and digest.
	const isUnverifiable = report.state === 'finished' && report.answer === undefined;
	member.state = isUnverifiable ? 'failed' : report.state;
	member.reason = isUnverifiable ? 'answer_missing' : report.reason;
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
 * Finds a member that ended without finishing, as a reason to stop the attempt.
 *
 * @param attempt - The attempt.
 * @returns The cause, or undefined while no member has failed, stopped or been lost.
 */
export function findMemberFailure(attempt: Attempt): StopCause | undefined {
	const failedMember = attempt.members.find(member => member.end !== undefined && member.state !== 'finished');
	if (failedMember === undefined) {
		return undefined;
	}

	const {place: {taskIndex, workerId}, state, reason, end} = failedMember;
	if (end !== 'reported') {
		return {kind: 'member_lost', message: `Task ${taskIndex} on worker ${workerId} was lost (${String(end)}).`};
	}

	return {kind: 'member_failed', message: `Task ${taskIndex} on worker ${workerId} is ${state}${reason === undefined ? '' : `: ${reason}`}.`};
}

/**
 * Returns whether every member has provably ended.
 *
 * @param attempt - The attempt.
 * @returns True when a new attempt may start.
 */
export function hasEnded(attempt: Attempt): boolean {
	return attempt.members.every(member => member.end !== undefined);
}

/**
 * Returns whether provably no task of the attempt has started: each member's own incarnation reports so.
 *
 * @param attempt - An attempt whose members have all ended.
 * @returns False when a task has started or may have.
 */
export function isProvenNeverStarted(attempt: Attempt): boolean {
	return attempt.members.every(member => member.end === 'reported' && member.everStarted === false && member.state !== 'finished');
}

/**
 * Lists the workers whose failure counts against the job.
 *
 * @param attempt - The attempt.
 * @returns Ids of workers on which a task failed, was permanently refused, or stopped without a request.
 */
export function failedWorkersOf(attempt: Attempt): readonly string[] {
	return attempt.members
		.filter(member => countsAsFailure(member))
		.map(member => member.place.workerId);
}

/**
 * Converts the placement of an attempt for the scheduler.
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
 * Returns whether a job may be preempted for another one.
 *
 * @param spec - The job's specification.
 * @returns True only for repeatable jobs.
 */
export function isPreemptible(spec: JobSpec): boolean {
	return spec.repeatable;
}
