/** What a task takes of a worker. */
export type TaskShape = {
	readonly cpuMillis: number;
	readonly memoryMb: number;
	readonly accelerators: number;
};

/** A step of a job: a number of tasks of one shape. */
export type StepSpec = {
	readonly taskCount: number;
	readonly shape: TaskShape;
	/** The caller's estimate of a task's run time; never trusted. */
	readonly estimatedMs: number;
	/** Numbers of the earlier steps that have to be done first. */
	readonly after: readonly number[];
	/** The tasks work only together and end together. */
	readonly isGang: boolean;
	/** The tasks are slower when they are spread over several racks. */
	readonly prefersOneRack: boolean;
	/** Label that the worker must have. */
	readonly requiredLabel?: string;
	/** Rack near the data; a task is slower on any other. */
	readonly preferredRack?: string;
	/** Largest number of tasks of the step on one worker. */
	readonly maxPerWorker?: number;
	/** The tasks write checkpoints and can continue from them. */
	readonly isCheckpointing: boolean;
	/** The tasks run until the job is cancelled. */
	readonly isLasting: boolean;
};

/** When and how often the steps of a job run. */
export type Recurrence = {
	readonly startAtMs: number;
	readonly intervalMs: number;
	readonly count: number;
};

/** A job as a caller hands it in. */
export type JobSpec = {
	/** Opaque text that every task of the job gets. */
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

/** A queue: what its callers' path selects, and how its jobs are run. */
export type Queue = {
	readonly name: string;
	readonly host: string;
	readonly pathPrefix: string;
	readonly service: string;
	/** 0 is the most urgent; lower priorities may be preempted for it. */
	readonly priority: number;
	readonly maxAttempts: number;
	/** A job is on time within this multiple of its longest chain of work, plus the target latency. */
	readonly stretch: number;
	readonly targetLatencyMs: number;
	readonly isPublic: boolean;
};

/** A client account with its keys and its guarantee. */
export type ClientAccount = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Accelerators that belong to the account's jobs of priority 0 at all times. */
	readonly guaranteedAccelerators: number;
};

/** A version of the pool's configuration. */
export type PoolConfig = {
	readonly version: number;
	readonly queues: readonly Queue[];
	readonly accounts: readonly ClientAccount[];
};

/** States that a worker announces. */
export const WORKER_STATES = {ready: 'ready', draining: 'draining'} as const;

/** One of {@link WORKER_STATES}. */
export type WorkerState = (typeof WORKER_STATES)[keyof typeof WORKER_STATES];

/** What a worker says of itself. */
export type WorkerFacts = {
	/** Identifies one life of the worker: its id and the time of its start. */
	readonly life: string;
	readonly id: string;
	readonly service: string;
	readonly failureDomain: string;
	readonly state: WorkerState;
	readonly capacity: TaskShape;
	readonly labels: readonly string[];
	/** For a draining worker, the least time until it leaves. */
	readonly remainingMs?: number;
};

/** A run that a worker lists as present. */
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
	/** The worker's lease passed. */
	lapsed: 'lapsed',
	/** Another member of the gang ended. */
	broken: 'broken',
	/** The other members of the gang did not come in time. */
	alone: 'alone',
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

/** What a worker answers when its lease is extended. */
export type WorkerLists = {
	/** Reading of the worker's steady clock. */
	readonly clockMs: number;
	/** Start of the worker's life as Unix time, where the answer tells it. */
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
	/** The run is not higher than one that was stopped or ended there. */
	superseded: 'superseded',
	/** The lease in the order has passed already. */
	late: 'late',
	room: 'room',
	/** Another life of the worker answers. */
	otherLife: 'otherLife',
	/** The worker is unhealthy and has done nothing. */
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
