import type {Adjacency, Resources, WorkClass} from '@amaranthsail/core';
import type {Guarantee, SchedulingPolicy} from '@amaranthsail/scheduler';

/** Form of a job: its tasks and the accelerators of each. */
export type Form = {readonly weight: number; readonly taskCount: number; readonly accelerators: number; readonly adjacency: Adjacency};

/** A kind of work of a division. */
export type WorkKind = {
	readonly operation: string;
	/** Part of all jobs. */
	readonly weight: number;
	readonly workClass: WorkClass;
	readonly repeatable: boolean;
	readonly meanRunMs: number;
	/** Spread of the logarithm of the run time. */
	readonly runSigma: number;
	readonly forms: readonly Form[];
};

/** An account; its part of the jobs is its weight, and its jobs run `sizeFactor` times as long as the mean of their kind. */
export type BenchAccount = {readonly account: string; readonly weight: number; readonly sizeFactor: number};

/** A division: its workers, accounts, work and policy record. */
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

const SINGLE: readonly Form[] = [{weight: 1, taskCount: 1, accelerators: 1, adjacency: 'worker'}];

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
			operation: 'revaluation', weight: 10, workClass: 'long', repeatable: true, meanRunMs: 360_000, runSigma: 0.8, forms: [
				{weight: 4, taskCount: 2, accelerators: 4, adjacency: 'worker'},
				{weight: 3, taskCount: 4, accelerators: 4, adjacency: 'rack'},
				{weight: 2, taskCount: 2, accelerators: 8, adjacency: 'rack'},
				{weight: 1, taskCount: 3, accelerators: 8, adjacency: 'rack'},
			],
		},
		{
			operation: 'depreciation', weight: 50, workClass: 'short', repeatable: false, meanRunMs: 20_000, runSigma: 0.5, forms: SINGLE,
		},
		{
			operation: 'disposal', weight: 40, workClass: 'short', repeatable: false, meanRunMs: 8000, runSigma: 0.5, forms: SINGLE,
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
			operation: 'assessment', weight: 20, workClass: 'long', repeatable: true, meanRunMs: 90_000, runSigma: 0.8, forms: [
				{weight: 4, taskCount: 2, accelerators: 2, adjacency: 'worker'},
				{weight: 3, taskCount: 4, accelerators: 2, adjacency: 'worker'},
				{weight: 2, taskCount: 2, accelerators: 4, adjacency: 'rack'},
				{weight: 1, taskCount: 4, accelerators: 4, adjacency: 'rack'},
			],
		},
		{
			operation: 'quotes', weight: 40, workClass: 'short', repeatable: true, meanRunMs: 15_000, runSigma: 0.5, forms: SINGLE,
		},
		{
			operation: 'dispatch', weight: 40, workClass: 'urgent', repeatable: false, meanRunMs: 3000, runSigma: 0.5, forms: SINGLE,
		},
	],
	policy: {...POLICY, weights: {completion: 1, fragmentation: 1, peak: 3, shortWork: 3}, shortLaneShare: 0},
};

/** The divisions, by name. */
export const DIVISIONS: readonly Division[] = [REGISTER, COOPERATIVE];
