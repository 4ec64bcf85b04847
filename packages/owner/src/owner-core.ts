import type {JobRow} from '@amaranthsail/core';
import type {Explanation, SchedulerConfig} from '@amaranthsail/scheduler';
import {CoreContext, type OwnerCoreOptions} from './core-context.js';
import {decide} from './decisions.js';
import {handleHeartbeat} from './heartbeats.js';
import {driveJob} from './job-driver.js';
import {cancelJobs, moveJobs, resubmitDue, takeJobRow} from './job-intake.js';
import {JobResults} from './job-results.js';
import type {OwnerEffect, OwnerEvent} from './owner-events.js';

/** Longest time between two sweeps over all jobs and workers; fences and repeated commands are found by a sweep. */
export const SWEEP_INTERVAL_MS = 200;

/** Delay before a read whose result has not come is asked for again. */
export const READ_RETRY_MS = 1000;

/** What an owner core holds, for status pages. */
export type OwnerCoreStatus = {
	readonly epoch: number;
	readonly recovered: boolean;
	readonly valid: boolean;
	readonly lost: boolean;
	readonly jobs: number;
	readonly attempts: number;
	readonly workers: number;
	readonly pendingWrites: number;
	readonly revision: number;
	/** Revision that each agent has last reported as in force. */
	readonly workerRevisions: ReadonlyArray<{readonly workerId: string; readonly revisionInForce: number}>;
};

/**
 * Gives the configuration that the scheduler gets: second attempts for stragglers are not carried out yet,
 * so the scheduler must not set resources aside for them.
 *
 * @param config - The configuration in force.
 * @returns The same without second attempts.
 */
export function withoutDuplicates(config: SchedulerConfig): SchedulerConfig {
	return {...config, policy: {...config.policy, stragglerFactor: 0}};
}

/**
 * State machine of the owner of one failure domain under one epoch. It does no I/O: each event gives the effects to
 * carry out. All times are milliseconds of one monotonic clock, and must not decrease between calls.
 */
export class OwnerCore {
	readonly #context: CoreContext;
	readonly #results: JobResults;
	#sweptAtMs: number;

	/**
	 * @param options - Identity, collaborators and the time of the claim.
	 */
	constructor(options: OwnerCoreOptions) {
		this.#context = new CoreContext(options);
		this.#results = new JobResults(this.#context);
		this.#sweptAtMs = options.claimedAtMs;
	}

	/**
	 * Takes an event.
	 *
	 * @param event - The event.
	 * @param nowMs - Monotonic milliseconds at which it is handled.
	 * @returns The effects to carry out, in order.
	 */
	handle(event: OwnerEvent, nowMs: number): readonly OwnerEffect[] {
		this.#apply(event, nowMs);
		return this.#finish(nowMs);
	}

	/**
	 * Does what is due at a time.
	 *
	 * @param nowMs - Monotonic milliseconds.
	 * @returns The effects to carry out, in order.
	 */
	tick(nowMs: number): readonly OwnerEffect[] {
		if (nowMs - this.#sweptAtMs >= SWEEP_INTERVAL_MS) {
			this.#sweptAtMs = nowMs;
			this.#sweep(nowMs);
		}

		return this.#finish(nowMs);
	}

	/**
	 * Tells when {@link tick} is due.
	 *
	 * @param nowMs - Monotonic milliseconds.
	 * @returns Monotonic milliseconds.
	 */
	wakeAtMs(nowMs: number): number {
		const sweepAtMs = this.#sweptAtMs + SWEEP_INTERVAL_MS;
		// Writes that are due while the ownership is not valid stay queued.
		return this.#context.gate.canWrite(nowMs) ? Math.min(sweepAtMs, this.#context.writes.wakeAtMs() ?? sweepAtMs) : sweepAtMs;
	}

	/**
	 * Explains why a job waits.
	 *
	 * @param jobId - The job.
	 * @param nowMs - Monotonic milliseconds.
	 * @returns The scheduler's explanation, or the state of the job's attempt.
	 */
	explain(jobId: string, nowMs: number): Explanation {
		const job = this.#context.jobs.get(jobId);
		if (job?.attempt === undefined) {
			return this.#context.scheduler.explain(jobId, nowMs);
		}

		const {number, members, stopCause} = job.attempt;
		const states = members.map(({place, state}) => `${place.taskIndex} on ${place.workerId}: ${state}`).join(', ');
		return {
			jobId, state: 'placed', refusals: [], summary: `Attempt ${number}; ${states}.${stopCause === undefined ? '' : ` Stopping: ${stopCause.message}`}`,
		};
	}

	/**
	 * Finds the last confirmed row of an open job.
	 *
	 * @param jobId - The job.
	 * @returns The row, or undefined when the job is not held.
	 */
	rowOf(jobId: string): JobRow | undefined {
		return this.#context.jobs.get(jobId)?.row;
	}

	/**
	 * Lists the jobs that have waited here for long without an attempt.
	 *
	 * @param acceptedBeforeMs - Wall-clock time; only jobs accepted before it.
	 * @returns Their rows.
	 */
	waitingSince(acceptedBeforeMs: number): readonly JobRow[] {
		return [...this.#context.jobs.values()]
			.filter(({attempt, row, moveTo}) => attempt === undefined && moveTo === undefined && row.state === 'waiting' && row.acceptedAtMs < acceptedBeforeMs)
			.map(({row}) => row);
	}

	/**
	 * Counts what the core holds.
	 *
	 * @param nowMs - Monotonic milliseconds.
	 * @returns The counts and the state of the ownership.
	 */
	status(nowMs: number): OwnerCoreStatus {
		const {gate, jobs, workers, writes, options, revision} = this.#context;
		return {
			epoch: options.epoch,
			recovered: gate.isRecovered,
			valid: gate.canWrite(nowMs),
			lost: gate.isLost,
			jobs: jobs.size,
			attempts: [...jobs.values()].filter(({attempt}) => attempt !== undefined).length,
			workers: [...workers.all()].length,
			pendingWrites: writes.sentCount,
			revision,
			workerRevisions: [...workers.all()].map(({workerId, revisionInForce}) => ({workerId, revisionInForce})),
		};
	}

	#apply(event: OwnerEvent, nowMs: number): void {
		switch (event.kind) {
			case 'heartbeat': {
				handleHeartbeat(this.#context, this.#results, event, nowMs);
				return;
			}

			case 'jobRow': {
				takeJobRow(this.#context, this.#results, event, nowMs);
				return;
			}

			case 'jobAbsent': {
				this.#jobAbsent(event.jobId, nowMs);
				return;
			}

			case 'move': {
				moveJobs(this.#context, event.jobIds, event.failureDomain, nowMs);
				return;
			}

			case 'cancel': {
				cancelJobs(this.#context, event.jobIds, nowMs);
				return;
			}

			case 'wait': {
				this.#wait(event);
				return;
			}

			case 'configure': {
				this.#context.revision = Math.max(this.#context.revision, event.revision);
				this.#context.scheduler.configure(withoutDuplicates(event.config), nowMs);
				this.#context.needsDecide = true;
				return;
			}

			case 'writeResult': {
				this.#results.writeResult(event.writeId, event.result, nowMs);
				return;
			}

			case 'recoveryComplete': {
				this.#context.gate.recovered();
				this.#context.needsDecide = true;
				return;
			}

			case 'previousOwnerGone': {
				this.#context.workers.previousOwnerGone(nowMs);
				return;
			}

			case 'ownership': {
				this.#context.gate.update(event.validity, nowMs);
				this.#context.needsDecide = true;
				return;
			}

			case 'drain': {
				this.#context.gate.drain();
			}
		}
	}

	#jobAbsent(jobId: string, nowMs: number): void {
		const job = this.#context.jobs.get(jobId);
		if (job?.readingSinceMs !== undefined) {
			this.#results.vanished(job, nowMs);
			return;
		}

		if (job === undefined) {
			this.#results.noteEnded(jobId, 0);
			this.#context.answer(this.#context.waiters.answer(jobId, undefined));
		}
	}

	#wait(event: Extract<OwnerEvent, {readonly kind: 'wait'}>): void {
		const {jobId, waiterId, untilMs, forCancel} = event;
		this.#context.waiters.add(jobId, {waiterId, untilMs, forCancel});
		const job = this.#context.jobs.get(jobId);
		if (job === undefined) {
			this.#context.emit({kind: 'read', jobIds: [jobId]});
			return;
		}

		if (job.row.cancelRequested) {
			this.#context.answer(this.#context.waiters.answer(jobId, job.row, true));
		}
	}

	#sweep(nowMs: number): void {
		const {workers, scheduler, jobs} = this.#context;
		for (const worker of workers.all()) {
			if (worker.usable && workers.isSuspect(worker, nowMs)) {
				worker.usable = false;
				scheduler.setWorkerUsable(worker.workerId, false, nowMs);
			}

			const isFenced = nowMs >= Math.max(workers.fenceAtMs(worker.workerId, worker.incarnation), worker.heardAtMs + READ_RETRY_MS);
			if (isFenced && workers.isSuspect(worker, nowMs) && this.#context.jobsOn(worker.workerId).length === 0) {
				workers.delete(worker.workerId);
				scheduler.removeWorker(worker.workerId, nowMs);
			}
		}

		const overdue: string[] = [];
		for (const job of jobs.values()) {
			resubmitDue(this.#context, job, nowMs);
			driveJob(this.#context, job, nowMs);
			if (job.readingSinceMs !== undefined && nowMs - job.readingSinceMs >= READ_RETRY_MS) {
				job.readingSinceMs = nowMs;
				overdue.push(job.row.jobId);
			}
		}

		if (overdue.length > 0) {
			this.#context.emit({kind: 'read', jobIds: overdue});
		}

		this.#context.needsDecide = true;
	}

	/** Does what may follow any event: decisions, due writes, waiters whose time is over. */
	#finish(nowMs: number): readonly OwnerEffect[] {
		if (this.#context.gate.isLost) {
			this.#context.answer(this.#context.waiters.expire(Number.POSITIVE_INFINITY));
			return this.#context.takeEffects();
		}

		if (this.#context.needsDecide) {
			decide(this.#context, nowMs);
		}

		if (this.#context.gate.canWrite(nowMs)) {
			this.#flush(nowMs);
		}

		this.#context.answer(this.#context.waiters.expire(nowMs));
		return this.#context.takeEffects();
	}

	#flush(nowMs: number): void {
		const transactions = this.#context.writes.flush(nowMs);
		for (const transaction of transactions) {
			this.#context.emit({kind: 'write', transaction});
		}

		if (transactions.length === 0) {
			return;
		}

		for (const {attempt, write} of this.#context.jobs.values()) {
			if (attempt?.decision === 'none' && write?.kind === 'decision' && write.writeId !== undefined) {
				attempt.decision = 'sent';
			}
		}
	}
}
