import type {Clock} from '@amaranthsail/core';
import type {Commit} from './commit-queue.js';
import {JobLifecycle} from './job-lifecycle.js';
import {FINAL_STATES, type Job} from './job-model.js';
import {
	JOB_STATES, type JobState, type OrderOutcome, type PoolConfig, type WorkerOrder,
} from './model.js';
import {type DecisionLog, type OrderEffect, PoolContext} from './pool-context.js';
import type {PoolLimits} from './pool-limits.js';
import {recover, type StoredState} from './state-recovery.js';
import type {JobRow} from './rows.js';
import {RunLifecycle} from './run-lifecycle.js';
import {SchedulingRound} from './scheduling-round.js';
import {type AgentReport, WorkerRegistry} from './worker-registry.js';

/** Checkpoints come every 1 to 2 s; one transaction a second stores those of all runs. */
const CHECKPOINT_STORE_INTERVAL_MS = 1000;

/** At 90 jobs each time this removes 32,400 an hour, far more than the 990 that come in a day of the two-year plan. */
const PRUNE_INTERVAL_MS = 10_000;

/**
 * The decisions of a pool's leader, without any I/O.
 *
 * The caller feeds in what it learns, stores the commits in order, sends the orders, and calls
 * {@link PoolCore.tick} at least every 100 ms.
 */
export class PoolCore {
	readonly #context: PoolContext;
	readonly #runs: RunLifecycle;
	readonly #jobs: JobLifecycle;
	readonly #workers: WorkerRegistry;
	readonly #round: SchedulingRound;
	#isRecovered = false;
	#checkpointsDueMs = 0;
	#pruneDueMs = 0;

	/**
	 * @param clock - Source of time.
	 * @param limits - Times and limits.
	 * @param log - Takes decisions.
	 */
	constructor(clock: Clock, limits: PoolLimits, log: DecisionLog) {
		this.#context = new PoolContext(clock, limits, log);
		this.#runs = new RunLifecycle(this.#context, job => {
			this.#jobs.settle(job);
		});
		this.#jobs = new JobLifecycle(this.#context, this.#runs);
		this.#workers = new WorkerRegistry(this.#context, this.#runs);
		this.#round = new SchedulingRound(this.#context, this.#runs);
	}

	/** Whether a worker has refused this leader's epoch. */
	get isFenced(): boolean {
		return this.#context.isFenced;
	}

	/** @param state - Rows as read after the takeover. */
	recover(state: StoredState): void {
		this.#isRecovered = true;
		recover(state, {context: this.#context, jobs: this.#jobs, workers: this.#workers});
	}

	/** @param config - The newest configuration. */
	setConfig(config: PoolConfig): void {
		this.#context.setConfig(config);
	}

	/**
	 * Takes a job row that is stored.
	 *
	 * @param id - The job.
	 * @param row - Its row.
	 */
	onJobStored(id: string, row: JobRow): void {
		this.#jobs.learn(id, row);
	}

	/** @param id - A job whose cancellation is stored. */
	onCancelStored(id: string): void {
		this.#jobs.cancel(id);
	}

	/**
	 * Takes a report from an agent. Before the stored state is read, every run in it would look unknown.
	 *
	 * @param agent - Name of the agent.
	 * @param report - What it says of its worker.
	 */
	onReport(agent: string, report: AgentReport): void {
		if (this.#isRecovered) {
			this.#workers.onReport(agent, report);
		}
	}

	/** @param life - A worker's life that has ended in an orderly way. */
	onWorkerLeft(life: string): void {
		this.#workers.onLeft(life);
	}

	/** Takes the outcome of an order; see {@link RunLifecycle.onOrderOutcome}. */
	onOrderOutcome(life: string, order: WorkerOrder, outcome: OrderOutcome, orderCount: number): void {
		this.#runs.onOrderOutcome(life, order, outcome, orderCount);
	}

	/** Lets time pass: watches workers, sends orders again, and places what waits. */
	tick(): void {
		this.#workers.tick();
		this.#jobs.openDueOccurrences();
		if (this.#context.nowMs() >= this.#checkpointsDueMs) {
			this.#checkpointsDueMs = this.#context.nowMs() + CHECKPOINT_STORE_INTERVAL_MS;
			this.#runs.storeCheckpoints();
		}

		if (this.#context.nowMs() >= this.#pruneDueMs) {
			this.#pruneDueMs = this.#context.nowMs() + PRUNE_INTERVAL_MS;
			this.#jobs.pruneEnded();
		}

		for (const worker of this.#context.workers.values()) {
			for (const run of worker.runs.values()) {
				this.#runs.sendDueOrder(run);
			}
		}

		if (this.#context.config) {
			this.#context.needsRound = false;
			this.#round.run();
		}
	}

	/** Whether something happened since the last tick that may allow a placement. */
	get needsTick(): boolean {
		return this.#context.needsRound;
	}

	/** @returns The next transaction, or undefined. */
	nextCommit(): Commit | undefined {
		return this.#context.commits.next();
	}

	/** @returns The orders to send. */
	takeOrders(): readonly OrderEffect[] {
		return this.#context.takeOrders();
	}

	/**
	 * What a leader asks of an agent's worker.
	 *
	 * @param life - The worker's life.
	 * @returns The lease on the worker's clock, and the highest end that is stored; undefined for a life that is not known.
	 */
	leaseFor(life: string): {readonly leaseUntilMs: number; readonly ackSequence: number} | undefined {
		const worker = this.#context.workers.get(life);
		const mayHold = worker?.isKnown && !worker.suspicion && !worker.isLost;
		return mayHold ? {leaseUntilMs: Math.floor(worker.clockMs + this.#context.limits.leaseMs), ackSequence: worker.ackSequence} : undefined;
	}

	/**
	 * State of a job as callers see it.
	 *
	 * @param id - The job.
	 * @returns The state and the account, or undefined for a job that is not known.
	 */
	jobView(id: string): {readonly state: JobState; readonly account: string} | undefined {
		const job = this.#context.jobs.get(id);
		return job && {state: shownState(job), account: job.account};
	}

	/** @returns The number of jobs for which no task has started, by queue. */
	pendingCounts(): ReadonlyMap<string, number> {
		const counts = new Map<string, number>();
		for (const job of this.#context.jobs.values()) {
			if (shownState(job) === JOB_STATES.queued) {
				counts.set(job.queueName, (counts.get(job.queueName) ?? 0) + 1);
			}
		}

		return counts;
	}

	/** @returns Figures for the metrics. */
	gauges(): Readonly<Record<string, number>> {
		let open = 0;
		for (const job of this.#context.jobs.values()) {
			open += FINAL_STATES.has(job.state) ? 0 : 1;
		}

		let runs = 0;
		for (const worker of this.#context.workers.values()) {
			runs += worker.runs.size;
		}

		return {jobs: open, runs, workers: this.#context.workers.size};
	}
}

function shownState(job: Job): JobState {
	if (FINAL_STATES.has(job.state)) {
		return job.state;
	}

	const hasStarted = job.occurrences.some(occurrence => occurrence.steps.some(step => step.tasks.some(task => task.lastRun > 0)));
	return hasStarted ? JOB_STATES.running : JOB_STATES.queued;
}
