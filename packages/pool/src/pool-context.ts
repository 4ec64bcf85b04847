import type {Clock, LogFields} from '@amaranthsail/core';
import {CommitLog} from './commit-queue.js';
import type {Job, Task} from './job-model.js';
import type {PoolConfig, Queue, WorkerOrder} from './model.js';
import type {PoolLimits} from './pool-limits.js';
import {parseTaskName} from './task-name.js';
import {UrgentHeadroom} from './urgent-headroom.js';
import type {WorkerEntry} from './tracked-worker.js';

/** An order that is to be sent to a worker. */
export type OrderEffect = {readonly agent: string; readonly life: string; readonly order: WorkerOrder};

/** Takes the decisions of the pool for the log. */
export type DecisionLog = (event: string, fields: LogFields) => void;

/** State that the parts of a pool's leader share. */
export class PoolContext {
	readonly jobs = new Map<string, Job>();
	readonly workers = new Map<string, WorkerEntry>();
	readonly commits = new CommitLog();
	readonly headroom = new UrgentHeadroom();
	/** Leader's clock when it took over. */
	readonly sinceMs: number;
	config: PoolConfig | undefined;
	/** Something changed that may allow a placement. */
	needsRound = true;
	/** A worker has seen a higher epoch. */
	isFenced = false;
	#orders: OrderEffect[] = [];
	readonly #queues = new Map<string, Queue>();

	/**
	 * @param clock - Source of time.
	 * @param limits - Times and limits.
	 * @param log - Takes decisions.
	 */
	constructor(readonly clock: Clock, readonly limits: PoolLimits, readonly log: DecisionLog) {
		this.sinceMs = clock.monotonicMs();
	}

	/** @returns The leader's clock in milliseconds. */
	nowMs(): number {
		return this.clock.monotonicMs();
	}

	/** @param config - The newest configuration. */
	setConfig(config: PoolConfig): void {
		this.config = config;
		this.needsRound = true;
		for (const queue of config.queues) {
			// Queues that are gone from the configuration stay known for the jobs that they have accepted.
			this.#queues.set(queue.name, queue);
		}
	}

	/** @returns The queue of a job, also when the newest configuration no longer names it. */
	queueOf(job: Job): Queue | undefined {
		return this.#queues.get(job.queueName);
	}

	/** @returns The task with this name, if its job is known. */
	findTask(name: string): Task | undefined {
		const parsed = parseTaskName(name);
		return parsed && this.jobs.get(parsed.jobId)?.occurrences.find(occurrence => occurrence.number === parsed.occurrence)
			?.steps[parsed.step]?.tasks[parsed.index];
	}

	/** @param effect - An order to send. */
	send(effect: OrderEffect): void {
		this.#orders.push(effect);
	}

	/** @returns The orders that have not been taken yet. */
	takeOrders(): readonly OrderEffect[] {
		const orders = this.#orders;
		this.#orders = [];
		return orders;
	}
}
