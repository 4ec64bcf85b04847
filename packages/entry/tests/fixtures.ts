import type {JobRow, JobSpec, Resources} from '@amaranthsail/core';
import {DeclaredCapacity, type Guarantee, type SchedulingPolicy} from '@amaranthsail/scheduler';
import type {Catalog, OperationDefinition} from '@amaranthsail/entry/catalog.js';

export const workerCapacity: Resources = {slots: 8, connections: 64, processors: 30, memoryMb: 65_536, accelerators: 8};

const operation: OperationDefinition = {
	workClass: 'short',
	repeatable: true,
	checkpointable: false,
	shape: {slots: 1, connections: 1, processors: 1, memoryMb: 1024, accelerators: 1},
	adjacency: 'failureDomain',
	maxTaskCount: 64,
	maxRunMs: 60_000,
	limits: {maxInputBytes: 1000},
};

const policy: SchedulingPolicy = {
	ordering: 'firstFit',
	weights: {completion: 1, fragmentation: 1, peak: 1, shortWork: 1},
	shortLaneShare: 0,
	maxWaitingPerAccount: 100,
	checkpointGraceMs: 5000,
	stragglerFactor: 0,
};

const guarantees: readonly Guarantee[] = [
	{name: 'beta', account: 'beta', failureDomain: 'palermo', accelerators: 8, count: 1, adjacency: 'worker', survivesRackLoss: false},
];

function declared(name: string, workerCount: number): DeclaredCapacity {
	return new DeclaredCapacity([{rack: `${name}-1`, workers: Array.from({length: workerCount}, () => workerCapacity)}], name === 'palermo' ? guarantees : []);
}

const capacities: Readonly<Record<string, DeclaredCapacity>> = {catania: declared('catania', 3), palermo: declared('palermo', 1)};

/** Two failure domains: `catania` with a rack of three workers, `palermo` with a rack of one that is guaranteed to `beta`. */
export const catalog: Catalog = {
	revision: 1,
	service: name => name === 'register'
		? {operations: new Map([['revaluation', operation], ['disposal', {...operation, repeatable: false}]])}
		: undefined,
	hasAccount: name => ['alpha', 'small'].includes(name),
	mayCall: () => true,
	failureDomains: () => ['catania', 'palermo'],
	capacityRefusal: (name, job) => capacities[name]!.refusalReason(job),
	maxAccelerators: account => account === 'small' ? 4 : undefined,
	guaranteedAccelerators: (_account, name) => name === 'palermo' ? 8 : 0,
	policyOf: () => policy,
};

const spec: JobSpec = {
	account: 'alpha',
	service: 'register',
	operation: 'revaluation',
	workClass: 'short',
	taskCount: 1,
	shape: operation.shape,
	adjacency: 'failureDomain',
	repeatable: true,
	checkpointable: false,
};

export const jobRow: JobRow = {
	jobId: 'job',
	spec,
	bodyDigest: 'digest',
	failureDomain: 'catania',
	state: 'waiting',
	acceptedAtMs: 0,
	attempt: 1,
	members: [],
	startConsumed: false,
	failedWorkers: [],
	cancelRequested: false,
	answers: [],
	writeId: 'write',
};
