import type {JobRow, JobSpec, Resources} from '@amaranthsail/core';
import type {SchedulerConfig} from '@amaranthsail/scheduler';
import type {Catalog, OperationEntry} from '@amaranthsail/entry/catalog.js';

export const workerCapacity: Resources = {slots: 8, connections: 64, processors: 30, memoryMb: 65_536, accelerators: 8};

const operation: OperationEntry = {
	workClass: 'short',
	repeatable: true,
	checkpointable: false,
	shape: {slots: 1, connections: 1, processors: 1, memoryMb: 1024, accelerators: 1},
	adjacency: 'failureDomain',
	maxTaskCount: 64,
	limits: {maxInputBytes: 1000},
};

const schedulerConfig: SchedulerConfig = {
	policy: {
		ordering: 'firstFit',
		weights: {completion: 1, fragmentation: 1, peak: 1, shortWork: 1},
		shortLaneShare: 0,
		maxWaitingPerAccount: 100,
		checkpointGraceMs: 5000,
		stragglerFactor: 0,
	},
	guarantees: [],
	accounts: [],
};

/** Two failure domains: `catania` with a rack of three workers, `palermo` with a rack of one. */
export const catalog: Catalog = {
	revision: 1,
	service: name => name === 'register'
		? {operations: new Map([['revaluation', operation], ['disposal', {...operation, repeatable: false}]])}
		: undefined,
	hasAccount: name => name === 'alpha',
	mayCall: () => true,
	failureDomains: () => ['catania', 'palermo'],
	racksOf: name => [{rack: `${name}-1`, workers: Array.from({length: name === 'catania' ? 3 : 1}, () => workerCapacity)}],
	guaranteedAccelerators: (_account, name) => name === 'palermo' ? 8 : 0,
	schedulerConfigOf: () => schedulerConfig,
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
