import {performance} from 'node:perf_hooks';
import {ManualClock} from '@amaranthsail/core';
import {
	DEFAULT_LIMITS, type ListedRun, PoolCore, type Queue, type StepSpec, WORKER_STATES,
} from '@amaranthsail/pool';

/** Accelerators of each worker; the pool is filled with tasks of one. */
const ACCELERATORS_PER_WORKER = 8;

/** Gangs that wait for room, each as wide as two thirds of a rack. */
const WAITING_GANGS = 20;

const GANG_SIZE = 6;

const RACK_SIZE = 9;

const ROUNDS = 20;

/** Sizes at which rounds are measured: today's sites, three times the larger one, and the two-year plan. */
export const ROUND_SIZES = [11, 58, 171, 1200] as const;

/** What one scheduling round of a pool's leader takes. */
export type RoundFigures = {readonly workers: number; readonly runningTasks: number; readonly waitingGangs: number; readonly medianMs: number};

/**
 * Measures scheduling rounds of the pool's leader on a full pool, without any I/O.
 *
 * @param workerCount - Workers in the pool.
 * @returns The median time of a round in milliseconds.
 */
export function measureRounds(workerCount: number): RoundFigures {
	const clock = new ManualClock(100_000);
	const core = new PoolCore(clock, DEFAULT_LIMITS, () => undefined);
	core.setConfig({version: 1, queues: [makeQueue('batch')], accounts: [{name: 'a', keys: [], guaranteedAccelerators: 0}]});
	core.recover({jobs: [], runs: [], lives: []});
	const running = new Map<string, ListedRun[]>();
	reportAll(core, clock, workerCount, running);
	submit(core, clock, 'load', [makeStep({taskCount: workerCount * ACCELERATORS_PER_WORKER})]);
	core.tick();
	startAll(core, running);
	reportAll(core, clock, workerCount, running);
	for (let number = 0; number < WAITING_GANGS; number++) {
		submit(core, clock, `gang${number}`, [makeStep({
			taskCount: GANG_SIZE, isGang: true, prefersOneRack: true, shape: {cpuMillis: 1000, memoryMb: 1000, accelerators: ACCELERATORS_PER_WORKER},
		})]);
	}

	const timesMs: number[] = [];
	for (let round = 0; round < ROUNDS; round++) {
		clock.advance(100);
		const startMs = performance.now();
		core.tick();
		timesMs.push(performance.now() - startMs);
	}

	const medianMs = timesMs.toSorted((left, right) => left - right)[ROUNDS / 2]!;
	return {
		workers: workerCount, runningTasks: workerCount * ACCELERATORS_PER_WORKER, waitingGangs: WAITING_GANGS, medianMs,
	};
}

function makeQueue(name: string): Queue {
	return {
		name, host: 'h', pathPrefix: `/${name}/`, service: 's', priority: 2, maxAttempts: 3, stretch: 3, targetLatencyMs: 1000, isPublic: false,
	};
}

function makeStep(step: Partial<StepSpec>): StepSpec {
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

function submit(core: PoolCore, clock: ManualClock, id: string, steps: readonly StepSpec[]): void {
	core.onJobStored(id, {
		queue: 'batch', account: 'a', acceptedAtMs: clock.wallMs(), spec: {payload: '', steps},
	});
}

function reportAll(core: PoolCore, clock: ManualClock, workerCount: number, running: ReadonlyMap<string, readonly ListedRun[]>): void {
	for (let number = 0; number < workerCount; number++) {
		const life = `w${number}@1`;
		core.onReport(`agent${number}`, {
			facts: {
				life,
				id: `w${number}`,
				service: 's',
				failureDomain: 'd',
				state: WORKER_STATES.ready,
				capacity: {cpuMillis: 32_000, memoryMb: 64_000, accelerators: ACCELERATORS_PER_WORKER},
				labels: ['a', `r${Math.floor(number / RACK_SIZE)}`],
			},
			lists: {
				clockMs: clock.monotonicMs(), ageMs: 0, ordersBefore: Number.MAX_SAFE_INTEGER, ended: [], running: running.get(life) ?? [],
			},
		});
	}
}

/** Stores what is to be stored and carries out every start. */
function startAll(core: PoolCore, running: Map<string, ListedRun[]>): void {
	for (let commit = core.nextCommit(); commit; commit = core.nextCommit()) {
		commit.complete();
	}

	for (const {life, order} of core.takeOrders()) {
		const runs = running.get(life) ?? [];
		runs.push({
			task: order.task, run: order.run, checkpoint: '', percent: 1,
		});
		running.set(life, runs);
		core.onOrderOutcome(life, order, {kind: 'done'}, 1);
	}
}
