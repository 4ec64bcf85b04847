import type {JobSpec} from '@amaranthsail/core';
import {AccountLedger} from './account-ledger.js';
import {BalancedPolicy} from './balanced-policy.js';
import {ClusterState} from './cluster-state.js';
import {EmptyCluster} from './empty-cluster.js';
import {FirstFitPolicy} from './first-fit-policy.js';
import {fitsInsideGuarantee} from './guarantee-claim.js';
import {GuaranteeGuard} from './guarantee-guard.js';
import {totalAccelerators, type JobEntry} from './job-entry.js';
import {JobPlacer} from './job-placer.js';
import {LeastAttainedPolicy} from './least-attained-policy.js';
import {MigrationPlanner} from './migration-planner.js';
import type {OrderingPolicy, OrderingPolicyFactory, QueuedJob} from './ordering-policy.js';
import {ReclaimPlanner} from './reclaim-planner.js';
import {RunTimeEstimates} from './run-time-estimates.js';
import type {Ordering, PlacedTask, SchedulerConfig} from './scheduler.js';
import {WorkerHealth} from './worker-health.js';
import type {WorkerState} from './worker-state.js';

/** Learned run time from which on work counts as long, whatever its declared class. */
const LONG_RUN_MS = 30_000;

const POLICIES: Readonly<Record<Ordering, OrderingPolicyFactory>> = {
	firstFit: () => new FirstFitPolicy(),
	leastAttained: () => new LeastAttainedPolicy(),
	balanced: policy => new BalancedPolicy(policy),
};

/** Everything that the scheduler knows, and the questions that several of its parts ask. */
export class SchedulerState {
	readonly cluster = new ClusterState();
	readonly guard = new GuaranteeGuard(this.cluster);
	readonly placer = new JobPlacer(this.cluster, this.guard);
	readonly planner = new ReclaimPlanner(this.cluster, this.guard, this.placer);
	readonly migrations = new MigrationPlanner(this.cluster, this.placer);
	readonly ledger = new AccountLedger();
	readonly health = new WorkerHealth();
	readonly estimates = new RunTimeEstimates();
	readonly jobs = new Map<string, JobEntry>();
	readonly waiting = new Map<string, JobEntry>();
	readonly reclaiming = new Map<string, JobEntry>();
	readonly placed = new Map<string, JobEntry>();
	ordering: OrderingPolicy;
	/** Grows with each change that may make a waiting job fit. */
	version = 0;
	#config: SchedulerConfig;
	readonly #fixedOrdering: OrderingPolicy | undefined;
	#failureDomain: string | undefined;
	readonly #insideJobs = new Map<string, Set<JobEntry>>();
	readonly #weights = new Map<string, number>();
	readonly #maxAccelerators = new Map<string, number>();
	readonly #longUse = {accelerators: 0, slots: 0};
	readonly #longJobs = new Set<string>();
	#empty: EmptyCluster | undefined;
	#emptyFor = -1;

	/**
	 * @param config - The configuration in force.
	 * @param failureDomain - The failure domain; without it, that of the first worker counts.
	 * @param fixedOrdering - An ordering to use instead of the one that the policy record names.
	 */
	constructor(config: SchedulerConfig, failureDomain: string | undefined, fixedOrdering?: OrderingPolicy) {
		this.#config = config;
		this.#failureDomain = failureDomain;
		this.#fixedOrdering = fixedOrdering;
		this.ordering = fixedOrdering ?? POLICIES[config.policy.ordering](config.policy);
		this.configure(config);
	}

	get config(): SchedulerConfig {
		return this.#config;
	}

	/**
	 * Takes over a configuration.
	 *
	 * @param config - The configuration in force.
	 */
	configure(config: SchedulerConfig): void {
		this.version++;
		this.#config = config;
		this.ordering = this.#fixedOrdering ?? POLICIES[config.policy.ordering](config.policy);
		this.#weights.clear();
		this.#maxAccelerators.clear();
		let weightSum = 0;
		for (const {weight} of config.accounts) {
			weightSum += weight;
		}

		for (const {account, weight, maxAccelerators} of config.accounts) {
			// An account of mean weight has weight 1, like an account without a record.
			this.#weights.set(account, weight * config.accounts.length / Math.max(Number.EPSILON, weightSum));
			if (maxAccelerators !== undefined) {
				this.#maxAccelerators.set(account, maxAccelerators);
			}
		}

		this.guard.configure(this.#guarantees());
		this.#emptyFor = -1;
	}

	/**
	 * Learns the failure domain from a worker unless it was given.
	 *
	 * @param failureDomain - The worker's failure domain.
	 */
	learnFailureDomain(failureDomain: string): void {
		if (this.#failureDomain === undefined) {
			this.#failureDomain = failureDomain;
			this.guard.configure(this.#guarantees());
		}
	}

	/** The cluster without any work. */
	empty(): EmptyCluster {
		if (!this.#empty || this.#emptyFor !== this.cluster.factsVersion) {
			const known = [...this.cluster.workers.values()].map(worker => worker.facts);
			this.#empty = new EmptyCluster(known, this.#config.racks ?? [], this.#guarantees());
			this.#emptyFor = this.cluster.factsVersion;
		}

		return this.#empty;
	}

	/**
	 * Books a placement.
	 *
	 * @param entry - The job.
	 * @param tasks - Where its tasks go.
	 * @param isInside - Whether it counts against its account's guarantee.
	 * @param nowMs - The present time.
	 */
	book(entry: JobEntry, tasks: readonly PlacedTask[], isInside: boolean, nowMs: number): void {
		entry.tasks = tasks;
		entry.placedAtMs = nowMs;
		entry.inside = isInside;
		this.cluster.book(entry, tasks, nowMs);
		this.ledger.place(entry);
		if (isInside) {
			const inside = this.#insideJobs.get(entry.spec.account) ?? new Set();
			inside.add(entry);
			this.#insideJobs.set(entry.spec.account, inside);
		}

		if (this.isLong(entry.spec)) {
			this.#longJobs.add(entry.job.jobId);
			this.#countLong(entry.spec, 1);
		}
	}

	/**
	 * Gives back what a job holds.
	 *
	 * @param entry - The job.
	 * @param nowMs - The present time.
	 */
	release(entry: JobEntry, nowMs: number): void {
		this.version++;
		this.cluster.release(entry);
		this.ledger.end(entry, nowMs);
		this.#insideJobs.get(entry.spec.account)?.delete(entry);
		if (this.#longJobs.delete(entry.job.jobId)) {
			this.#countLong(entry.spec, -1);
		}

		entry.tasks = [];
		entry.duplicates = [];
		entry.inside = false;
		entry.victims.clear();
		entry.isPreempted = false;
		entry.startedAtMs = undefined;
	}

	/**
	 * Puts a job into the queue.
	 *
	 * @param entry - The job.
	 */
	enqueue(entry: JobEntry): void {
		this.version++;
		const isPossible = entry.failedWorkers.size === 0 || this.empty().refuses(entry.spec, entry.failedWorkers) === undefined;
		entry.avoided = isPossible ? entry.failedWorkers : new Set();
		entry.phase = 'waiting';
		this.waiting.set(entry.job.jobId, entry);
		this.ledger.countWaiting(entry.spec.account, 1);
	}

	/**
	 * Takes a job out of the queue.
	 *
	 * @param entry - The job.
	 */
	dequeue(entry: JobEntry): void {
		if (this.waiting.delete(entry.job.jobId)) {
			this.ledger.countWaiting(entry.spec.account, -1);
		}
	}

	/**
	 * Checks whether a job lies inside its account's guarantee now.
	 *
	 * @param spec - The job.
	 * @returns Whether its account may reclaim for it.
	 */
	isInside(spec: JobSpec): boolean {
		const shapes = this.guard.shapesOf(spec.account);
		if (shapes.length === 0) {
			return false;
		}

		const running = [...this.#insideJobs.get(spec.account) ?? []].map(entry => entry.spec);
		return fitsInsideGuarantee(spec, shapes, running, this.cluster.capacity().perAccelerator);
	}

	/**
	 * Checks whether a worker may take tasks of a job. A quarantined worker is probed only with work that may be repeated.
	 *
	 * @param entry - The job.
	 * @param worker - The worker.
	 * @param nowMs - The present time.
	 * @returns Whether it may.
	 */
	accepts(entry: JobEntry, worker: WorkerState, nowMs: number): boolean {
		if (!worker.usable || entry.avoided.has(worker.workerId)) {
			return false;
		}

		return !this.health.isQuarantined(worker.workerId)
			|| (entry.spec.repeatable && this.health.mayTake(worker.workerId, nowMs));
	}

	/**
	 * Tells long work by what was learned, or by its class as long as nothing was.
	 *
	 * @param spec - The job.
	 * @returns Whether it counts as long.
	 */
	isLong(spec: JobSpec): boolean {
		const {learned, typicalMs} = this.estimates.estimate(spec);
		return learned ? typicalMs >= LONG_RUN_MS : spec.workClass === 'long';
	}

	/**
	 * Checks the lane for short work.
	 *
	 * @param spec - The job.
	 * @returns Whether it is long and would take what is kept for short work.
	 */
	isOutOfLane(spec: JobSpec): boolean {
		if (!this.ordering.usesEstimates || !this.isLong(spec)) {
			return false;
		}

		const {accelerators, slots} = this.cluster.capacity();
		const part = 1 - this.#config.policy.shortLaneShare;
		return this.#longUse.accelerators + totalAccelerators(spec) > accelerators * part
			|| this.#longUse.slots + (spec.shape.slots * spec.taskCount) > slots * part;
	}

	/**
	 * Checks the account's limit.
	 *
	 * @param spec - The job.
	 * @returns Whether the account would use more accelerators than it may.
	 */
	isOverAccountLimit(spec: JobSpec): boolean {
		const limit = this.maxAccelerators(spec.account) ?? Infinity;
		return this.ledger.use(spec.account).accelerators + totalAccelerators(spec) > limit;
	}

	/**
	 * Gives the limit of an account.
	 *
	 * @param account - The account.
	 * @returns The most accelerators it may use, or undefined.
	 */
	maxAccelerators(account: string): number | undefined {
		return this.#maxAccelerators.get(account);
	}

	/**
	 * Describes a waiting job to the ordering policy.
	 *
	 * @param entry - The job.
	 * @param nowMs - The present time.
	 * @returns The description.
	 */
	queued(entry: JobEntry, nowMs: number): QueuedJob {
		const {account} = entry.spec;
		const weight = Math.max(Number.EPSILON, this.#weights.get(account) ?? 1);
		return {
			jobId: entry.job.jobId,
			spec: entry.spec,
			submittedAtMs: entry.job.submittedAtMs,
			queuedAtMs: entry.queuedAtMs,
			deadlineAtMs: entry.job.deadlineAtMs,
			accelerators: entry.accelerators,
			estimateMs: this.estimates.estimate(entry.spec).typicalMs,
			attainedService: this.ledger.attained(account, nowMs) / weight,
			dominantShare: this.ledger.dominantShare(account, this.cluster.capacity()) / weight,
		};
	}

	#guarantees(): SchedulerConfig['guarantees'] {
		return this.#config.guarantees.filter(guarantee => this.#failureDomain === undefined || guarantee.failureDomain === this.#failureDomain);
	}

	#countLong(spec: JobSpec, sign: 1 | -1): void {
		this.#longUse.accelerators += sign * totalAccelerators(spec);
		this.#longUse.slots += sign * spec.shape.slots * spec.taskCount;
	}
}
