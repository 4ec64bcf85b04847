import type {Adjacency, Resources, WorkClass} from '@amaranthsail/core';
import type {Guarantee, SchedulingPolicy} from '@amaranthsail/scheduler';

/** Template of a job: number of tasks, and accelerators and adjacency of each. `weight` is relative to the other templates of the kind. */
export type JobTemplate = {readonly weight: number; readonly taskCount: number; readonly accelerators: number; readonly adjacency: Adjacency};

/** A kind of job of a division. */
export type WorkKind = {
	readonly operation: string;
	/** Share of all jobs, relative to the weights of the other kinds. */
	readonly weight: number;
	readonly workClass: WorkClass;
	readonly repeatable: boolean;
	readonly meanRunMs: number;
	/** Standard deviation of the logarithm of the run time. */
	readonly runSigma: number;
	readonly templates: readonly JobTemplate[];
};

/** A client account; `weight` is its share of the jobs, which run `sizeFactor` times as long as the mean of their kind. */
export type BenchAccount = {readonly account: string; readonly weight: number; readonly sizeFactor: number};

/** A division of the users: its workers, client accounts, kinds of jobs and policy record. */
export type Division = {
	readonly name: string;
	readonly service: string;
	readonly rackSizes: readonly number[];
	readonly capacity: Resources;
	readonly accounts: readonly BenchAccount[];
	readonly guarantees: readonly Guarantee[];
	readonly kinds: readonly WorkKind[];
	readonly policy: Omit<SchedulingPolicy, 'ordering'>;
};

const SINGLE_TASK_TEMPLATES: readonly JobTemplate[] = [{weight: 1, taskCount: 1, accelerators: 1, adjacency: 'worker'}];

const ACCOUNTS = [
	// Large accounts have large registers and stocks, so their jobs run longer; the weighted mean of the factors is 1.
	{account: 'large-a', weight: 40, sizeFactor: 1.6},
	{account: 'large-b', weight: 35, sizeFactor: 0.8},
	{account: 'small-c', weight: 15, sizeFactor: 0.4},
	{account: 'small-d', weight: 10, sizeFactor: 0.2},
];

const POLICY = {maxWaitingPerAccount: 100_000, checkpointGraceMs: 5000, stragglerFactor: 4};

function guaranteesOf(failureDomain: string): readonly Guarantee[] {
	const common = {failureDomain, adjacency: 'worker', survivesRackLoss: false} as const;
	return [
		{...common, name: 'a', account: 'large-a', accelerators: 8, count: 2, survivesRackLoss: true},
		{...common, name: 'b', account: 'large-b', accelerators: 8, count: 1},
		{...common, name: 'c', account: 'small-c', accelerators: 4, count: 1},
		{...common, name: 'd', account: 'small-d', accelerators: 4, count: 1},
	];
}

const REGISTER: Division = {
	name: 'register',
	service: 'register',
	rackSizes: [3, 3, 3, 1],
	capacity: {slots: 8, connections: 64, processors: 30, memoryMb: 64_000, accelerators: 8},
	accounts: ACCOUNTS,
	guarantees: guaranteesOf('catania'),
	kinds: [
		{
			operation: 'revaluation', weight: 10, workClass: 'long', repeatable: true, meanRunMs: 360_000, runSigma: 0.8, templates: [
				{weight: 4, taskCount: 2, accelerators: 4, adjacency: 'worker'},
				{weight: 3, taskCount: 4, accelerators: 4, adjacency: 'rack'},
				{weight: 2, taskCount: 2, accelerators: 8, adjacency: 'rack'},
				{weight: 1, taskCount: 3, accelerators: 8, adjacency: 'rack'},
			],
		},
		{
			operation: 'depreciation', weight: 50, workClass: 'short', repeatable: false, meanRunMs: 20_000, runSigma: 0.5, templates: SINGLE_TASK_TEMPLATES,
		},
		{
			operation: 'disposal', weight: 40, workClass: 'short', repeatable: false, meanRunMs: 8000, runSigma: 0.5, templates: SINGLE_TASK_TEMPLATES,
		},
	],
	policy: {...POLICY, weights: {completion: 3, fragmentation: 3, peak: 1, shortWork: 1}, shortLaneShare: 0.05},
};

const COOPERATIVE: Division = {
	name: 'cooperative',
	service: 'repairs',
	rackSizes: [3, 3, 3, 1],
	capacity: {slots: 8, connections: 64, processors: 60, memoryMb: 128_000, accelerators: 8},
	accounts: ACCOUNTS,
	guarantees: guaranteesOf('suva'),
	kinds: [
		{
			operation: 'assessment', weight: 20, workClass: 'long', repeatable: true, meanRunMs: 90_000, runSigma: 0.8, templates: [
				{weight: 4, taskCount: 2, accelerators: 2, adjacency: 'worker'},
				{weight: 3, taskCount: 4, accelerators: 2, adjacency: 'worker'},
				{weight: 2, taskCount: 2, accelerators: 4, adjacency: 'rack'},
				{weight: 1, taskCount: 4, accelerators: 4, adjacency: 'rack'},
			],
		},
		{
			operation: 'quotes', weight: 40, workClass: 'short', repeatable: true, meanRunMs: 15_000, runSigma: 0.5, templates: SINGLE_TASK_TEMPLATES,
		},
		{
			operation: 'dispatch', weight: 40, workClass: 'urgent', repeatable: false, meanRunMs: 3000, runSigma: 0.5, templates: SINGLE_TASK_TEMPLATES,
		},
	],
	policy: {...POLICY, weights: {completion: 1, fragmentation: 1, peak: 3, shortWork: 3}, shortLaneShare: 0},
};

/** The divisions, by name. */
export const DIVISIONS: readonly Division[] = [REGISTER, COOPERATIVE];
