import type {WorkClass} from '@amaranthsail/core';
import type {SchedulerJob} from '@amaranthsail/scheduler';
import type {Division, JobTemplate, WorkKind} from './division.js';
import type {Random} from './random.js';
import {ARRIVAL_PERIOD_MS, type Scenario} from './scenario.js';

/** An arriving job, with the properties that the scheduler does not know. */
export type Arrival = {
	readonly job: SchedulerJob;
	readonly runMs: number;
	/** Run time of duplicate tasks, which are never stragglers. */
	readonly duplicateRunMs: number;
	/** Whether the job is short by its actual kind, regardless of the declared class. */
	readonly isShort: boolean;
	readonly failsEverywhere: boolean;
	/** Random number from 0 to 1; the job is cancelled if it is below the share of the cancellation. */
	readonly cancellationDraw: number;
};

type ArrivalContext = {readonly division: Division; readonly scenario: Scenario; readonly random: Random};

/** Factor on the run time of a straggler. */
const STRAGGLER_FACTOR = 10;

/** Fraction of the jobs that declare a wrong work class in a scenario with wrong estimates. */
const WRONG_CLASS_SHARE = 0.3;

/** Factor on the run-time spread of a kind in a scenario with wrong estimates. */
const WRONG_ESTIMATE_SIGMA_FACTOR = 1.5;

/** Mean accelerator time of a job of this kind. */
function meanAcceleratorMs(kind: WorkKind): number {
	let weights = 0;
	let accelerators = 0;
	for (const template of kind.templates) {
		weights += template.weight;
		accelerators += template.weight * template.taskCount * template.accelerators;
	}

	return kind.meanRunMs * accelerators / weights;
}

/** Mean time between arrivals at load 1, at which the offered work equals the capacity. */
function meanInterarrivalMs(division: Division): number {
	let weights = 0;
	let acceleratorMs = 0;
	for (const kind of division.kinds) {
		weights += kind.weight;
		acceleratorMs += kind.weight * meanAcceleratorMs(kind);
	}

	let workers = 0;
	for (const size of division.rackSizes) {
		workers += size;
	}

	return acceleratorMs / weights / (workers * division.capacity.accelerators);
}

function declaredClass(kind: WorkKind, scenario: Scenario, random: Random): WorkClass {
	const isWrong = random.next() < WRONG_CLASS_SHARE;
	return scenario.wrongEstimates && isWrong ? (kind.workClass === 'long' ? 'short' : 'long') : kind.workClass;
}

function shapeOf(division: Division, template: JobTemplate): SchedulerJob['spec']['shape'] {
	const {processors, memoryMb, accelerators} = division.capacity;
	const share = template.accelerators / accelerators;
	return {
		slots: 1, connections: 2, processors: Math.floor(processors * share), memoryMb: Math.floor(memoryMb * share), accelerators: template.accelerators,
	};
}

function drawArrival({division, scenario, random}: ArrivalContext, atMs: number, index: number): Arrival {
	const kind = random.pickWeighted(division.kinds);
	const template = random.pickWeighted(kind.templates);
	const {account, sizeFactor} = random.pickWeighted(division.accounts);
	const sigma = kind.runSigma * (scenario.wrongEstimates ? WRONG_ESTIMATE_SIGMA_FACTOR : 1);
	const runMs = random.nextLogNormal(kind.meanRunMs * sizeFactor, sigma);
	const isStraggler = random.next() < (scenario.stragglerShare ?? 0);
	const estimateFactor = scenario.wrongEstimates ? 10 ** ((2 * random.next()) - 1) : 1;
	return {
		job: {
			jobId: `job-${index}`,
			spec: {
				account,
				service: division.service,
				operation: kind.operation,
				workClass: declaredClass(kind, scenario, random),
				taskCount: template.taskCount,
				shape: shapeOf(division, template),
				adjacency: template.adjacency,
				repeatable: kind.repeatable,
				checkpointable: kind.repeatable,
				expectedRunMs: runMs * estimateFactor,
			},
			submittedAtMs: atMs,
			attempts: 0,
			failedWorkers: [],
		},
		runMs: isStraggler ? runMs * STRAGGLER_FACTOR : runMs,
		duplicateRunMs: runMs,
		isShort: kind.workClass !== 'long',
		failsEverywhere: random.next() < (scenario.poisonShare ?? 0),
		cancellationDraw: random.next(),
	};
}

/**
 * Draws the arrivals of a simulation.
 *
 * @param division - The division.
 * @param scenario - The scenario.
 * @param random - The source of random numbers.
 * @returns The arrivals in order of time.
 */
export function drawArrivals(division: Division, scenario: Scenario, random: Random): readonly Arrival[] {
	const arrivals: Arrival[] = [];
	const interarrivalMs = meanInterarrivalMs(division);
	// The time to the next arrival elapses in proportion to the current load, so that load changes take effect at once.
	let untilNextMs = random.nextExponential(interarrivalMs);
	for (let atMs = 0; atMs < ARRIVAL_PERIOD_MS; atMs += ARRIVAL_STEP_MS) {
		untilNextMs -= scenario.load(atMs) * ARRIVAL_STEP_MS;
		while (untilNextMs <= 0) {
			arrivals.push(drawArrival({division, scenario, random}, atMs, arrivals.length));
			untilNextMs += random.nextExponential(interarrivalMs);
		}
	}

	return arrivals;
}

/** Resolution of arrival times. */
const ARRIVAL_STEP_MS = 100;
