import {expect} from 'chai';
import fc from 'fast-check';
import {PoolOracle} from './support/pool-oracle.js';
import {
	canRun, type PlannedJob, type PlannedTrouble, PoolSimulation, STEP_MS, TROUBLES,
} from './support/pool-simulation.js';
import type {StepSpec} from '@amaranthsail/pool';

const SEED = 2;
const SIMULATION_COUNT = 25;
const WORKER_COUNT = 15;

/** All trouble has ended by then, and the jobs have this long to end. */
const MAX_DURATION_MS = 150_000;

/** Lasting jobs are cancelled then, so that wide gangs can end. */
const LASTING_MS = 50_000;

const stepTime = (maxMs: number): fc.Arbitrary<number> => fc.integer({min: 1, max: maxMs / STEP_MS}).map(steps => steps * STEP_MS);

type PlannedStep = {readonly spec: StepSpec; readonly workMs: number};

const stepArbitrary: fc.Arbitrary<PlannedStep> = fc.record({
	workMs: stepTime(6000),
	estimateFactor: fc.constantFrom(0.5, 1, 1, 2),
	taskCount: fc.constantFrom(1, 1, 1, 2, 3, 6),
	cpuMillis: fc.constantFrom(500, 1000, 4000, 8000),
	accelerators: fc.constantFrom(0, 1, 4, 8),
	isGang: fc.boolean(),
	prefersOneRack: fc.boolean(),
	isCheckpointing: fc.boolean(),
	requiredLabel: fc.constantFrom(undefined, undefined, undefined, 'a', 'b'),
	preferredRack: fc.constantFrom(undefined, undefined, 'r0', 'r1', 'r2'),
	maxPerWorker: fc.constantFrom(undefined, undefined, undefined, 1, 2),
}).map(({workMs, estimateFactor, taskCount, cpuMillis, accelerators, requiredLabel, preferredRack, maxPerWorker, ...spec}) => ({
	workMs,
	spec: {
		...spec,
		// What needs a label has to fit onto the few workers that have it.
		taskCount: requiredLabel === 'b' ? Math.min(taskCount, 2) : taskCount,
		shape: {cpuMillis: taskCount > 3 ? Math.min(cpuMillis, 1000) : cpuMillis, memoryMb: 1000, accelerators: taskCount > 3 ? Math.min(accelerators, 1) : accelerators},
		estimatedMs: Math.round(workMs * estimateFactor),
		after: [],
		isLasting: false,
		...(requiredLabel !== undefined && {requiredLabel}),
		...(preferredRack !== undefined && {preferredRack}),
		...(maxPerWorker !== undefined && {maxPerWorker}),
	},
}));

const jobArbitrary: fc.Arbitrary<PlannedJob> = fc.record({
	atMs: stepTime(20_000),
	queue: fc.constantFrom('urgent', 'normal', 'normal', 'batch', 'plain', 'plain'),
	account: fc.constantFrom('north', 'south', 'east'),
	planned: fc.array(stepArbitrary, {minLength: 1, maxLength: 3}),
	isLasting: fc.constantFrom(false, false, false, false, true),
	occurrences: fc.constantFrom(1, 1, 1, 4),
	isHopeless: fc.constantFrom(false, false, false, false, true),
	cancelAfterMs: fc.option(stepTime(6000), {freq: 10}),
}).map(({planned, isLasting, cancelAfterMs, ...job}) => {
	const steps = isLasting ? planned.slice(0, 1) : planned;
	const specs = steps.map(({spec}, number) => {
		const step = {
			...spec,
			isLasting,
			isGang: spec.isGang && !isLasting,
			after: number === 0 ? [] : [number - 1],
			...(job.queue === 'plain' && {shape: {...spec.shape, accelerators: 0}}),
		};
		const {requiredLabel, maxPerWorker, ...anywhere} = step;
		return canRun(step, job.queue, WORKER_COUNT) ? step : {...anywhere, taskCount: 2};
	});
	return {
		...job,
		...(isLasting && {occurrences: 1, isHopeless: false}),
		cancelAfterMs: isLasting ? LASTING_MS : (cancelAfterMs ?? undefined),
		workMs: steps.map(step => step.workMs),
		steps: specs,
	};
});

const troubleArbitrary: fc.Arbitrary<PlannedTrouble> = fc.record({
	atMs: stepTime(20_000),
	kind: fc.constantFrom(...TROUBLES),
	worker: fc.nat({max: WORKER_COUNT - 1}),
	forMs: fc.oneof(stepTime(1500), stepTime(6000), stepTime(14_000)),
	isVariant: fc.boolean(),
});

const planArbitrary = fc.record({
	jobs: fc.array(jobArbitrary, {minLength: 8, maxLength: 25}),
	troubles: fc.array(troubleArbitrary, {maxLength: 12}),
});

/** Runs a simulation until all jobs have ended. */
function simulate(plan: {readonly jobs: readonly PlannedJob[]; readonly troubles: readonly PlannedTrouble[]}): number {
	const simulation = new PoolSimulation(WORKER_COUNT, plan);
	const oracle = new PoolOracle(simulation);
	while (simulation.nowMs < MAX_DURATION_MS && !(oracle.isFinished && simulation.isCalm && simulation.nowMs > 45_000)) {
		simulation.step();
		oracle.check();
	}

	oracle.checkStarts();
	expect(oracle.isFinished, 'all jobs end').to.equal(true);
	return simulation.starts.length;
}

describe('accepted work under random trouble', () => {
	it('is neither lost nor done twice, and does not wait beside idle capacity', () => {
		let startCount = 0;
		fc.assert(fc.property(planArbitrary, plan => {
			startCount += simulate(plan);
		}), {seed: SEED, numRuns: SIMULATION_COUNT, endOnFailure: true});
		// Without starts the property would hold trivially.
		expect(startCount).to.be.greaterThan(SIMULATION_COUNT * 10);
	}).timeout(60_000);
});
