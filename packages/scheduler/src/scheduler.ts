import type {
	Adjacency, AttemptMember, JobSpec, Resources, ResourceName, UsageReport, WorkerFacts,
} from '@amaranthsail/core';

/** A guaranteed shape of a client account in one failure domain. */
export type Guarantee = {
	readonly name: string;
	readonly account: string;
	readonly failureDomain: string;
	/** Accelerators of one shape. */
	readonly accelerators: number;
	/** Number of such shapes. */
	readonly count: number;
	readonly adjacency: Adjacency;
	/** Whether the guarantee also holds after the loss of any one rack. */
	readonly survivesRackLoss: boolean;
};

/** Declared racks of a failure domain: the capacity of each worker of each rack. */
export type DeclaredRack = {readonly rack: string; readonly workers: readonly Resources[]};

/** Ordering policies. */
export const ORDERINGS = ['firstFit', 'leastAttained', 'balanced'] as const;

/** One of {@link ORDERINGS}. */
export type Ordering = (typeof ORDERINGS)[number];

/** The active scheduling policy, from a `Policy` record. */
export type SchedulingPolicy = {
	readonly ordering: Ordering;
	/** Relative weights of the four measures; used by `balanced`. */
	readonly weights: {readonly completion: number; readonly fragmentation: number; readonly peak: number; readonly shortWork: number};
	/** Share of the accelerators and slots that is reserved for short work, from 0 to 1. */
	readonly shortLaneShare: number;
	/** Waiting jobs of one account beyond which new ones are refused. */
	readonly maxWaitingPerAccount: number;
	readonly checkpointGraceMs: number;
	/** Multiple of the learned run time after which a repeatable job is duplicated as a straggler; 0 disables duplicates. */
	readonly stragglerFactor: number;
};

/** A client account's weight and limit in fair sharing. */
export type AccountShare = {readonly account: string; readonly weight: number; readonly maxAccelerators?: number};

/** The part of the active configuration that the scheduler uses. */
export type SchedulerConfig = {
	readonly policy: SchedulingPolicy;
	readonly guarantees: readonly Guarantee[];
	readonly accounts: readonly AccountShare[];
	/** Declared racks of the failure domain. Admission also counts their workers that have not reported yet. */
	readonly racks?: readonly DeclaredRack[];
};

/** A job to schedule. Times are milliseconds of the monotonic clock. */
export type SchedulerJob = {
	readonly jobId: string;
	readonly spec: JobSpec;
	readonly submittedAtMs: number;
	readonly deadlineAtMs?: number;
	/** Number of attempts so far. */
	readonly attempts: number;
	readonly failedWorkers: readonly string[];
	/** Whether the job is durably accepted. An accepted job skips admission and waits until it can be placed. */
	readonly isAccepted?: boolean;
};

/** The worker, endpoint and accelerators that one task is placed on. */
export type PlacedTask = Pick<AttemptMember, 'taskIndex' | 'workerId' | 'endpointId' | 'accelerators'>;

/** An action that the owner has to carry out. */
export type Decision
	= | {readonly kind: 'place'; readonly jobId: string; readonly tasks: readonly PlacedTask[]}
	/** Stop a running job so that `forJobId` can run. A checkpointable job gets `graceMs` to write a checkpoint. */
		| {readonly kind: 'preempt'; readonly jobId: string; readonly forJobId: string; readonly graceMs: number; readonly reclaim: boolean}
		| {readonly kind: 'duplicate'; readonly jobId: string; readonly tasks: readonly PlacedTask[]}
		| {readonly kind: 'refuse'; readonly jobId: string; readonly refusal: Refusal};

/** Why a job cannot be accepted or will never run. */
export type Refusal = {
	readonly code: 'never_fits' | 'unknown_service' | 'account_limit' | 'deadline_impossible' | 'overloaded' | 'never_runs';
	readonly message: string;
	readonly retryable: boolean;
};

/** The resource or rule that prevents a job from running on a worker. */
export type RefusalCause
	= | ResourceName
		| 'adjacency'
		| 'guarantee'
		/** The job is long, and the capacity is reserved for short work. */
		| 'lane'
		| 'quarantined'
		| 'suspect'
		| 'leaving'
		| 'service'
		| 'failed_before';

/** Why a job cannot run on one worker. */
export type WorkerRefusal = {readonly workerId: string; readonly because: RefusalCause};

/** Why a job has not been placed. */
export type Explanation = {
	readonly jobId: string;
	readonly state: 'waiting' | 'placed' | 'unknown_job';
	readonly position?: number;
	/** For each worker that refuses the job, the first resource or rule that does so. */
	readonly refusals: readonly WorkerRefusal[];
	readonly summary: string;
};

/** A guarantee that can no longer be kept. */
export type GuaranteeAlarm = {readonly guarantee: string; readonly account: string; readonly message: string};

/** How an attempt ended. */
export type AttemptEnd = 'completed' | 'failed' | 'stopped' | 'lost';

/** Load of a failure domain, for routing and for refusing jobs early. */
export type SchedulerLoad = {
	readonly waitingJobs: number;
	readonly waitingByAccount: Readonly<Record<string, number>>;
	readonly idleAccelerators: number;
	readonly totalAccelerators: number;
	readonly largestFreeBlock: number;
	/** Services with at least one endpoint that accepts new work. */
	readonly services: readonly string[];
};

/** Decides placement, order, reclaim and admission for one failure domain. Does no I/O and reads no clock. */
export interface Scheduler {
	configure(config: SchedulerConfig, nowMs: number): void;

	/** Adds a worker or updates its facts. */
	upsertWorker(facts: WorkerFacts, nowMs: number): void;

	/** Sets whether a worker may receive new work. */
	setWorkerUsable(workerId: string, isUsable: boolean, nowMs: number): void;

	removeWorker(workerId: string, nowMs: number): void;

	/** Decides whether to admit a job. An admitted job waits until `decide` places it. */
	submit(job: SchedulerJob, nowMs: number): {readonly admitted: true} | {readonly admitted: false; readonly refusal: Refusal};

	/** Registers an attempt that is already running, after a change of owner. */
	restore(job: SchedulerJob, tasks: readonly PlacedTask[], startedAtMs: number, nowMs: number): void;

	/** Returns a job to the queue. Its placement must have ended. */
	requeue(jobId: string, nowMs: number): void;

	/** Removes a job that is not placed. */
	withdraw(jobId: string): void;

	started(jobId: string, nowMs: number): void;

	/** Ends the placement of a job and releases its resources. `failedWorkerIds` lists the workers whose task failed. */
	ended(jobId: string, end: AttemptEnd, failedWorkerIds: readonly string[], nowMs: number): void;

	/** Applies measured resource usage. A report that was measured before the allocation is ignored. */
	reportUsage(usage: UsageReport, nowMs: number): void;

	/**
	 * Returns the decisions that are due, for the owner to carry out.
	 *
	 * @param nowMs - The current time.
	 * @param options - `mayPreempt` is false while workers may be missing that hold free capacity; true by default.
	 */
	decide(nowMs: number, options?: {readonly mayPreempt: boolean}): readonly Decision[];

	explain(jobId: string, nowMs: number): Explanation;

	/** Guarantees that cannot be kept on the currently known workers. */
	alarms(): readonly GuaranteeAlarm[];

	/** Current load, for routing between failure domains. */
	load(): SchedulerLoad;
}
