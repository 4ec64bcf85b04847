import {performance} from 'node:perf_hooks';
import {ManualClock} from '@amaranthsail/core';
import {
	DEFAULT_LIMITS, type ListedRun, PoolCore, type Queue, type StepSpec, WORKER_STATES,
} from '@amaranthsail/pool';

/** Accelerators of each worker; the pool is filled with tasks that use one each. */
const ACCELERATORS_PER_WORKER = 8;

/** Gangs that wait for free capacity; each needs as many whole workers as it has tasks, two thirds of a rack. */
const WAITING_GANG_COUNT = 20;

const TASKS_PER_GANG = 6;

const WORKERS_PER_RACK = 9;

const ROUND_COUNT = 20;

/** Measured numbers of workers: the two sites of today, three times the larger site, and the two-year plan. */
export const ROUND_WORKER_COUNTS = [11, 58, 171, 1200] as const;

/** Time of a scheduling round of a pool's leader. */
export type RoundFigures = {readonly workers: number; readonly runningTasks: number; readonly waitingGangs: number; readonly medianMs: number};

/**
 * Measures scheduling rounds of the pool's leader on a full pool, without any I/O.
 *
 * @param workerCount - Number of workers in the pool.
 * @returns The size of the pool and the median time of a round.
 */
export function measureRounds(workerCount: number): RoundFigures {
	const clock = new ManualClock(100_000);
	const core = new PoolCore(clock, DEFAULT_LIMITS, () => undefined);
	core.setConfig({version: 1, queues: [createQueue('batch')], accounts: [{name: 'a', keys: [], guaranteedAccelerators: 0}]});
	core.recover({jobs: [], runs: [], incarnations: []});
	const runsByIncarnation = new Map<string, ListedRun[]>();
	reportAllWorkers(core, clock, workerCount, runsByIncarnation);
	submitJob(core, clock, 'load', [createStep({taskCount: workerCount * ACCELERATORS_PER_WORKER})]);
	core.tick();
	startOrderedRuns(core, runsByIncarnation);
	reportAllWorkers(core, clock, workerCount, runsByIncarnation);
	for (let index = 0; index < WAITING_GANG_COUNT; index++) {
		submitJob(core, clock, `gang${index}`, [createStep({
			taskCount: TASKS_PER_GANG, isGang: true, prefersOneRack: true, shape: {cpuMillis: 1000, memoryMb: 1000, accelerators: ACCELERATORS_PER_WORKER},
		})]);
	}

	const durationsMs: number[] = [];
	for (let round = 0; round < ROUND_COUNT; round++) {
		clock.advance(100);
		const startMs = performance.now();
		core.tick();
		durationsMs.push(performance.now() - startMs);
	}

	const medianMs = durationsMs.toSorted((left, right) => left - right)[ROUND_COUNT / 2]!;
	return {
		workers: workerCount, runningTasks: workerCount * ACCELERATORS_PER_WORKER, waitingGangs: WAITING_GANG_COUNT, medianMs,
	};
}

function createQueue(name: string): Queue {
	return {
		name, host: 'h', pathPrefix: `/${name}/`, service: 's', priority: 2, maxAttempts: 3, stretch: 3, targetLatencyMs: 1000, isPublic: false,
	};
}

function createStep(step: Partial<StepSpec>): StepSpec {
	return {
		taskCount: 1,
		shape: {cpuMillis: 1000, memoryMb: 1000, accelerators: 1},
		estimatedMs: 60_000,
		after: [],
		isGang: false,
		prefersOneRack: false,
		isCheckpointing: false,
		isLasting: false,
		...step,
	};
}

function submitJob(core: PoolCore, clock: ManualClock, id: string, steps: readonly StepSpec[]): void {
	core.onJobStored(id, {
		queue: 'batch', account: 'a', acceptedAtMs: clock.wallMs(), spec: {payload: '', steps},
	});
}

function reportAllWorkers(core: PoolCore, clock: ManualClock, workerCount: number, runsByIncarnation: ReadonlyMap<string, readonly ListedRun[]>): void {
	for (let index = 0; index < workerCount; index++) {
		const incarnation = `w${index}@1`;
		core.onReport(`agent${index}`, {
			facts: {
				life: incarnation,
				id: `w${index}`,
				service: 's',
				failureDomain: 'd',
				state: WORKER_STATES.ready,
				capacity: {cpuMillis: 32_000, memoryMb: 64_000, accelerators: ACCELERATORS_PER_WORKER},
				labels: ['a', `r${Math.floor(index / WORKERS_PER_RACK)}`],
			},
			lists: {
				clockMs: clock.monotonicMs(), ageMs: 0, ordersBefore: Number.MAX_SAFE_INTEGER, ended: [], running: runsByIncarnation.get(incarnation) ?? [],
			},
		});
	}
}

/** Completes all pending writes, then confirms every ordered start as a running run. */
function startOrderedRuns(core: PoolCore, runsByIncarnation: Map<string, ListedRun[]>): void {
	for (let commit = core.nextCommit(); commit; commit = core.nextCommit()) {
		commit.complete();
	}

	for (const {incarnation, order} of core.takeOrders()) {
		const runs = runsByIncarnation.get(incarnation) ?? [];
		runs.push({
			task: order.task, run: order.run, checkpoint: '', percent: 1,
		});
		runsByIncarnation.set(incarnation, runs);
		core.onOrderOutcome(incarnation, order, {kind: 'done'}, 1);
	}
}
