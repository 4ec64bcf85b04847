/** Capacity that a task needs. */
export type TaskShape = {
	readonly cpuMillis: number;
	readonly memoryMb: number;
	readonly accelerators: number;
};

/** A step of a job: a number of tasks of one shape. */
export type StepSpec = {
	readonly taskCount: number;
	readonly shape: TaskShape;
	/** The caller's estimate of a task's run time; untrusted. */
	readonly estimatedMs: number;
	/** Numbers of earlier steps that have to be done before this one starts. */
	readonly after: readonly number[];
	/** The tasks run only together and end together. */
	readonly isGang: boolean;
	/** The tasks are slower if they are spread over several racks. */
	readonly prefersOneRack: boolean;
	/** Label that the worker must have. */
	readonly requiredLabel?: string;
	/** Rack near the data; the tasks are slower on any other. */
	readonly preferredRack?: string;
	/** Largest number of tasks of the step on one worker. */
	readonly maxPerWorker?: number;
	/** The tasks write checkpoints and can resume from them. */
	readonly isCheckpointing: boolean;
	/** The tasks run until the job is cancelled. */
	readonly isLasting: boolean;
	/** Name of what the tasks run, by which the caller tells kinds of work apart. */
	readonly image?: string;
};

/** When and how often the steps of a job run. */
export type Recurrence = {
	readonly startAtMs: number;
	readonly intervalMs: number;
	readonly count: number;
};

/** Largest number of tasks of a job; also of those of a recurring job that are created and not done. */
export const MAX_JOB_TASKS = 4096;

/** A job as submitted by a caller. */
export type JobSpec = {
	/** Opaque text that is passed to every task of the job. */
	readonly payload: string;
	readonly steps: readonly StepSpec[];
	readonly recurrence?: Recurrence;
};

/** States of a job. */
export const JOB_STATES = {
	queued: 'queued',
	running: 'running',
	completed: 'completed',
	failed: 'failed',
	cancelled: 'cancelled',
} as const;

/** One of {@link JOB_STATES}. */
export type JobState = (typeof JOB_STATES)[keyof typeof JOB_STATES];

/** A queue: the requests that it accepts, and how its jobs are run. */
export type Queue = {
	readonly name: string;
	readonly host: string;
	readonly pathPrefix: string;
	readonly service: string;
	/** 0 is the most urgent; less urgent work may be preempted for it. */
	readonly priority: number;
	readonly maxAttempts: number;
	/** A job is on time if it ends within this multiple of its critical path plus the target latency. */
	readonly stretch: number;
	readonly targetLatencyMs: number;
	readonly isPublic: boolean;
};

/** A client account with its keys and its guarantee. */
export type ClientAccount = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Accelerators that are available to the account's jobs of priority 0 at all times. */
	readonly guaranteedAccelerators: number;
};

/** A version of the pool's configuration. */
export type PoolConfig = {
	readonly version: number;
	readonly queues: readonly Queue[];
	readonly accounts: readonly ClientAccount[];
};

/** States that a worker reports. */
export const WORKER_STATES = {ready: 'ready', draining: 'draining'} as const;

/** One of {@link WORKER_STATES}. */
export type WorkerState = (typeof WORKER_STATES)[keyof typeof WORKER_STATES];

/** Facts that a worker reports about itself. */
export type WorkerFacts = {
	/** The worker's incarnation: its id, `@` and its start time as Unix time in milliseconds. */
	readonly life: string;
	readonly id: string;
	readonly service: string;
	readonly failureDomain: string;
	readonly state: WorkerState;
	readonly capacity: TaskShape;
	readonly labels: readonly string[];
	/** Shortest time until a draining worker leaves. */
	readonly remainingMs?: number;
};

/** A run that a worker lists as running. */
export type ListedRun = {
	readonly task: string;
	readonly run: number;
	readonly checkpoint: string;
	readonly percent: number;
};

/** Ways in which a run ends. */
export const RUN_OUTCOMES = {
	done: 'done',
	failed: 'failed',
	stopped: 'stopped',
	/** The worker's lease expired. */
	lapsed: 'lapsed',
	/** Another member of the gang ended. */
	broken: 'broken',
	/** The other members of the gang did not start in time. */
	alone: 'alone',
	/** The worker lists an end that cannot be read. */
	unreadable: 'unreadable',
} as const;

/** One of {@link RUN_OUTCOMES}. */
export type RunOutcome = (typeof RUN_OUTCOMES)[keyof typeof RUN_OUTCOMES];

/** An end that a worker lists until it is acknowledged. */
export type ListedEnd = {
	readonly sequence: number;
	readonly task: string;
	readonly run: number;
	readonly outcome: RunOutcome;
	readonly checkpoint: string;
};

/** A worker's answer to the renewal of its lease. */
export type WorkerLists = {
	/** Reading of the worker's monotonic clock. */
	readonly clockMs: number;
	/** Start time of the worker's incarnation as Unix time, if the answer includes it. */
	readonly bornMs?: number;
	readonly running: readonly ListedRun[];
	readonly ended: readonly ListedEnd[];
};

/** An order to a worker. */
export type WorkerOrder
	= | {readonly kind: 'start'; readonly task: string; readonly run: number; readonly payload: string; readonly leaseUntilMs: number; readonly checkpoint: string}
		| {readonly kind: 'stop'; readonly task: string; readonly run: number};

/** Reasons for which a worker or its agent refuses an order. */
export const REFUSALS = {
	/** A higher epoch has been seen. */
	fenced: 'fenced',
	/** A run of the task with this number or a higher one was stopped or ended there. */
	superseded: 'superseded',
	/** The lease in the order has already expired. */
	late: 'late',
	/** The worker has no free capacity for the run. */
	room: 'room',
	/** Another incarnation of the worker answers. */
	otherLife: 'otherLife',
	/** The worker is unhealthy and has not carried out the order. */
	unhealthy: 'unhealthy',
	invalid: 'invalid',
} as const;

/** One of {@link REFUSALS}. */
export type Refusal = (typeof REFUSALS)[keyof typeof REFUSALS];

/** The outcome of an order. */
export type OrderOutcome
	= | {readonly kind: 'done'}
		| {readonly kind: 'refused'; readonly reason: Refusal}
		/** No answer: the order may have been carried out, or may be carried out later. */
		| {readonly kind: 'unknown'; readonly message: string}
		/** The worker's port has no listener: nothing runs there. */
		| {readonly kind: 'gone'};
