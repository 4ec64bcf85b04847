import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {
	createScheduler, type Guarantee, type Scheduler, type SchedulerJob,
} from '@amaranthsail/scheduler';
import {mean, quantile} from './measures.js';
import {Random} from './random.js';

/** Figures of the scheduler at one size. */
export type CapacityFigures = {
	readonly workers: number;
	readonly runningTasks: number;
	readonly waitingJobs: number;
	readonly decideMeanMs: number;
	readonly decideP99Ms: number;
	readonly decideMaxMs: number;
	/** Growth of the heap by the scheduler with all its workers and jobs. */
	readonly heapMb: number;
};

const ACCOUNT_COUNT = 95;
const RUNNING_TASKS = 10_000;
const WORKERS_PER_RACK = 3;
const ROUNDS = 40;
const WAITING_GANGS = 50;

/** Decisions take turns with ends of jobs, so that each round has something to place. */
const ENDS_PER_ROUND = 5;

function jobOf(random: Random, index: number, taskCount: number): SchedulerJob {
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

function guaranteesFor(workers: number): readonly Guarantee[] {
	// Half of the workers are promised, one block of a whole worker each.
	return Array.from({length: Math.min(ACCOUNT_COUNT, Math.floor(workers / 2))}, (_, index): Guarantee => ({
		name: `guarantee-${index}`,
		account: `account-${index}`,
		failureDomain: 'domain',
		accelerators: 8,
		count: Math.max(1, Math.floor(workers / 2 / ACCOUNT_COUNT)),
		adjacency: 'worker',
		survivesRackLoss: index % 4 === 0,
	}));
}

function schedulerWith(workers: number): Scheduler {
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
		guarantees: guaranteesFor(workers),
		accounts: [],
	}, 0);
	for (let index = 0; index < workers; index++) {
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

/** Fills the workers as after a change of owner: most tasks run already and are taken over. */
function fill(scheduler: Scheduler, random: Random, workers: number): Map<string, number> {
	const running = new Map<string, number>();
	for (let index = 0; index < Math.min(RUNNING_TASKS, workers * 8); index++) {
		const job = jobOf(random, index, 1);
		const worker = index % workers;
		scheduler.restore(job, [{
			taskIndex: 0, workerId: `worker-${worker}`, endpointId: `endpoint-${worker}`, accelerators: [Math.floor(index / workers)],
		}], 0, 0);
		running.set(job.jobId, 1);
	}

	return running;
}

function taskCountOf(running: ReadonlyMap<string, number>): number {
	let sum = 0;
	for (const count of running.values()) {
		sum += count;
	}

	return sum;
}

/**
 * Measures decision time and memory at one size.
 *
 * @param workers - Number of workers.
 * @returns The figures of rounds in which jobs end, come and are placed.
 */
export function measureCapacity(workers: number): CapacityFigures {
	globalThis.gc?.();
	const heapBefore = process.memoryUsage().heapUsed;
	const random = new Random(workers);
	const scheduler = schedulerWith(workers);
	const running = fill(scheduler, random, workers);
	let nextIndex = RUNNING_TASKS;
	for (let index = 0; index < WAITING_GANGS; index++) {
		scheduler.submit(jobOf(random, nextIndex++, 2 + Math.floor(random.next() * 15)), 0);
	}

	const tookMs: number[] = [];
	for (let round = 1; round <= ROUNDS; round++) {
		const nowMs = round * 1000;
		for (const jobId of [...running.keys()].slice(0, ENDS_PER_ROUND)) {
			scheduler.ended(jobId, 'completed', [], nowMs);
			running.delete(jobId);
			scheduler.submit(jobOf(random, nextIndex++, 1), nowMs);
		}

		const startMs = performance.now();
		const decisions = scheduler.decide(nowMs);
		tookMs.push(performance.now() - startMs);
		for (const decision of decisions) {
			if (decision.kind === 'place') {
				running.set(decision.jobId, decision.tasks.length);
				scheduler.started(decision.jobId, nowMs);
			} else if (decision.kind === 'preempt') {
				scheduler.ended(decision.jobId, 'stopped', [], nowMs);
				scheduler.requeue(decision.jobId, nowMs);
				running.delete(decision.jobId);
			}
		}
	}

	globalThis.gc?.();
	return {
		workers,
		runningTasks: taskCountOf(running),
		waitingJobs: scheduler.load().waitingJobs,
		decideMeanMs: mean(tookMs),
		decideP99Ms: quantile(tookMs, 0.99),
		decideMaxMs: Math.max(...tookMs),
		heapMb: (process.memoryUsage().heapUsed - heapBefore) / 1_048_576,
	};
}

/** Sizes that are measured: today, a larger failure domain, a seventh of the two-year plan, and all of it in one failure domain. */
export const CAPACITY_SIZES = [10, 100, 171, 1200] as const;
