import type {Run, StepState} from './job-model.js';
import type {PaceSample} from './pace-observation.js';

/** A normal distribution of a logarithm. */
export type Belief = {readonly mean: number; readonly precision: number};

/** Spread of the logarithms of tasks' paces within a gang, whose members have the same size. */
const GANG_NOISE = 0.05;

/** The same within other steps, whose tasks differ by about 30%. */
const TASK_NOISE = 0.3;

/** The same of callers' estimates against true run times. */
const ESTIMATE_SPREAD = 0.6;

/** Spread of workers' speeds; that of speeds of 0.7, 0.7 and 1.7 is 0.42. */
const SPEED_SPREAD = 0.4;

/** What is believed of the speed of a worker without evidence. */
export const UNKNOWN_SPEED: Belief = {mean: 0, precision: 1 / (SPEED_SPREAD ** 2)};

/** Uncertainty of the time at which the work of a run began. */
const START_NOISE_MS = 150;

/** Error of a difference of two whole percents. */
const PERCENT_NOISE = 0.7;

/** Percents between two readings from which the time since the start, which is less certain, is left out. */
const MIN_PERCENTS_BETWEEN_READINGS = 10;

/** Variance of a worker's speed between its runs, so that a single run never counts for more than 50. */
const RUN_VARIANCE = 0.02;

/** Square of the deviations, as multiples of the expected one, from which evidence counts less: 3% of tasks run 7 times longer. */
const MAX_DEVIATION_SQUARE = 4;

/** Newest runs of a worker that count; the estimate follows a changed speed within this number of runs. */
const MAX_RUNS = 16;

/** Step effect: what the runs of a step show of the logarithm of its pace in percent per millisecond at speed 1. */
class StepEffect {
	precision = 0;
	weightedMean = 0;
	/** Latest start of the work that is known for a run with this number; the members of a gang begin together. */
	startMs = 0;
	#runNumber = 0;
	readonly #prior: Belief;

	constructor(step: StepState) {
		this.#prior = {mean: Math.log(100 / Math.max(1, step.spec.estimatedMs)), precision: 1 / (ESTIMATE_SPREAD ** 2)};
		this.reset();
	}

	reset(): void {
		this.precision = this.#prior.precision;
		this.weightedMean = this.#prior.precision * this.#prior.mean;
	}

	recordStart(runNumber: number, startMs: number): void {
		this.startMs = runNumber === this.#runNumber ? Math.max(this.startMs, startMs) : startMs;
		this.#runNumber = runNumber;
	}
}

/** Evidence of one run about its step and its worker. */
class RunEvidence {
	/** Message of belief propagation: what the run and the rest of its step show of the worker's log speed. */
	toWorker: Belief = {mean: 0, precision: 0};
	/** Message of belief propagation: what the run and its worker's other runs show of the step effect. */
	toStep: Belief = {mean: 0, precision: 0};
	/** Logarithm of its pace, and variance of that; undefined while too little is seen. */
	observed?: {readonly logPace: number; variance: number};
	readonly #isGang: boolean;
	readonly #between = {percents: 0, intervalMs: 0};
	#sinceStart?: {readonly percents: number; readonly startMs: number; readonly asOfMs: number};

	constructor(readonly run: Run, readonly step: StepEffect) {
		this.#isGang = run.task.step.spec.isGang;
	}

	add(sample: PaceSample, progress: {readonly percents: number; readonly intervalMs: number}): void {
		if (sample.isFromStart) {
			const startMs = sample.asOfMs - sample.intervalMs;
			this.#sinceStart = {percents: sample.percents, startMs, asOfMs: sample.asOfMs};
			if (this.#isGang) {
				this.step.recordStart(this.run.number, startMs);
			}
		} else {
			this.#between.percents += progress.percents;
			this.#between.intervalMs += progress.intervalMs;
		}
	}

	/** The start of a gang may have become known more precisely since the last call. */
	refresh(): void {
		const noise = this.#isGang ? GANG_NOISE : TASK_NOISE;
		const usesStart = this.#sinceStart !== undefined && this.#between.percents < MIN_PERCENTS_BETWEEN_READINGS;
		const startMs = this.#isGang ? Math.max(this.#sinceStart?.startMs ?? 0, this.step.startMs) : this.#sinceStart?.startMs ?? 0;
		const percents = this.#between.percents + (usesStart ? this.#sinceStart!.percents : 0);
		const intervalMs = this.#between.intervalMs + (usesStart ? this.#sinceStart!.asOfMs - startMs : 0);
		if (percents <= 0 || intervalMs < START_NOISE_MS) {
			this.observed = undefined;
			return;
		}

		this.observed = {
			logPace: Math.log(percents / intervalMs),
			variance: (noise ** 2) + ((PERCENT_NOISE / percents) ** 2) + (usesStart ? (START_NOISE_MS / intervalMs) ** 2 : 0),
		};
	}
}

/** What is known of the speed of one worker VM. */
export class WorkerEvidence {
	belief = UNKNOWN_SPEED;
	readonly #runs: RunEvidence[] = [];
	#prior = UNKNOWN_SPEED;

	/** Weight of the evidence; 0 for an unknown worker. */
	get weight(): number {
		return Math.max(0, this.belief.precision - UNKNOWN_SPEED.precision);
	}

	get runs(): readonly RunEvidence[] {
		return this.#runs;
	}

	/** @param prior - What an earlier leader knew; runs that were observed since count in addition. */
	adopt(prior: Belief): void {
		this.#prior = prior;
		if (this.#runs.length === 0) {
			this.belief = prior;
		}
	}

	/** Adds progress of a run, and drops the oldest run if there are too many. */
	add(sample: PaceSample, progress: {readonly percents: number; readonly intervalMs: number}, effectOf: () => StepEffect): void {
		let evidence = this.#runs.find(candidate => candidate.run === sample.run);
		if (!evidence) {
			evidence = new RunEvidence(sample.run, effectOf());
			this.#runs.push(evidence);
			if (this.#runs.length > MAX_RUNS) {
				this.#runs.shift();
			}
		}

		evidence.add(sample, progress);
	}

	/** @param maxWeight - Weight with which the present estimate counts from now on, instead of the runs. */
	condense(maxWeight: number): void {
		this.#prior = {mean: this.belief.mean, precision: UNKNOWN_SPEED.precision + Math.min(this.weight, maxWeight)};
		this.belief = this.#prior;
		this.#runs.length = 0;
	}

	/** Infers the worker's speed from the present beliefs about the steps of its runs. */
	updateBelief(): void {
		const earlier = this.belief;
		let {precision} = this.#prior;
		let weightedMean = precision * this.#prior.mean;
		for (const evidence of this.#runs) {
			const {observed, step, toStep, toWorker} = evidence;
			if (!observed) {
				evidence.toWorker = {mean: 0, precision: 0};
				continue;
			}

			const ofStep = without({precision: step.precision, weightedMean: step.weightedMean}, toStep);
			const ofWorker = without({precision: earlier.precision, weightedMean: earlier.precision * earlier.mean}, toWorker);
			const deviation = observed.logPace - ofStep.mean - ofWorker.mean;
			const expectedVariance = observed.variance + (1 / ofStep.precision) + (1 / ofWorker.precision);
			observed.variance += Math.max(0, ((deviation ** 2) / MAX_DEVIATION_SQUARE) - expectedVariance);
			evidence.toWorker = {mean: observed.logPace - ofStep.mean, precision: 1 / (observed.variance + RUN_VARIANCE + (1 / ofStep.precision))};
			precision += evidence.toWorker.precision;
			weightedMean += evidence.toWorker.precision * evidence.toWorker.mean;
		}

		this.belief = {mean: weightedMean / precision, precision};
	}

	/** Passes on to the steps of its runs what is believed of the worker. */
	updateMessagesToSteps(): void {
		for (const evidence of this.#runs) {
			const {observed, toWorker} = evidence;
			if (observed) {
				const ofWorker = without({precision: this.belief.precision, weightedMean: this.belief.precision * this.belief.mean}, toWorker);
				evidence.toStep = {mean: observed.logPace - ofWorker.mean, precision: 1 / (observed.variance + (1 / ofWorker.precision))};
			} else {
				evidence.toStep = {mean: 0, precision: 0};
			}
		}
	}
}

/** Effects of the steps whose runs are evidence. */
export class StepEffects {
	readonly #effects = new WeakMap<StepState, StepEffect>();

	/** @returns The effect of a step. */
	of(step: StepState): StepEffect {
		let effect = this.#effects.get(step);
		if (!effect) {
			effect = new StepEffect(step);
			this.#effects.set(step, effect);
		}

		return effect;
	}
}

/** A few iterations are enough, since the messages are kept from one call to the next. */
const ITERATIONS = 4;

/**
 * Estimates step effects and worker speeds together, by belief propagation over the runs. Takes time proportional to
 * the number of runs.
 *
 * @param workers - The workers; their beliefs are updated.
 */
export function inferSpeeds(workers: Iterable<WorkerEvidence>): void {
	const evident = [...workers].filter(worker => worker.runs.length > 0);
	for (let iteration = 0; iteration < ITERATIONS; iteration++) {
		for (const {runs} of evident) {
			for (const evidence of runs) {
				evidence.refresh();
				evidence.step.reset();
			}
		}

		for (const {runs} of evident) {
			for (const {step, toStep} of runs) {
				step.precision += toStep.precision;
				step.weightedMean += toStep.precision * toStep.mean;
			}
		}

		for (const worker of evident) {
			worker.updateBelief();
			worker.updateMessagesToSteps();
		}
	}
}

/** @returns The belief without one of the messages that it was formed from. */
function without(belief: {readonly precision: number; readonly weightedMean: number}, message: Belief): Belief {
	const precision = belief.precision - message.precision;
	return {mean: (belief.weightedMean - (message.precision * message.mean)) / precision, precision};
}
