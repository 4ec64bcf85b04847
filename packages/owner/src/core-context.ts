import type {Command, CommandKind, TaskKey} from '@amaranthsail/core';
import type {Scheduler} from '@amaranthsail/scheduler';
import type {Attempt} from './attempt.js';
import type {JobRecord} from './job-record.js';
import type {OwnerEffect, OwnerMetric} from './owner-events.js';
import {OwnershipGate} from './ownership-gate.js';
import {Waiters, type WaiterAnswer} from './waiters.js';
import {WorkerTable, type WorkerRecord} from './worker-table.js';
import {WriteQueue} from './write-queue.js';

/** Options of an owner core. Times are monotonic milliseconds. */
export type OwnerCoreOptions = {
	readonly failureDomain: string;
	/** Process id of the owner. */
	readonly ownerId: string;
	readonly epoch: number;
	/** Version of the ownership row after the claim. */
	readonly ownershipVersion: number;
	/** When the claim was sent. */
	readonly claimedAtMs: number;
	/** Wall-clock time minus monotonic time. */
	readonly wallOffsetMs: number;
	readonly scheduler: Scheduler;
	/** Configuration revision in force. */
	readonly revision: number;
	/** Generates write ids. */
	readonly newId: () => string;
};

/** State shared by the modules of an owner core, and the effects of the current step. */
export class CoreContext {
	readonly options: OwnerCoreOptions;
	readonly jobs = new Map<string, JobRecord>();
	readonly workers: WorkerTable;
	readonly writes: WriteQueue;
	readonly waiters = new Waiters();
	readonly gate: OwnershipGate;
	revision: number;
	/** Whether a change since the last decision round may allow new decisions. */
	needsDecision = false;
	#effects: OwnerEffect[] = [];
	readonly #jobsByWorker = new Map<string, Set<JobRecord>>();

	/**
	 * @param options - Identity, collaborators and the time of the claim.
	 */
	constructor(options: OwnerCoreOptions) {
		this.options = options;
		this.revision = options.revision;
		this.workers = new WorkerTable(options.epoch, options.claimedAtMs);
		this.writes = new WriteQueue(options.failureDomain, options.ownershipVersion, options.newId);
		this.gate = new OwnershipGate(options.claimedAtMs);
	}

	/** The scheduler of the failure domain. */
	get scheduler(): Scheduler {
		return this.options.scheduler;
	}

	/**
	 * Adds an effect. After the ownership is lost, messages and writes are discarded.
	 *
	 * @param effect - The effect.
	 */
	emit(effect: OwnerEffect): void {
		if (this.gate.isLost && (effect.kind === 'send' || effect.kind === 'write')) {
			return;
		}

		this.#effects.push(effect);
	}

	/**
	 * Records a measurement.
	 *
	 * @param name - Name of the metric.
	 * @param value - A duration or a count.
	 * @param tags - Further tags; the failure domain is added.
	 */
	recordMetric(name: string, value: Pick<OwnerMetric, 'valueMs' | 'count'>, tags: Readonly<Record<string, string>> = {}): void {
		this.emit({kind: 'metric', metric: {name, ...value, tags: {failureDomain: this.options.failureDomain, ...tags}}});
	}

	/**
	 * Answers waiters.
	 *
	 * @param answers - The answers to send.
	 */
	answerWaiters(answers: readonly WaiterAnswer[]): void {
		for (const answer of answers) {
			this.emit({kind: 'answer', ...answer});
		}
	}

	/**
	 * Returns the effects collected so far and clears them.
	 *
	 * @returns The effects in order.
	 */
	takeEffects(): readonly OwnerEffect[] {
		const effects = this.#effects;
		this.#effects = [];
		return effects;
	}

	/**
	 * Converts a monotonic time to the wall-clock time used in rows.
	 *
	 * @param nowMs - Monotonic milliseconds.
	 * @returns Wall-clock milliseconds.
	 */
	wallMs(nowMs: number): number {
		return Math.round(nowMs + this.options.wallOffsetMs);
	}

	/**
	 * Sends a command to the agent of a worker.
	 *
	 * @param worker - The worker.
	 * @param command - Kind, task and parameters.
	 * @param nowMs - Monotonic milliseconds.
	 * @returns False when the ownership state does not allow the command.
	 */
	sendCommand(worker: WorkerRecord, command: Pick<Command, 'incarnation' | 'task' | 'assignment' | 'holdMs' | 'graceMs'> & {readonly kind: CommandKind}, nowMs: number): boolean {
		if (!this.gate.canSendCommand(command.kind, nowMs)) {
			return false;
		}

		const {ownerId, epoch} = this.options;
		this.emit({
			kind: 'send', host: worker.host, port: worker.port, message: {
				type: 'command', ownerId, epoch, workerId: worker.workerId, ...command,
			},
		});
		return true;
	}

	/**
	 * Attaches an attempt to a job.
	 *
	 * @param job - The job; its previous attempt must be detached.
	 * @param attempt - The attempt.
	 */
	attachAttempt(job: JobRecord, attempt: Attempt): void {
		job.attempt = attempt;
		for (const {place: {workerId}} of attempt.members) {
			const jobs = this.#jobsByWorker.get(workerId) ?? new Set();
			this.#jobsByWorker.set(workerId, jobs.add(job));
		}
	}

	/**
	 * Detaches the attempt of a job.
	 *
	 * @param job - The job.
	 */
	detachAttempt(job: JobRecord): void {
		for (const {place: {workerId}} of job.attempt?.members ?? []) {
			const jobs = this.#jobsByWorker.get(workerId);
			jobs?.delete(job);
			if (jobs?.size === 0) {
				this.#jobsByWorker.delete(workerId);
			}
		}

		job.attempt = undefined;
	}

	/**
	 * Lists the jobs with a task of their current attempt on a worker.
	 *
	 * @param workerId - The worker.
	 * @returns The jobs.
	 */
	jobsOnWorker(workerId: string): readonly JobRecord[] {
		return [...this.#jobsByWorker.get(workerId) ?? []];
	}
}

/**
 * Returns the key of a task of an attempt.
 *
 * @param job - The job.
 * @param attempt - The attempt.
 * @param taskIndex - The task.
 * @returns Its key.
 */
export function taskKeyOf(job: JobRecord, attempt: Attempt, taskIndex: number): TaskKey {
	return {jobId: job.row.jobId, attempt: attempt.number, taskIndex};
}
