import type {Clock, LogFields} from '@amaranthsail/core';
import {CommitQueue} from './commit-queue.js';
import {Evacuations} from './evacuations.js';
import {FINAL_STATES, type Job, type Task} from './job-model.js';
import type {PoolConfig, Queue, WorkerOrder} from './model.js';
import type {PoolLimits} from './pool-limits.js';
import type {QueueTerms} from './queue-terms.js';
import {parseTaskName} from './task-name.js';
import {UnreadableJobs} from './unreadable-jobs.js';
import {UrgentHeadroom} from './urgent-headroom.js';
import type {TrackedWorker} from './tracked-worker.js';
import {WorkerInterference} from './interference/worker-interference.js';
import {WorkerSpeeds} from './worker-speeds.js';

/** An order to send to a worker incarnation through its agent. */
export type OutgoingOrder = {readonly agent: string; readonly incarnation: string; readonly order: WorkerOrder};

/** Decisions that have a metric of their own; they are logged under these names. */
export const POOL_EVENTS = {rowUnreadable: 'row unreadable', startWithdrawn: 'start withdrawn'} as const;

/** Logs the decisions of the pool's leader. */
export type DecisionLogger = (event: string, fields: LogFields) => void;

/** State shared by the parts of a pool's leader. */
export class PoolContext {
	readonly jobs = new Map<string, Job>();
	readonly workers = new Map<string, TrackedWorker>();
	readonly commits = new CommitQueue();
	readonly headroom = new UrgentHeadroom();
	readonly evacuations: Evacuations;
	readonly unreadableJobs = new UnreadableJobs();
	readonly interference: WorkerInterference;
	readonly speeds: WorkerSpeeds;
	/** Open tasks under which a worker has crashed, or may have. */
	readonly crashSuspects = new Set<Task>();
	/** Leader's clock at its takeover. */
	readonly takenOverAtMs: number;
	config: PoolConfig | undefined;
	/** Something has changed that may allow a placement. */
	needsSchedulingRound = true;
	/** A worker has refused an order because it has seen a higher epoch. */
	isFenced = false;
	#orders: OutgoingOrder[] = [];
	readonly #queues = new Map<string, Queue>();

	/**
	 * @param clock - Source of time.
	 * @param limits - Times and limits.
	 * @param log - Logs decisions.
	 */
	constructor(readonly clock: Clock, readonly limits: PoolLimits, readonly log: DecisionLogger) {
		this.evacuations = new Evacuations(limits);
		this.takenOverAtMs = clock.monotonicMs();
		this.interference = new WorkerInterference(log);
		this.speeds = new WorkerSpeeds(limits.minSpeedSpread, (service, {isActive, spread, knownWorkers, fast}) => {
			log('worker speeds', {
				service, isActive, spread: Math.round(spread * 100) / 100, knownWorkers, fastWorkers: fast.size,
			});
			this.needsSchedulingRound = true;
		});
	}

	/** @returns The leader's clock in milliseconds. */
	nowMs(): number {
		return this.clock.monotonicMs();
	}

	/** @param config - The newest configuration. */
	setConfig(config: PoolConfig): void {
		this.config = config;
		this.needsSchedulingRound = true;
		for (const queue of config.queues) {
			// Queues removed from the configuration stay known for the jobs that they have accepted.
			this.#queues.set(queue.name, queue);
		}
	}

	/** @returns Terms of the newest known version of a job's queue, or those at its acceptance. */
	queueOf(job: Job): QueueTerms | undefined {
		return this.#queues.get(job.queueName) ?? job.terms;
	}

	/** @returns The task with this name, if its job is known. */
	findTask(name: string): Task | undefined {
		const parsed = parseTaskName(name);
		return parsed && this.jobs.get(parsed.jobId)?.occurrences.find(occurrence => occurrence.number === parsed.occurrence)
			?.steps[parsed.step]?.tasks[parsed.index];
	}

	/** @returns Whether the job of the task with this name is known, and its end stored. */
	hasJobEnded(name: string): boolean {
		const job = this.jobs.get(parseTaskName(name)?.jobId ?? '');
		return job !== undefined && FINAL_STATES.has(job.state);
	}

	/** Infers the workers' speeds from new evidence, if that is due. */
	refreshSpeeds(): void {
		this.speeds.refresh(this.nowMs(), () => [...this.workers.values()].filter(({hasReportedLists, isLost}) => hasReportedLists && !isLost)
			.map(({agent, facts}) => ({agent, service: facts.service})));
	}

	/** @param order - An order to send. */
	queueOrder(order: OutgoingOrder): void {
		this.#orders.push(order);
	}

	/** @returns The orders queued since the last call. */
	takeOrders(): readonly OutgoingOrder[] {
		const orders = this.#orders;
		this.#orders = [];
		return orders;
	}
}
