import type {JobSpec} from '@amaranthsail/core';
import {AccountLedger} from './account-ledger.js';
import {BalancedPolicy} from './balanced-policy.js';
import {ClusterState} from './cluster-state.js';
import {EmptyCluster} from './empty-cluster.js';
import {FirstFitPolicy} from './first-fit-policy.js';
import {fitsWithinGuarantee} from './guarantee-claim.js';
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

/** Learned run time from which work counts as long, regardless of its declared class. */
const MIN_LONG_RUN_MS = 30_000;

const ORDERING_POLICIES: Readonly<Record<Ordering, OrderingPolicyFactory>> = {
	firstFit: () => new FirstFitPolicy(),
	leastAttained: () => new LeastAttainedPolicy(),
	balanced: policy => new BalancedPolicy(policy),
};

/** The state of a scheduler, with the queries that several of its parts share. */
export class SchedulerState {
	readonly cluster = new ClusterState();
	readonly guard = new GuaranteeGuard(this.cluster);
	readonly placer = new JobPlacer(this.cluster, this.guard);
	readonly reclaimPlanner = new ReclaimPlanner(this.cluster, this.guard, this.placer);
	readonly migrationPlanner = new MigrationPlanner(this.cluster, this.placer);
	readonly ledger = new AccountLedger();
	readonly health = new WorkerHealth();
	readonly estimates = new RunTimeEstimates();
	readonly jobs = new Map<string, JobEntry>();
	readonly waiting = new Map<string, JobEntry>();
	readonly awaitingVictims = new Map<string, JobEntry>();
	readonly placed = new Map<string, JobEntry>();
	ordering: OrderingPolicy;
	/** Incremented with each change that may make a waiting job fit. */
	version = 0;
	#config: SchedulerConfig;
	readonly #fixedOrdering: OrderingPolicy | undefined;
	#failureDomain: string | undefined;
	readonly #jobsWithinGuarantee = new Map<string, Set<JobEntry>>();
	readonly #weights = new Map<string, number>();
	readonly #maxAccelerators = new Map<string, number>();
	readonly #longWorkUsage = {accelerators: 0, slots: 0};
	readonly #longJobs = new Set<string>();
	#emptyCluster: EmptyCluster | undefined;
	#emptyClusterVersion = -1;

	/**
	 * @param config - The active configuration.
	 * @param failureDomain - The failure domain; by default, that of the first worker.
	 * @param fixedOrdering - An ordering policy to use instead of that of the policy record.
	 */
	constructor(config: SchedulerConfig, failureDomain: string | undefined, fixedOrdering?: OrderingPolicy) {
		this.#config = config;
		this.#failureDomain = failureDomain;
		this.#fixedOrdering = fixedOrdering;
		this.ordering = fixedOrdering ?? ORDERING_POLICIES[config.policy.ordering](config.policy);
		this.configure(config);
	}

	get config(): SchedulerConfig {
		return this.#config;
	}

	/**
	 * Applies a configuration.
	 *
	 * @param config - The active configuration.
	 */
	configure(config: SchedulerConfig): void {
		this.version++;
		this.#config = config;
		this.ordering = this.#fixedOrdering ?? ORDERING_POLICIES[config.policy.ordering](config.policy);
		this.#weights.clear();
		this.#maxAccelerators.clear();
		let weightSum = 0;
		for (const {weight} of config.accounts) {
			weightSum += weight;
		}

		for (const {account, weight, maxAccelerators} of config.accounts) {
			// Weights are normalized to a mean of 1, the weight of an account without a record.
			this.#weights.set(account, weight * config.accounts.length / Math.max(Number.EPSILON, weightSum));
			if (maxAccelerators !== undefined) {
				this.#maxAccelerators.set(account, maxAccelerators);
			}
		}

		this.guard.configure(this.#guarantees());
		this.#emptyClusterVersion = -1;
	}

	/**
	 * Adopts the failure domain of the first worker if none is set.
	 *
	 * @param failureDomain - The worker's failure domain.
	 */
	adoptFailureDomain(failureDomain: string): void {
		if (this.#failureDomain === undefined) {
			this.#failureDomain = failureDomain;
			this.guard.configure(this.#guarantees());
		}
	}

	/** The cluster without any load. */
	emptyCluster(): EmptyCluster {
		if (!this.#emptyCluster || this.#emptyClusterVersion !== this.cluster.factsVersion) {
			const known = [...this.cluster.workers.values()].map(worker => worker.facts);
			this.#emptyCluster = new EmptyCluster(known, this.#config.racks ?? [], this.#guarantees());
			this.#emptyClusterVersion = this.cluster.factsVersion;
		}

		return this.#emptyCluster;
	}

	/**
	 * Allocates resources for a placement and records it.
	 *
	 * @param entry - The job.
	 * @param tasks - Where its tasks are placed.
	 * @param isWithinGuarantee - Whether it counts against its account's guarantee.
	 * @param nowMs - The current time.
	 */
	allocate(entry: JobEntry, tasks: readonly PlacedTask[], isWithinGuarantee: boolean, nowMs: number): void {
		entry.tasks = tasks;
		entry.placedAtMs = nowMs;
		entry.isWithinGuarantee = isWithinGuarantee;
		this.cluster.allocate(entry, tasks, nowMs);
		this.ledger.recordPlacement(entry);
		if (isWithinGuarantee) {
			const jobs = this.#jobsWithinGuarantee.get(entry.spec.account) ?? new Set();
			jobs.add(entry);
			this.#jobsWithinGuarantee.set(entry.spec.account, jobs);
		}

		if (this.isLong(entry.spec)) {
			this.#longJobs.add(entry.job.jobId);
			this.#adjustLongWorkUsage(entry.spec, 1);
		}
	}

	/**
	 * Releases the resources of a job and resets its placement.
	 *
	 * @param entry - The job.
	 * @param nowMs - The current time.
	 */
	release(entry: JobEntry, nowMs: number): void {
		this.version++;
		this.cluster.release(entry);
		this.ledger.recordEnd(entry, nowMs);
		this.#jobsWithinGuarantee.get(entry.spec.account)?.delete(entry);
		if (this.#longJobs.delete(entry.job.jobId)) {
			this.#adjustLongWorkUsage(entry.spec, -1);
		}

		entry.tasks = [];
		entry.duplicates = [];
		entry.isWithinGuarantee = false;
		entry.victims.clear();
		entry.isPreempted = false;
		entry.startedAtMs = undefined;
	}

	/**
	 * Adds a job to the queue.
	 *
	 * @param entry - The job.
	 */
	enqueue(entry: JobEntry): void {
		this.version++;
		const canAvoidFailedWorkers = entry.failedWorkers.size === 0 || this.emptyCluster().refusalReason(entry.spec, entry.failedWorkers) === undefined;
		entry.avoidedWorkers = canAvoidFailedWorkers ? entry.failedWorkers : new Set();
		entry.phase = 'waiting';
		this.waiting.set(entry.job.jobId, entry);
		this.ledger.adjustWaiting(entry.spec.account, 1);
	}

	/**
	 * Removes a job from the queue.
	 *
	 * @param entry - The job.
	 */
	dequeue(entry: JobEntry): void {
		if (this.waiting.delete(entry.job.jobId)) {
			this.ledger.adjustWaiting(entry.spec.account, -1);
		}
	}

	/**
	 * Checks whether a job fits within its account's guarantees now.
	 *
	 * @param spec - The job.
	 * @returns Whether its account may reclaim for it.
	 */
	isWithinGuarantee(spec: JobSpec): boolean {
		const shapes = this.guard.shapesOf(spec.account);
		if (shapes.length === 0) {
			return false;
		}

		const running = [...this.#jobsWithinGuarantee.get(spec.account) ?? []].map(entry => entry.spec);
		return fitsWithinGuarantee(spec, shapes, running, this.cluster.capacity().amountsPerAccelerator);
	}

	/**
	 * Checks whether a worker may run tasks of a job. A quarantined worker is probed only with repeatable work.
	 *
	 * @param entry - The job.
	 * @param worker - The worker.
	 * @param nowMs - The current time.
	 * @returns Whether it may be used.
	 */
	isEligible(entry: JobEntry, worker: WorkerState, nowMs: number): boolean {
		if (!worker.isUsable || entry.avoidedWorkers.has(worker.workerId)) {
			return false;
		}

		return !this.health.isQuarantined(worker.workerId)
			|| (entry.spec.repeatable && this.health.mayReceiveJob(worker.workerId, nowMs));
	}

	/**
	 * Classifies work as long by its learned run time, or by its declared class if none is learned yet.
	 *
	 * @param spec - The job.
	 * @returns Whether it counts as long.
	 */
	isLong(spec: JobSpec): boolean {
		const {isLearned, typicalMs} = this.estimates.estimate(spec);
		return isLearned ? typicalMs >= MIN_LONG_RUN_MS : spec.workClass === 'long';
	}

	/**
	 * Checks the limit on long work, which reserves capacity for short work.
	 *
	 * @param spec - The job.
	 * @returns Whether it is long and would use capacity that is reserved for short work.
	 */
	exceedsLongWorkLimit(spec: JobSpec): boolean {
		if (!this.ordering.usesEstimates || !this.isLong(spec)) {
			return false;
		}

		const {accelerators, slots} = this.cluster.capacity();
		const longWorkShare = 1 - this.#config.policy.shortLaneShare;
		return this.#longWorkUsage.accelerators + totalAccelerators(spec) > accelerators * longWorkShare
			|| this.#longWorkUsage.slots + (spec.shape.slots * spec.taskCount) > slots * longWorkShare;
	}

	/**
	 * Checks the account's limit on accelerators.
	 *
	 * @param spec - The job.
	 * @returns Whether the account would use more accelerators than it may.
	 */
	isOverAccountLimit(spec: JobSpec): boolean {
		const limit = this.maxAccelerators(spec.account) ?? Infinity;
		return this.ledger.usage(spec.account).accelerators + totalAccelerators(spec) > limit;
	}

	/**
	 * Gets the accelerator limit of an account.
	 *
	 * @param account - The account.
	 * @returns The most accelerators it may use, or undefined if unlimited.
	 */
	maxAccelerators(account: string): number | undefined {
		return this.#maxAccelerators.get(account);
	}

	/**
	 * Describes a waiting job for the ordering policy.
	 *
	 * @param entry - The job.
	 * @param nowMs - The current time.
	 * @returns The description.
	 */
	toQueuedJob(entry: JobEntry, nowMs: number): QueuedJob {
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
			attainedService: this.ledger.attainedAcceleratorMs(account, nowMs) / weight,
			dominantShare: this.ledger.dominantShare(account, this.cluster.capacity()) / weight,
		};
	}

	#guarantees(): SchedulerConfig['guarantees'] {
		return this.#config.guarantees.filter(guarantee => this.#failureDomain === undefined || guarantee.failureDomain === this.#failureDomain);
	}

	#adjustLongWorkUsage(spec: JobSpec, sign: 1 | -1): void {
		this.#longWorkUsage.accelerators += sign * totalAccelerators(spec);
		this.#longWorkUsage.slots += sign * spec.shape.slots * spec.taskCount;
	}
}
