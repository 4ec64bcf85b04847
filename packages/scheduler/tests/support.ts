import type {JobSpec, Resources, WorkerFacts} from '@amaranthsail/core';
import {createScheduler, type Scheduler, type Guarantee, type SchedulerConfig, type SchedulerJob, type SchedulingPolicy} from '@amaranthsail/scheduler';

/** The capacity of each test worker. */
export const CAPACITY: Resources = {slots: 8, connections: 64, processors: 30, memoryMb: 64_000, accelerators: 8};

export function facts(workerId: string, rack: string, change: Partial<WorkerFacts> = {}): WorkerFacts {
	return {
		workerId, rack, failureDomain: 'suva', capacity: CAPACITY, endpoints: [{endpointId: `${workerId}/a`, service: 'repairs', leaving: false}], ...change,
	};
}

export function spec(change: Partial<JobSpec> = {}, accelerators = 1): JobSpec {
	return {
		account: 'red', service: 'repairs', operation: 'assess', workClass: 'short', taskCount: 1, adjacency: 'worker', repeatable: true, checkpointable: true,
		shape: {slots: 1, connections: 1, processors: 1, memoryMb: 1000, accelerators}, ...change,
	};
}

export function job(jobId: string, change: Partial<JobSpec> = {}, accelerators = 1): SchedulerJob {
	return {jobId, spec: spec(change, accelerators), submittedAtMs: 0, attempts: 0, failedWorkers: []};
}

export function guarantee(change: Partial<Guarantee> = {}): Guarantee {
	return {
		name: 'blue-8', account: 'blue', failureDomain: 'suva', accelerators: 8, count: 1, adjacency: 'worker', survivesRackLoss: false, ...change,
	};
}

export function config(policy: Partial<SchedulingPolicy> = {}, rest: Partial<SchedulerConfig> = {}): SchedulerConfig {
	return {
		policy: {
			ordering: 'balanced', weights: {completion: 1, fragmentation: 1, peak: 1, shortWork: 1}, shortLaneShare: 0,
			maxWaitingPerAccount: 100, checkpointGraceMs: 5000, stragglerFactor: 3, ...policy,
		},
		guarantees: [], accounts: [], ...rest,
	};
}

/** Creates a scheduler with racks of the given sizes. Workers are named w0, w1 and so on. */
export function cluster(rackSizes: readonly number[], settings: SchedulerConfig = config()): Scheduler {
	const scheduler = createScheduler(settings);
	let index = 0;
	for (const [rack, size] of rackSizes.entries()) {
		for (let count = 0; count < size; count++) {
			scheduler.upsertWorker(facts(`w${index++}`, `r${rack}`), 0);
		}
	}

	return scheduler;
}
