import type {AttemptEnd} from '@amaranthsail/scheduler';
import {
	failedWorkersOf, hasEnded, findMemberFailure, type Attempt, type Member, type StopCause,
} from './attempt.js';
import {
	recordUndecidedFailures, concludeCompleted, concludeStopped, concludeWaiting,
} from './conclusion.js';
import type {CoreContext} from './core-context.js';
import {rowWithChanges, type JobRecord, type JobWrite} from './job-record.js';
import {sendMemberCommands} from './member-commands.js';

/** Time after which an undecided attempt with a member that has not reported is abandoned. */
export const PREPARE_TIMEOUT_MS = 3000;

/** Time after which a decided attempt of a repeatable job is stopped when not all members have started. Longer than the fence, which ends lost members first. */
export const START_TIMEOUT_MS = 15_000;

/** First delay before a job whose undecided attempt was abandoned is queued again, so that a refusing worker is not retried in a tight loop; doubles with each such attempt. */
export const MIN_REQUEUE_DELAY_MS = 250;

/** Upper bound of the doubled requeue delay. */
export const MAX_REQUEUE_DELAY_MS = 4000;

const RUNNING_STATES: ReadonlySet<string> = new Set(['running', 'checkpointing', 'finished']);

function isIncarnationReplaced(context: CoreContext, {place}: Member): boolean {
	const worker = context.workers.get(place.workerId);
	return worker !== undefined && worker.incarnation !== place.incarnation && context.workers.isConfirmed(worker, worker.incarnation);
}

function updateMemberEnds(context: CoreContext, attempt: Attempt, nowMs: number): void {
	for (const member of attempt.members) {
		if (member.end !== undefined) {
			continue;
		}

		const {workerId, incarnation} = member.place;
		const worker = context.workers.get(workerId);
		if (nowMs >= context.workers.fenceAtMs(workerId, incarnation)) {
			member.end = 'fenced';
			context.recordMetric('owner.fence', {count: 1}, {workerId});
			continue;
		}

		// Without a decision no member was released, so a silent member cannot run and needs no fence.
		const isUnreachable = worker === undefined || context.workers.isSuspected(worker, nowMs) || isIncarnationReplaced(context, member);
		const isStoppedBeforeReport = attempt.stopCause !== undefined && member.state === 'unreported';
		if (attempt.decision === 'none' && (isUnreachable || isStoppedBeforeReport)) {
			member.end = 'never_released';
		}
	}
}

function isCheckpointed(attempt: Attempt): boolean {
	return attempt.members.every((member, index) => member.end !== undefined || (member.hasCheckpoint && !attempt.preemption!.hadCheckpoint[index]));
}

function preemptionStopCause(job: JobRecord, attempt: Attempt, nowMs: number): StopCause | undefined {
	const {preemption} = attempt;
	if (preemption === undefined) {
		return undefined;
	}

	const isGraceOver = nowMs >= preemption.graceEndsAtMs || attempt.decision === 'none' || !job.row.spec.checkpointable;
	return isGraceOver || isCheckpointed(attempt)
		? {kind: 'preempted', message: 'The job gave its place to another one.'}
		: undefined;
}

/** Finds an attempt of a repeatable job with a member that does not start. A non-repeatable job waits instead: a stop would end it as unknown. */
function startTimeoutStopCause(job: JobRecord, attempt: Attempt, nowMs: number): StopCause | undefined {
	const isOverdue = attempt.decision === 'durable' && attempt.startedAtMs === undefined && nowMs - attempt.decidedAtMs >= START_TIMEOUT_MS;
	const isStuck = isOverdue && attempt.members.every(({state}) => state !== 'unreported') && attempt.members.some(({state}) => state === 'prepared');
	return isStuck && job.row.spec.repeatable
		? {kind: 'member_failed', message: 'A member did not start in time.'}
		: undefined;
}

function runTimeoutStopCause(context: CoreContext, {row}: JobRecord, attempt: Attempt, nowMs: number): StopCause | undefined {
	const {maxRunMs} = row.spec;
	// After a takeover the row contains the start time; this owner saw the attempt running only later.
	const startedAtMs = row.state === 'running' && row.startedAtMs !== undefined ? row.startedAtMs - context.options.wallOffsetMs : attempt.startedAtMs;
	return maxRunMs === undefined || startedAtMs === undefined || nowMs - startedAtMs < maxRunMs
		? undefined
		: {kind: 'timed_out', message: `The job ran longer than the ${maxRunMs} ms that its operation allows.`};
}

function requestedStopCause(context: CoreContext, job: JobRecord, attempt: Attempt, nowMs: number): StopCause | undefined {
	return job.cancelRequested
		? {kind: 'cancelled', message: 'The job was cancelled.'}
		: runTimeoutStopCause(context, job, attempt, nowMs) ?? preemptionStopCause(job, attempt, nowMs) ?? startTimeoutStopCause(job, attempt, nowMs);
}

function findStopCause(context: CoreContext, job: JobRecord, attempt: Attempt, nowMs: number): StopCause | undefined {
	// While another process may own the job, only failures stop an attempt: the other owner would not know a requested stop and would start the job again.
	const requestedCause = context.gate.canWrite(nowMs) ? requestedStopCause(context, job, attempt, nowMs) : undefined;
	if (requestedCause !== undefined) {
		return requestedCause;
	}

	const memberFailure = findMemberFailure(attempt);
	// During a preemption, a task that stops by itself after its checkpoint has done what was requested.
	if (memberFailure !== undefined && (attempt.preemption === undefined || memberFailure.kind === 'member_lost')) {
		return memberFailure;
	}

	const replacedMember = attempt.members.find(member => member.end === undefined && isIncarnationReplaced(context, member));
	if (replacedMember !== undefined) {
		return {kind: 'member_lost', message: `The agent of worker ${replacedMember.place.workerId} was restarted.`};
	}

	const isPrepareOverdue = attempt.decision === 'none' && nowMs - attempt.placedAtMs >= PREPARE_TIMEOUT_MS;
	return isPrepareOverdue && attempt.members.some(member => member.state === 'unreported')
		? {kind: 'member_lost', message: 'The members did not prepare in time.'}
		: undefined;
}

/**
 * Reports the end of a job's attempt to the scheduler.
 *
 * @param context - The core's state.
 * @param job - The job; no longer placed afterwards.
 * @param end - How the attempt ended.
 * @param nowMs - Monotonic milliseconds.
 */
export function endPlacement(context: CoreContext, job: JobRecord, end: AttemptEnd, nowMs: number): void {
	if (!job.isPlaced) {
		return;
	}

	const failed = job.attempt === undefined ? [] : failedWorkersOf(job.attempt);
	context.scheduler.ended(job.row.jobId, end, failed, nowMs);
	job.isPlaced = false;
	context.needsDecision = true;
}

/**
 * Converts the end of an attempt for the scheduler.
 *
 * @param attempt - An attempt that has ended without completing.
 * @returns How it ended.
 */
export function attemptEndOf(attempt: Attempt): AttemptEnd {
	if (failedWorkersOf(attempt).length > 0) {
		return 'failed';
	}

	return attempt.stopCause?.kind === 'member_lost' ? 'lost' : 'stopped';
}

function abandonUndecidedAttempt(context: CoreContext, job: JobRecord, attempt: Attempt, nowMs: number): void {
	recordUndecidedFailures(job, attempt);
	endPlacement(context, job, attemptEndOf(attempt), nowMs);
	context.detachAttempt(job);
	context.recordMetric('owner.attempt_given_up', {count: 1}, {cause: attempt.stopCause?.kind ?? 'none'});
	if (!job.cancelRequested && job.refusal === undefined) {
		job.requeueAtMs = nowMs + Math.min(MAX_REQUEUE_DELAY_MS, MIN_REQUEUE_DELAY_MS * (2 ** job.undecidedAttemptCount));
		job.undecidedAttemptCount += 1;
	}
}

function advanceAttempt(context: CoreContext, job: JobRecord, nowMs: number): void {
	const {attempt} = job;
	if (attempt === undefined) {
		return;
	}

	updateMemberEnds(context, attempt, nowMs);
	if (!context.gate.canWrite(nowMs)) {
		attempt.decidedAtMs = nowMs;
	}

	const isFinished = attempt.members.every(({state}) => state === 'finished');
	if (attempt.stopCause === undefined && !isFinished) {
		attempt.stopCause = findStopCause(context, job, attempt, nowMs);
		if (attempt.stopCause !== undefined) {
			attempt.stopRequestedAtMs = nowMs;
			updateMemberEnds(context, attempt, nowMs);
		}
	}

	if (attempt.decision === 'durable' && attempt.startedAtMs === undefined && attempt.members.every(({state}) => RUNNING_STATES.has(state))) {
		attempt.startedAtMs = nowMs;
		context.scheduler.started(job.row.jobId, nowMs);
		context.recordMetric('owner.placed_to_running', {valueMs: nowMs - attempt.placedAtMs}, {account: job.row.spec.account, workClass: job.row.spec.workClass});
	}

	const canReplaceWrite = job.write?.writeId === undefined && job.readRequestedAtMs === undefined;
	if (attempt.decision === 'none' && canReplaceWrite && attempt.stopCause !== undefined && hasEnded(attempt)) {
		abandonUndecidedAttempt(context, job, attempt, nowMs);
	}
}

function decisionWrite(context: CoreContext, job: JobRecord, attempt: Attempt, nowMs: number): JobWrite | undefined {
	const isReady = attempt.stopCause === undefined && attempt.preemption === undefined && attempt.members.every(({state}) => state === 'prepared');
	if (!isReady || !context.gate.canDecide(nowMs)) {
		return undefined;
	}

	return {
		kind: 'decision', writeId: undefined, next: rowWithChanges(job, {
			state: 'decided',
			attempt: attempt.number,
			members: attempt.members.map(({place}) => place),
			startConsumed: !job.row.spec.repeatable,
		}),
	};
}

function moveWrite(job: JobRecord): JobWrite | undefined {
	return job.moveTarget === undefined
		? undefined
		: {kind: 'moved', writeId: undefined, next: rowWithChanges(job, {failureDomain: job.moveTarget})};
}

function nextWrite(context: CoreContext, job: JobRecord, nowMs: number): JobWrite | undefined {
	const {attempt} = job;
	if (attempt === undefined) {
		return concludeWaiting(job, context.wallMs(nowMs)) ?? moveWrite(job);
	}

	if (attempt.decision === 'none') {
		return decisionWrite(context, job, attempt, nowMs);
	}

	if (attempt.members.every(({state}) => state === 'finished')) {
		return concludeCompleted(job, attempt, context.wallMs(nowMs));
	}

	if (attempt.stopCause !== undefined && hasEnded(attempt)) {
		return concludeStopped(job, attempt, context.wallMs(nowMs));
	}

	if (job.cancelRequested && !job.row.cancelRequested) {
		return {kind: 'cancel_mark', next: rowWithChanges(job, {}), writeId: undefined};
	}

	if (attempt.startedAtMs !== undefined && attempt.stopCause === undefined && job.row.state === 'decided') {
		return {kind: 'running', writeId: undefined, next: rowWithChanges(job, {state: 'running', startedAtMs: context.wallMs(attempt.startedAtMs)})};
	}

	return undefined;
}

/**
 * Advances the state of a job: detects ended members, finds a reason to stop, queues the next durable write and sends
 * the commands that are due. Safe to call at any time and any number of times.
 *
 * @param context - The core's state.
 * @param job - The job.
 * @param nowMs - Monotonic milliseconds.
 */
export function advanceJob(context: CoreContext, job: JobRecord, nowMs: number): void {
	if (context.gate.isLost) {
		return;
	}

	advanceAttempt(context, job, nowMs);
	if (job.requeueAtMs !== undefined && nowMs >= job.requeueAtMs) {
		job.requeueAtMs = undefined;
		job.isQueued = true;
		context.scheduler.requeue(job.row.jobId, nowMs);
		context.needsDecision = true;
	}

	// A write that was sent must get its result first; a write that is only queued is replaced according to the current state.
	if (job.write?.writeId === undefined && job.readRequestedAtMs === undefined) {
		job.write = nowMs >= job.nextWriteAtMs ? nextWrite(context, job, nowMs) : undefined;
		context.writes.update(job, nowMs);
	}

	sendMemberCommands(context, job, nowMs);
}
