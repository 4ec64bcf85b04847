import type {AttemptEnd} from '@amaranthsail/scheduler';
import {
	failedWorkersOf, isSettled, memberTrouble, type Attempt, type Member, type StopCause,
} from './attempt.js';
import {
	absorbUndecided, concludeCompleted, concludeStopped, concludeWaiting,
} from './conclusion.js';
import type {CoreContext} from './core-context.js';
import {nextRow, type JobRecord, type JobWrite} from './job-record.js';
import {sendMemberCommands} from './member-commands.js';

/** An attempt whose members are not all prepared by then is given up. */
export const PREPARE_TIMEOUT_MS = 3000;

/** A decided attempt of a repeatable job whose members do not all start by then is stopped. Longer than the fence, which ends lost members first. */
export const START_TIMEOUT_MS = 15_000;

/** First delay before a job whose undecided attempt was given up is queued again, so that a refusing worker is not asked in a tight loop; it doubles. */
export const REQUEUE_DELAY_MS = 250;

/** Longest delay between two such attempts. */
export const MAX_REQUEUE_DELAY_MS = 4000;

const RUNNING_STATES: ReadonlySet<string> = new Set(['running', 'checkpointing', 'finished']);

function isReplaced(context: CoreContext, {place}: Member): boolean {
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
			context.measure('owner.fence', {count: 1}, {workerId});
			continue;
		}

		// Without a decision nothing was released, so a silent member cannot run and needs no fence.
		const isOutOfReach = worker === undefined || context.workers.isSuspect(worker, nowMs) || isReplaced(context, member);
		const isUnasked = attempt.stopCause !== undefined && member.state === 'unreported';
		if (attempt.decision === 'none' && (isOutOfReach || isUnasked)) {
			member.end = 'never_released';
		}
	}
}

function isCheckpointed(attempt: Attempt): boolean {
	return attempt.members.every((member, index) => member.end !== undefined || (member.hasCheckpoint && !attempt.preempt!.hadCheckpoint[index]));
}

function preemptionCause(job: JobRecord, attempt: Attempt, nowMs: number): StopCause | undefined {
	const {preempt} = attempt;
	if (preempt === undefined) {
		return undefined;
	}

	const isGraceOver = nowMs >= preempt.untilMs || attempt.decision === 'none' || !job.row.spec.checkpointable;
	return isGraceOver || isCheckpointed(attempt)
		? {kind: 'preempted', message: 'The job gave its place to another one.'}
		: undefined;
}

/** Finds a repeatable attempt of which a member does not start. A non-repeatable job waits instead: a stop would end it as unknown. */
function startCause(job: JobRecord, attempt: Attempt, nowMs: number): StopCause | undefined {
	const isOverdue = attempt.decision === 'durable' && attempt.startedAtMs === undefined && nowMs - attempt.decidedAtMs >= START_TIMEOUT_MS;
	const isStuck = isOverdue && attempt.members.every(({state}) => state !== 'unreported') && attempt.members.some(({state}) => state === 'prepared');
	return isStuck && job.row.spec.repeatable
		? {kind: 'member_failed', message: 'A member did not start in time.'}
		: undefined;
}

function timeoutCause(context: CoreContext, {row}: JobRecord, attempt: Attempt, nowMs: number): StopCause | undefined {
	const {maxRunMs} = row.spec;
	// After a takeover the row knows the start; the attempt was first seen running only now.
	const startedAtMs = row.state === 'running' && row.startedAtMs !== undefined ? row.startedAtMs - context.options.wallOffsetMs : attempt.startedAtMs;
	return maxRunMs === undefined || startedAtMs === undefined || nowMs - startedAtMs < maxRunMs
		? undefined
		: {kind: 'timed_out', message: `The job ran longer than the ${maxRunMs} ms that its operation allows.`};
}

function chosenCause(context: CoreContext, job: JobRecord, attempt: Attempt, nowMs: number): StopCause | undefined {
	return job.cancelRequested
		? {kind: 'cancelled', message: 'The job was cancelled.'}
		: timeoutCause(context, job, attempt, nowMs) ?? preemptionCause(job, attempt, nowMs) ?? startCause(job, attempt, nowMs);
}

function findStopCause(context: CoreContext, job: JobRecord, attempt: Attempt, nowMs: number): StopCause | undefined {
	// Nothing is stopped by choice while another process may own the job: it would not know why and start it again.
	const chosen = context.gate.canWrite(nowMs) ? chosenCause(context, job, attempt, nowMs) : undefined;
	if (chosen !== undefined) {
		return chosen;
	}

	const trouble = memberTrouble(attempt);
	// During a reclaim, a task that stops by itself after its checkpoint has done what was asked.
	if (trouble !== undefined && (attempt.preempt === undefined || trouble.kind === 'member_lost')) {
		return trouble;
	}

	const replaced = attempt.members.find(member => member.end === undefined && isReplaced(context, member));
	if (replaced !== undefined) {
		return {kind: 'member_lost', message: `The agent of worker ${replaced.place.workerId} was restarted.`};
	}

	const isLate = attempt.decision === 'none' && nowMs - attempt.placedAtMs >= PREPARE_TIMEOUT_MS;
	return isLate && attempt.members.some(member => member.state === 'unreported')
		? {kind: 'member_lost', message: 'The members did not prepare in time.'}
		: undefined;
}

/**
 * Tells the scheduler how an attempt has ended.
 *
 * @param context - The core's state.
 * @param job - The job; no longer placed afterwards.
 * @param end - How the attempt ended.
 * @param nowMs - Monotonic milliseconds.
 */
export function endPlacement(context: CoreContext, job: JobRecord, end: AttemptEnd, nowMs: number): void {
	if (!job.placed) {
		return;
	}

	const failed = job.attempt === undefined ? [] : failedWorkersOf(job.attempt);
	context.scheduler.ended(job.row.jobId, end, failed, nowMs);
	job.placed = false;
	context.needsDecide = true;
}

/**
 * Names the end of an attempt for the scheduler.
 *
 * @param attempt - A settled attempt that did not complete.
 * @returns How it ended.
 */
export function endKindOf(attempt: Attempt): AttemptEnd {
	if (failedWorkersOf(attempt).length > 0) {
		return 'failed';
	}

	return attempt.stopCause?.kind === 'member_lost' ? 'lost' : 'stopped';
}

function dropUndecided(context: CoreContext, job: JobRecord, attempt: Attempt, nowMs: number): void {
	absorbUndecided(job, attempt);
	endPlacement(context, job, endKindOf(attempt), nowMs);
	context.detach(job);
	context.measure('owner.attempt_given_up', {count: 1}, {cause: attempt.stopCause?.kind ?? 'none'});
	if (!job.cancelRequested && job.refusal === undefined) {
		job.requeueAtMs = nowMs + Math.min(MAX_REQUEUE_DELAY_MS, REQUEUE_DELAY_MS * (2 ** job.undecidedAttempts));
		job.undecidedAttempts += 1;
	}
}

function advance(context: CoreContext, job: JobRecord, nowMs: number): void {
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
			attempt.stopSinceMs = nowMs;
			updateMemberEnds(context, attempt, nowMs);
		}
	}

	if (attempt.decision === 'durable' && attempt.startedAtMs === undefined && attempt.members.every(({state}) => RUNNING_STATES.has(state))) {
		attempt.startedAtMs = nowMs;
		context.scheduler.started(job.row.jobId, nowMs);
		context.measure('owner.placed_to_running', {valueMs: nowMs - attempt.placedAtMs}, {account: job.row.spec.account, workClass: job.row.spec.workClass});
	}

	const isUnwritten = job.write?.writeId === undefined && job.readingSinceMs === undefined;
	if (attempt.decision === 'none' && isUnwritten && attempt.stopCause !== undefined && isSettled(attempt)) {
		dropUndecided(context, job, attempt, nowMs);
	}
}

function decisionWrite(context: CoreContext, job: JobRecord, attempt: Attempt, nowMs: number): JobWrite | undefined {
	const isReady = attempt.stopCause === undefined && attempt.preempt === undefined && attempt.members.every(({state}) => state === 'prepared');
	if (!isReady || !context.gate.canDecide(nowMs)) {
		return undefined;
	}

	return {
		kind: 'decision', writeId: undefined, next: nextRow(job, {
			state: 'decided',
			attempt: attempt.number,
			members: attempt.members.map(({place}) => place),
			startConsumed: !job.row.spec.repeatable,
		}),
	};
}

function movingWrite(job: JobRecord): JobWrite | undefined {
	return job.moveTo === undefined
		? undefined
		: {kind: 'moved', writeId: undefined, next: nextRow(job, {failureDomain: job.moveTo})};
}

function wantedWrite(context: CoreContext, job: JobRecord, nowMs: number): JobWrite | undefined {
	const {attempt} = job;
	if (attempt === undefined) {
		return concludeWaiting(job, context.wallMs(nowMs)) ?? movingWrite(job);
	}

	if (attempt.decision === 'none') {
		return decisionWrite(context, job, attempt, nowMs);
	}

	if (attempt.members.every(({state}) => state === 'finished')) {
		return concludeCompleted(job, attempt, context.wallMs(nowMs));
	}

	if (attempt.stopCause !== undefined && isSettled(attempt)) {
		return concludeStopped(job, attempt, context.wallMs(nowMs));
	}

	if (job.cancelRequested && !job.row.cancelRequested) {
		return {kind: 'cancel_mark', next: nextRow(job, {}), writeId: undefined};
	}

	if (attempt.startedAtMs !== undefined && attempt.stopCause === undefined && job.row.state === 'decided') {
		return {kind: 'running', writeId: undefined, next: nextRow(job, {state: 'running', startedAtMs: context.wallMs(attempt.startedAtMs)})};
	}

	return undefined;
}

/**
 * Carries a job as far as what is known allows: notes ended members, finds a reason to stop, queues the next durable
 * write and sends the commands that are due. Safe to call at any time and any number of times.
 *
 * @param context - The core's state.
 * @param job - The job.
 * @param nowMs - Monotonic milliseconds.
 */
export function driveJob(context: CoreContext, job: JobRecord, nowMs: number): void {
	if (context.gate.isLost) {
		return;
	}

	advance(context, job, nowMs);
	if (job.requeueAtMs !== undefined && nowMs >= job.requeueAtMs) {
		job.requeueAtMs = undefined;
		job.queued = true;
		context.scheduler.requeue(job.row.jobId, nowMs);
		context.needsDecide = true;
	}

	// A write that was sent is followed to its result; one that is only queued is made anew from what is known now.
	if (job.write?.writeId === undefined && job.readingSinceMs === undefined) {
		job.write = nowMs >= job.retryAtMs ? wantedWrite(context, job, nowMs) : undefined;
		context.writes.update(job, nowMs);
	}

	sendMemberCommands(context, job, nowMs);
}
