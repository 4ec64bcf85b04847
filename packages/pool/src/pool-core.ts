import type {Clock} from '@amaranthsail/core';
import type {Commit} from './commit-queue.js';
import {CrashLedger} from './crash-ledger.js';
import {isStillDue} from './due-order.js';
import {orderDueRuns} from './due-runs.js';
import {EvacuationLog} from './evacuation-log.js';
import {JobLifecycle} from './job-lifecycle.js';
import {FINAL_STATES, type Job} from './job-model.js';
import {
	JOB_STATES, type JobState, type OrderOutcome, type PoolConfig, type WorkerOrder,
} from './model.js';
import {
	type DecisionLogger, type OutgoingOrder, POOL_EVENTS, PoolContext,
} from './pool-context.js';
import type {PoolLimits} from './pool-limits.js';
import {recover, type StoredState} from './state-recovery.js';
import {type JobRow, type MemberRow, TABLES} from './rows.js';
import type {StoredRow} from './ports.js';
import {RoundPacer} from './round-pacer.js';
import {RunLifecycle} from './run-lifecycle.js';
import {SchedulingRound} from './scheduling-round.js';
import {decodeSpeedsRow, SpeedsRowWriter} from './speeds-row.js';
import {type AgentReport, WorkerRegistry} from './worker-registry.js';

/** Runs write a checkpoint every 1 to 2 s; one transaction a second stores those of all runs. */
const CHECKPOINT_STORE_INTERVAL_MS = 1000;

/** At 90 jobs each time, this removes 32,400 jobs an hour, far more than the 990 a day of the two-year plan. */
const PRUNE_INTERVAL_MS = 10_000;

/** What is stored of a job. */
export type StoredJob = {readonly account: string; readonly isCancelled: boolean; readonly hasEnded: boolean};

/**
 * Decides for a pool's leader, without any I/O.
 *
 * The caller passes in events, stores the commits in order, sends the orders, and calls {@link PoolCore.tick} at least
 * every 100 ms.
 */
export class PoolCore {
	readonly #context: PoolContext;
	readonly #runs: RunLifecycle;
	readonly #jobs: JobLifecycle;
	readonly #crashes: CrashLedger;
	readonly #workers: WorkerRegistry;
	readonly #schedulingRound: SchedulingRound;
	readonly #evacuationLog: EvacuationLog;
	readonly #speedsRow: SpeedsRowWriter;
	readonly #roundPacer = new RoundPacer();
	readonly #onRound: (durationMs: number) => void;
	#isRecovered = false;
	#checkpointsDueMs = 0;
	#pruneDueMs = 0;

	/**
	 * @param clock - Source of time.
	 * @param limits - Times and limits.
	 * @param log - Logs decisions.
	 * @param onRound - Called with the duration of each scheduling round in milliseconds.
	 */
	constructor(clock: Clock, limits: PoolLimits, log: DecisionLogger, onRound: (durationMs: number) => void = () => undefined) {
		this.#context = new PoolContext(clock, limits, log);
		this.#onRound = onRound;
		this.#runs = new RunLifecycle(this.#context, job => {
			this.#jobs.endIfFinished(job);
		});
		this.#jobs = new JobLifecycle(this.#context, this.#runs);
		this.#crashes = new CrashLedger(this.#context, this.#runs, job => {
			this.#jobs.endIfFinished(job);
		});
		this.#workers = new WorkerRegistry(this.#context, this.#runs, this.#crashes);
		this.#evacuationLog = new EvacuationLog(this.#context);
		this.#schedulingRound = new SchedulingRound(this.#context, this.#runs, this.#evacuationLog);
		this.#speedsRow = new SpeedsRowWriter(this.#context);
	}

	/** Whether a worker has refused this leader's epoch. */
	get isFenced(): boolean {
		return this.#context.isFenced;
	}

	/** @param state - Rows as read after the takeover. */
	recover(state: StoredState): void {
		this.#isRecovered = true;
		recover(state, {
			context: this.#context, jobs: this.#jobs, runs: this.#runs, crashes: this.#crashes, workers: this.#workers,
		});
	}

	/**
	 * Adopts the speeds that an earlier leader knew. Placement does not wait for them; without a readable row, the speeds
	 * are learned again.
	 *
	 * @param rows - Rows of the speeds table.
	 */
	restoreSpeeds(rows: readonly StoredRow[]): void {
		for (const row of rows) {
			const speeds = decodeSpeedsRow(row.value);
			if (speeds) {
				this.#context.speeds.restore(speeds.workers, this.#context.nowMs());
			} else {
				this.#context.log(POOL_EVENTS.rowUnreadable, {table: row.table, key: row.key, rowVersion: row.version});
			}
		}
	}

	/** @param config - The newest configuration. */
	setConfig(config: PoolConfig): void {
		this.#context.setConfig(config);
	}

	/**
	 * Sets which failure domains are evacuated.
	 *
	 * @param failureDomains - All failure domains whose evacuation is requested.
	 * @param confirmedAtMs - Leader's clock when the store was asked for the requests. A deployment with a bound on evacuations
	 * sends starts only while this is recent.
	 */
	setEvacuations(failureDomains: ReadonlySet<string>, confirmedAtMs: number): void {
		const {evacuations, log} = this.#context;
		const previous = evacuations.failureDomains;
		evacuations.set(failureDomains);
		evacuations.confirm(confirmedAtMs);
		if (previous.size !== failureDomains.size || [...previous].some(failureDomain => !failureDomains.has(failureDomain))) {
			this.#context.needsSchedulingRound = true;
			log('evacuations applied', {failureDomains: [...failureDomains], previous: [...previous]});
		}
	}

	/**
	 * Adds a job whose row is stored. One whose row could not be read at the takeover may have runs, which only the next
	 * leader restores.
	 *
	 * @param id - The job.
	 * @param row - Its row.
	 */
	onJobStored(id: string, row: JobRow): void {
		if (this.#context.unreadableJobs.has(id)) {
			this.#context.log('repaired job left to the next leader', {job: id});
		} else {
			this.#jobs.addStored(id, row);
		}
	}

	/** @param id - A job whose cancellation is stored. */
	onCancellationStored(id: string): void {
		this.#jobs.cancel(id);
	}

	/**
	 * Processes a report from an agent. Reports are ignored until the stored state has been restored, as all their runs
	 * would look unknown.
	 *
	 * @param agent - Name of the agent.
	 * @param report - State of its worker.
	 */
	onReport(agent: string, report: AgentReport): void {
		if (this.#isRecovered) {
			this.#workers.onReport(agent, report);
		}
	}

	/** @param incarnation - Incarnation of a worker that has deregistered and does not answer any more; it may still be at work. */
	onWorkerDeparting(incarnation: string): void {
		this.#workers.onWorkerDeparting(incarnation);
	}

	/** Processes the outcome of an order; see {@link RunLifecycle.onOrderOutcome}. */
	onOrderOutcome(incarnation: string, order: WorkerOrder, outcome: OrderOutcome, orderCount: number): void {
		this.#runs.onOrderOutcome(incarnation, order, outcome, orderCount);
	}

	/** Does what has become due: checks the workers, stores checkpoints, sends orders, and places waiting units. */
	tick(): void {
		this.#workers.tick();
		this.#evacuationLog.recordUnknown();
		this.#jobs.createDueOccurrences();
		if (this.#context.nowMs() >= this.#checkpointsDueMs) {
			this.#checkpointsDueMs = this.#context.nowMs() + CHECKPOINT_STORE_INTERVAL_MS;
			this.#runs.storeCheckpoints();
		}

		if (this.#context.nowMs() >= this.#pruneDueMs) {
			this.#pruneDueMs = this.#context.nowMs() + PRUNE_INTERVAL_MS;
			this.#jobs.pruneEnded();
		}

		for (const worker of this.#context.workers.values()) {
			for (const run of orderDueRuns(worker.runs)) {
				this.#runs.sendDueOrder(run);
			}
		}

		this.#context.refreshSpeeds();
		this.#speedsRow.tick();
		this.#runDueRound();
	}

	/** @returns The next transaction, or undefined. */
	nextCommit(): Commit | undefined {
		return this.#context.commits.takeNext();
	}

	/** @returns The orders to send at once. */
	takeOrders(): readonly OutgoingOrder[] {
		return this.#context.takeOrders().filter(outgoing => isStillDue(outgoing, this.#context));
	}

	/**
	 * Computes the lease of a worker, and the ends to acknowledge.
	 *
	 * @param incarnation - The worker's incarnation.
	 * @returns End of the lease on the worker's clock, and the sequence number up to which all ends are stored; undefined
	 * for a worker whose lists have not been read, or that is suspected or lost.
	 */
	leaseFor(incarnation: string): {readonly leaseUntilMs: number; readonly ackSequence: number} | undefined {
		const worker = this.#context.workers.get(incarnation);
		const canRenewLease = worker?.hasReportedLists && !worker.suspicion && !worker.isLost;
		return canRenewLease ? {leaseUntilMs: Math.floor(worker.workerClockMs + this.#context.limits.leaseMs), ackSequence: worker.endAcknowledgements.sequence} : undefined;
	}

	/**
	 * Stores the address of an agent for the next leader.
	 *
	 * @param agent - Name of the agent.
	 * @param address - Its address.
	 */
	storeMember(agent: string, address: string): void {
		const row: MemberRow = {address};
		this.#context.commits.enqueue([{table: TABLES.members, key: agent, value: row}], () => undefined);
	}

	/** @param agent - An agent that has been silent for long; its rows are removed. */
	removeMember(agent: string): void {
		this.#context.commits.enqueueRemovals([{table: TABLES.members, key: agent}, {table: TABLES.lives, key: agent}], () => undefined);
	}

	/**
	 * Looks up a job for its caller.
	 *
	 * @param id - The job.
	 * @returns The state that callers see and the account, or undefined for an unknown job.
	 */
	jobView(id: string): {readonly state: JobState; readonly account: string} | undefined {
		const job = this.#context.jobs.get(id);
		return job && {state: visibleState(job), account: job.account};
	}

	/**
	 * Looks up a job that is stored. What this returns stays true if another process leads by now.
	 *
	 * @param id - The job.
	 * @returns What is stored of it, or undefined for an unknown job.
	 */
	storedJob(id: string): StoredJob | undefined {
		const job = this.#context.jobs.get(id);
		return job && {account: job.account, isCancelled: job.isCancelled, hasEnded: FINAL_STATES.has(job.state)};
	}

	/** @returns The number of jobs of which no worker is known to have begun a task, by queue. */
	pendingCounts(): ReadonlyMap<string, number> {
		const counts = new Map<string, number>();
		for (const job of this.#context.jobs.values()) {
			if (visibleState(job) === JOB_STATES.queued) {
				counts.set(job.queueName, (counts.get(job.queueName) ?? 0) + 1);
			}
		}

		return counts;
	}

	/** @returns Values of the gauges, by name. */
	gauges(): Readonly<Record<string, number>> {
		let openJobs = 0;
		for (const job of this.#context.jobs.values()) {
			openJobs += FINAL_STATES.has(job.state) ? 0 : 1;
		}

		let runs = 0;
		let departingWorkers = 0;
		for (const worker of this.#context.workers.values()) {
			runs += worker.runs.size;
			departingWorkers += worker.isDeparting ? 1 : 0;
		}

		const classes = [...this.#context.speeds.allClasses().values()];
		return {
			jobs: openJobs,
			runs,
			workers: this.#context.workers.size,
			departing_workers: departingWorkers,
			pending_writes: this.#context.commits.length,
			interfering_pairs: this.#context.interference.pairs.foundCount,
			runs_slowed_by_neighbours: this.#context.interference.countSlowedRuns(this.#context.workers.values()),
			workers_with_known_speed: classes.reduce((sum, {knownWorkers}) => sum + knownWorkers, 0),
			fast_workers: classes.reduce((sum, {fast}) => sum + fast.size, 0),
			max_speed_spread: Math.max(1, ...classes.map(({spread}) => spread)),
		};
	}

	#runDueRound(): void {
		const startedAtMs = this.#context.nowMs();
		if (!this.#context.config || !this.#context.evacuations.areKnown || !this.#roundPacer.isDue(startedAtMs, this.#context.needsSchedulingRound)) {
			return;
		}

		this.#context.needsSchedulingRound = false;
		this.#schedulingRound.run();
		const endedAtMs = this.#context.nowMs();
		this.#roundPacer.recordRound(startedAtMs, endedAtMs);
		this.#onRound(endedAtMs - startedAtMs);
	}
}

function visibleState(job: Job): JobState {
	if (FINAL_STATES.has(job.state)) {
		return job.state;
	}

	const isRunning = job.occurrences.some(occurrence => occurrence.steps.some(step => step.tasks.some(task => task.hasBegun)));
	return isRunning ? JOB_STATES.running : JOB_STATES.queued;
}
