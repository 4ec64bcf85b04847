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
	/** Whether the promise also holds after the loss of any one rack. */
	readonly survivesRackLoss: boolean;
};

/** Declared racks of a failure domain: the capacity of each worker of each rack. */
export type DeclaredRack = {readonly rack: string; readonly workers: readonly Resources[]};

/** Ordering policies. */
export const ORDERINGS = ['firstFit', 'leastAttained', 'balanced'] as const;

/** One of {@link ORDERINGS}. */
export type Ordering = (typeof ORDERINGS)[number];

/** The policy in force, from a `Policy` record. */
export type SchedulingPolicy = {
	readonly ordering: Ordering;
	/** Relative weights of the four measures; used by `balanced`. */
	readonly weights: {readonly completion: number; readonly fragmentation: number; readonly peak: number; readonly shortWork: number};
	/** Share of the accelerators and slots that long work may not take, from 0 to 1. */
	readonly shortLaneShare: number;
	/** Waiting jobs of one account beyond which new ones are refused. */
	readonly maxWaitingPerAccount: number;
	readonly checkpointGraceMs: number;
	/** Multiple of the learned run time after which a repeatable job gets a second attempt; 0 switches it off. */
	readonly stragglerFactor: number;
};

/** A client account's part in sharing. */
export type AccountShare = {readonly account: string; readonly weight: number; readonly maxAccelerators?: number};

/** What the scheduler takes from the configuration in force. */
export type SchedulerConfig = {
	readonly policy: SchedulingPolicy;
	readonly guarantees: readonly Guarantee[];
	readonly accounts: readonly AccountShare[];
	/** Declared racks of the failure domain. With them, workers that are not known yet count when a job is checked for ever fitting. */
	readonly racks?: readonly DeclaredRack[];
};

/** A job as the scheduler sees it. Times are monotonic milliseconds. */
export type SchedulerJob = {
	readonly jobId: string;
	readonly spec: JobSpec;
	readonly submittedAtMs: number;
	/** The deadline on the monotonic clock. */
	readonly deadlineAtMs?: number;
	/** Number of attempts so far. */
	readonly attempts: number;
	readonly failedWorkers: readonly string[];
	/** The job is durably accepted: it waits for as long as it takes and is not refused any more. */
	readonly isAccepted?: boolean;
};

/** Where one task goes. */
export type PlacedTask = Pick<AttemptMember, 'taskIndex' | 'workerId' | 'endpointId' | 'accelerators'>;

/** What the owner has to do next. */
export type Decision
	= | {readonly kind: 'place'; readonly jobId: string; readonly tasks: readonly PlacedTask[]}
	/** Take a running job off its workers, by checkpoint when it can, so that `forJobId` can run. */
		| {readonly kind: 'preempt'; readonly jobId: string; readonly forJobId: string; readonly graceMs: number; readonly reclaim: boolean}
		| {readonly kind: 'duplicate'; readonly jobId: string; readonly tasks: readonly PlacedTask[]}
		| {readonly kind: 'refuse'; readonly jobId: string; readonly refusal: Refusal};

/** Why a job cannot be accepted or will never run. */
export type Refusal = {
	readonly code: 'never_fits' | 'unknown_service' | 'account_limit' | 'deadline_impossible' | 'overloaded' | 'never_runs';
	readonly message: string;
	readonly retryable: boolean;
};

/** What keeps a job off a worker. */
export type RefusalCause
	= | ResourceName
		| 'adjacency'
		| 'guarantee'
		| 'lane'
		| 'quarantined'
		| 'suspect'
		| 'leaving'
		| 'service'
		| 'failed_before';

/** Why one worker cannot take a job. */
export type WorkerRefusal = {readonly workerId: string; readonly because: RefusalCause};

/** Why a waiting job waits. */
export type Explanation = {
	readonly jobId: string;
	readonly state: 'waiting' | 'placed' | 'unknown_job';
	readonly position?: number;
	/** For each worker, the first limit or rule that refuses the job. */
	readonly refusals: readonly WorkerRefusal[];
	readonly summary: string;
};

/** A guarantee that can no longer be kept. */
export type GuaranteeAlarm = {readonly guarantee: string; readonly account: string; readonly message: string};

/** How an attempt ended for the scheduler. */
export type AttemptEnd = 'completed' | 'failed' | 'stopped' | 'lost';

/** Load of a failure domain, for routing and early refusal. */
export type SchedulerLoad = {
	readonly waitingJobs: number;
	readonly waitingByAccount: Readonly<Record<string, number>>;
	readonly idleAccelerators: number;
	readonly totalAccelerators: number;
	readonly largestFreeBlock: number;
	/** Services with an endpoint that takes new work. */
	readonly services: readonly string[];
};

/** Decides placement, order, reclaim and admission for one failure domain. No I/O; times are passed in. */
export interface Scheduler {
	configure(config: SchedulerConfig, nowMs: number): void;

	/** Adds a worker or takes over its new facts. */
	upsertWorker(facts: WorkerFacts, nowMs: number): void;

	/** Marks a worker as getting no new work, or as usable again. */
	setWorkerUsable(workerId: string, usable: boolean, nowMs: number): void;

	removeWorker(workerId: string, nowMs: number): void;

	/** Decides on admission. An admitted job waits until `decide` places it. */
	submit(job: SchedulerJob, nowMs: number): {readonly admitted: true} | {readonly admitted: false; readonly refusal: Refusal};

	/** Takes over an attempt that runs already, after a change of owner. */
	restore(job: SchedulerJob, tasks: readonly PlacedTask[], startedAtMs: number, nowMs: number): void;

	/** Puts a job back into the queue; its placement must have ended. */
	requeue(jobId: string, nowMs: number): void;

	/** Drops a job that is not placed. */
	withdraw(jobId: string): void;

	started(jobId: string, nowMs: number): void;

	/** Ends the placement of a job and gives its resources back. `failedWorkerIds` names the workers whose task failed. */
	ended(jobId: string, end: AttemptEnd, failedWorkerIds: readonly string[], nowMs: number): void;

	/** Takes over measured use; a report older than a grant does not free it. */
	reportUsage(usage: UsageReport, nowMs: number): void;

	/** Makes the decisions that are due. The owner carries them out. */
	decide(nowMs: number): readonly Decision[];

	explain(jobId: string, nowMs: number): Explanation;

	/** Guarantees that cannot be kept on the workers known now. */
	alarms(): readonly GuaranteeAlarm[];

	/** Load for routing between failure domains. */
	load(): SchedulerLoad;
}
