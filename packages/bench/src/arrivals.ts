import type {WorkClass} from '@amaranthsail/core';
import type {SchedulerJob} from '@amaranthsail/scheduler';
import type {Division, Form, WorkKind} from './division.js';
import type {Random} from './random.js';
import {ARRIVALS_MS, type Scenario} from './scenario.js';

/** One arrival with what the scheduler does not know. */
export type Arrival = {
	readonly job: SchedulerJob;
	readonly runMs: number;
	/** Run time of a second attempt. */
	readonly secondRunMs: number;
	/** Whether the work is short by its true kind, whatever was declared. */
	readonly isShort: boolean;
	readonly failsEverywhere: boolean;
	/** Drawn for the wave of cancellations. */
	readonly cancelDraw: number;
};

type Source = {readonly division: Division; readonly scenario: Scenario; readonly random: Random};

/** How much longer a straggler runs. */
const STRAGGLER_FACTOR = 10;

/** Part of the jobs whose declared class is wrong in the scenario with wrong estimates. */
const WRONG_CLASS_SHARE = 0.3;

/** Spread of the run time, relative to that of the kind, in the scenario with wrong estimates. */
const WRONG_ESTIMATE_SIGMA = 1.5;

function meanWorkMs(kind: WorkKind): number {
	let weights = 0;
	let accelerators = 0;
	for (const form of kind.forms) {
		weights += form.weight;
		accelerators += form.weight * form.taskCount * form.accelerators;
	}

	return kind.meanRunMs * accelerators / weights;
}

/** Mean time between arrivals at load 1. */
function meanGapMs(division: Division): number {
	let weights = 0;
	let workMs = 0;
	for (const kind of division.kinds) {
		weights += kind.weight;
		workMs += kind.weight * meanWorkMs(kind);
	}

	let workers = 0;
	for (const size of division.rackSizes) {
		workers += size;
	}

	return workMs / weights / (workers * division.capacity.accelerators);
}

function declaredClass(kind: WorkKind, scenario: Scenario, random: Random): WorkClass {
	const isWrong = random.next() < WRONG_CLASS_SHARE;
	return scenario.wrongEstimates && isWrong ? (kind.workClass === 'long' ? 'short' : 'long') : kind.workClass;
}

function shapeOf(division: Division, form: Form): SchedulerJob['spec']['shape'] {
	const {processors, memoryMb, accelerators} = division.capacity;
	const part = form.accelerators / accelerators;
	return {
		slots: 1, connections: 2, processors: Math.floor(processors * part), memoryMb: Math.floor(memoryMb * part), accelerators: form.accelerators,
	};
}

function arrivalOf({division, scenario, random}: Source, atMs: number, index: number): Arrival {
	const kind = random.pick(division.kinds);
	const form = random.pick(kind.forms);
	const {account, sizeFactor} = random.pick(division.accounts);
	const sigma = kind.runSigma * (scenario.wrongEstimates ? WRONG_ESTIMATE_SIGMA : 1);
	const runMs = random.logNormal(kind.meanRunMs * sizeFactor, sigma);
	const isStraggler = random.next() < (scenario.stragglerShare ?? 0);
	const error = scenario.wrongEstimates ? 10 ** ((2 * random.next()) - 1) : 1;
	return {
		job: {
			jobId: `job-${index}`,
			spec: {
				account,
				service: division.service,
				operation: kind.operation,
				workClass: declaredClass(kind, scenario, random),
				taskCount: form.taskCount,
				shape: shapeOf(division, form),
				adjacency: form.adjacency,
				repeatable: kind.repeatable,
				checkpointable: kind.repeatable,
				expectedRunMs: runMs * error,
			},
			submittedAtMs: atMs,
			attempts: 0,
			failedWorkers: [],
		},
		runMs: isStraggler ? runMs * STRAGGLER_FACTOR : runMs,
		secondRunMs: runMs,
		isShort: kind.workClass !== 'long',
		failsEverywhere: random.next() < (scenario.poisonShare ?? 0),
		cancelDraw: random.next(),
	};
}

/**
 * Draws the arrivals of a run.
 *
 * @param division - The division.
 * @param scenario - The scenario.
 * @param random - The source of random numbers.
 * @returns The arrivals in order of time.
 */
export function drawArrivals(division: Division, scenario: Scenario, random: Random): readonly Arrival[] {
	const arrivals: Arrival[] = [];
	const gapMs = meanGapMs(division);
	// Draws a unit of offered work at a time and spends it at the load of the moment, so that load changes take effect at once.
	let unspent = random.exponential(gapMs);
	for (let atMs = 0; atMs < ARRIVALS_MS; atMs += STEP_MS) {
		unspent -= scenario.load(atMs) * STEP_MS;
		while (unspent <= 0) {
			arrivals.push(arrivalOf({division, scenario, random}, atMs, arrivals.length));
			unspent += random.exponential(gapMs);
		}
	}

	return arrivals;
}

/** Resolution of arrival times. */
const STEP_MS = 100;
