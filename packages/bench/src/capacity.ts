import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {
	createScheduler, type Guarantee, type Scheduler, type SchedulerJob,
} from '@amaranthsail/scheduler';
import {mean, quantile} from './measures.js';
import {Random} from './random.js';

/** Decision time and memory of the scheduler at one number of workers. */
export type CapacityFigures = {
	readonly workers: number;
	readonly runningTasks: number;
	readonly waitingJobs: number;
	readonly decideMeanMs: number;
	readonly decideP99Ms: number;
	readonly decideMaxMs: number;
	/** Heap growth caused by the scheduler with all its workers and jobs. */
	readonly heapMb: number;
};

const ACCOUNT_COUNT = 95;
const MAX_RUNNING_TASKS = 10_000;
const WORKERS_PER_RACK = 3;
const ROUND_COUNT = 40;
const WAITING_GANG_COUNT = 50;

/** Jobs that end before each decision, so that each round has something to place. */
const COMPLETIONS_PER_ROUND = 5;

function createJob(random: Random, index: number, taskCount: number): SchedulerJob {
	return {
		jobId: `job-${index}`,
		spec: {
			account: `account-${Math.floor(random.next() * ACCOUNT_COUNT)}`,
			service: 'service',
			operation: 'operation',
			workClass: 'long',
			taskCount,
			shape: {
				slots: 1, connections: 1, processors: 2, memoryMb: 2000, accelerators: taskCount > 1 ? 4 : 1,
			},
			adjacency: taskCount > 6 ? 'failureDomain' : 'rack',
			repeatable: random.next() < 0.9,
			checkpointable: true,
		},
		submittedAtMs: 0,
		attempts: 0,
		failedWorkers: [],
	};
}

function createGuarantees(workerCount: number): readonly Guarantee[] {
	// Half of the workers are guaranteed, in blocks of one whole worker.
	return Array.from({length: Math.min(ACCOUNT_COUNT, Math.floor(workerCount / 2))}, (_, index): Guarantee => ({
		name: `guarantee-${index}`,
		account: `account-${index}`,
		failureDomain: 'domain',
		accelerators: 8,
		count: Math.max(1, Math.floor(workerCount / 2 / ACCOUNT_COUNT)),
		adjacency: 'worker',
		survivesRackLoss: index % 4 === 0,
	}));
}

function createSchedulerWithWorkers(workerCount: number): Scheduler {
	const scheduler = createScheduler({
		policy: {
			ordering: 'balanced',
			weights: {
				completion: 1, fragmentation: 1, peak: 1, shortWork: 1,
			},
			shortLaneShare: 0,
			maxWaitingPerAccount: 1000,
			checkpointGraceMs: 5000,
			stragglerFactor: 4,
		},
		guarantees: createGuarantees(workerCount),
		accounts: [],
	});
	for (let index = 0; index < workerCount; index++) {
		scheduler.upsertWorker({
			workerId: `worker-${index}`,
			rack: `rack-${Math.floor(index / WORKERS_PER_RACK)}`,
			failureDomain: 'domain',
			capacity: {
				slots: 16, connections: 64, processors: 60, memoryMb: 128_000, accelerators: 8,
			},
			endpoints: [{endpointId: `endpoint-${index}`, service: 'service', leaving: false}],
		}, 0);
	}

	return scheduler;
}

/** Restores running jobs as after a takeover by another owner, when most tasks already run. */
function restoreRunningJobs(scheduler: Scheduler, random: Random, workerCount: number): Map<string, number> {
	const taskCountByJob = new Map<string, number>();
	for (let index = 0; index < Math.min(MAX_RUNNING_TASKS, workerCount * 8); index++) {
		const job = createJob(random, index, 1);
		const workerIndex = index % workerCount;
		scheduler.restore(job, [{
			taskIndex: 0, workerId: `worker-${workerIndex}`, endpointId: `endpoint-${workerIndex}`, accelerators: [Math.floor(index / workerCount)],
		}], 0, 0);
		taskCountByJob.set(job.jobId, 1);
	}

	return taskCountByJob;
}

function sumTaskCounts(taskCountByJob: ReadonlyMap<string, number>): number {
	let sum = 0;
	for (const count of taskCountByJob.values()) {
		sum += count;
	}

	return sum;
}

/**
 * Measures decision time and memory at one number of workers.
 *
 * @param workerCount - Number of workers.
 * @returns The figures, over rounds in which jobs end, arrive and are placed.
 */
export function measureCapacity(workerCount: number): CapacityFigures {
	globalThis.gc?.();
	const heapBytesBefore = process.memoryUsage().heapUsed;
	const random = new Random(workerCount);
	const scheduler = createSchedulerWithWorkers(workerCount);
	const taskCountByJob = restoreRunningJobs(scheduler, random, workerCount);
	let nextIndex = MAX_RUNNING_TASKS;
	for (let index = 0; index < WAITING_GANG_COUNT; index++) {
		scheduler.submit(createJob(random, nextIndex++, 2 + Math.floor(random.next() * 15)), 0);
	}

	const durationsMs: number[] = [];
	for (let round = 1; round <= ROUND_COUNT; round++) {
		const nowMs = round * 1000;
		for (const jobId of [...taskCountByJob.keys()].slice(0, COMPLETIONS_PER_ROUND)) {
			scheduler.ended(jobId, 'completed', [], nowMs);
			taskCountByJob.delete(jobId);
			scheduler.submit(createJob(random, nextIndex++, 1), nowMs);
		}

		const startMs = performance.now();
		const decisions = scheduler.decide(nowMs);
		durationsMs.push(performance.now() - startMs);
		for (const decision of decisions) {
			if (decision.kind === 'place') {
				taskCountByJob.set(decision.jobId, decision.tasks.length);
				scheduler.started(decision.jobId, nowMs);
			} else if (decision.kind === 'preempt') {
				scheduler.ended(decision.jobId, 'stopped', [], nowMs);
				scheduler.requeue(decision.jobId, nowMs);
				taskCountByJob.delete(decision.jobId);
			}
		}
	}

	globalThis.gc?.();
	return {
		workers: workerCount,
		runningTasks: sumTaskCounts(taskCountByJob),
		waitingJobs: scheduler.load().waitingJobs,
		decideMeanMs: mean(durationsMs),
		decideP99Ms: quantile(durationsMs, 0.99),
		decideMaxMs: Math.max(...durationsMs),
		heapMb: (process.memoryUsage().heapUsed - heapBytesBefore) / 1_048_576,
	};
}

/** Measured numbers of workers: today's failure domain, a larger one, a seventh of the two-year plan, and the whole plan in one failure domain. */
export const CAPACITY_WORKER_COUNTS = [10, 100, 171, 1200] as const;
