import {ORDERINGS} from '@amaranthsail/scheduler';
import type {Division} from './division.js';
import {mean, type Measures} from './measures.js';
import type {Scenario} from './scenario.js';
import {Simulation, type BenchOrdering} from './simulation.js';

/** Gain over the baseline across seeds; above 1 is better. */
export type Gain = {readonly mean: number; readonly worst: number; readonly best: number};

/** Measures that gains are computed for: the four objectives, and the 99th percentile of the completion time. */
export const MEASURE_NAMES = ['completionMeanMs', 'completionP99Ms', 'fragmentation', 'peakService', 'shortWaitP99Ms'] as const;

/** Figures of one ordering in one scenario. */
export type PolicyFigures = {
	readonly division: string;
	readonly scenario: string;
	readonly ordering: BenchOrdering;
	readonly gains: Readonly<Record<(typeof MEASURE_NAMES)[number], Gain>>;
	/** Means over the seeds. */
	readonly means: Readonly<Record<keyof Measures, number>>;
	readonly reclaimMaxMs: number;
	readonly claimWaitMaxMs: number;
};

/** Smaller values count as these, because ratios of them are noise: a wait of one decision batch, or a thousandth of the accelerators. */
const MIN_COMPARED_VALUES: Readonly<Record<(typeof MEASURE_NAMES)[number], number>> = {
	completionMeanMs: 1, completionP99Ms: 1, fragmentation: 0.001, peakService: 0.001, shortWaitP99Ms: 20,
};

function computeGain(name: (typeof MEASURE_NAMES)[number], baseline: readonly Measures[], runs: readonly Measures[]): Gain {
	const gains = runs.map((run, index) => {
		const value = Math.max(run[name], MIN_COMPARED_VALUES[name]);
		const baselineValue = Math.max(baseline[index]![name], MIN_COMPARED_VALUES[name]);
		return name === 'peakService' ? value / baselineValue : baselineValue / value;
	});
	// Geometric mean, so that gains of 2 and 1/2 cancel out.
	return {mean: Math.exp(mean(gains.map(gain => Math.log(gain)))), worst: Math.min(...gains), best: Math.max(...gains)};
}

/**
 * Replays a scenario under every ordering.
 *
 * @param division - The division.
 * @param scenario - The scenario.
 * @param seeds - Seeds of the arrivals; the same for each ordering.
 * @returns One entry per ordering, the baseline first.
 */
export function comparePolicies(division: Division, scenario: Scenario, seeds: readonly number[]): readonly PolicyFigures[] {
	const orderings: readonly BenchOrdering[] = [...ORDERINGS, 'strictArrival'];
	const runsByOrdering = orderings.map(ordering => seeds.map(seed => new Simulation(division, scenario, ordering, seed).run()));
	return orderings.map((ordering, index): PolicyFigures => {
		const orderingRuns = runsByOrdering[index]!;
		const measureNames = Object.keys(orderingRuns[0]!) as Array<keyof Measures>;
		return {
			division: division.name,
			scenario: scenario.name,
			ordering,
			gains: Object.fromEntries(MEASURE_NAMES.map(name => [name, computeGain(name, runsByOrdering[0]!, orderingRuns)])) as PolicyFigures['gains'],
			means: Object.fromEntries(measureNames.map(name => [name, mean(orderingRuns.map(run => run[name]))])) as PolicyFigures['means'],
			reclaimMaxMs: Math.max(...orderingRuns.map(run => run.reclaimMaxMs)),
			claimWaitMaxMs: Math.max(...orderingRuns.map(run => run.claimWaitMaxMs)),
		};
	});
}

function formatGain(gain: Gain): string {
	return `${gain.mean.toFixed(2)} (${gain.worst.toFixed(2)}..${gain.best.toFixed(2)})`.padEnd(21);
}

/** Column headings for {@link formatFigures}. */
export const FIGURES_HEADER = ['gain over firstFit: mean (worst..best seed)', ...['completion', 'p99 completion', 'fragmentation', 'peak service', 'short wait p99']
	.map(head => head.padEnd(21)), 'reclaim max'].join(' ');

/**
 * Formats the figures of one ordering as a line.
 *
 * @param figures - The figures.
 * @returns The line.
 */
export function formatFigures(figures: PolicyFigures): string {
	const {means} = figures;
	const label = `${figures.division} ${figures.scenario} ${figures.ordering}`.padEnd(42);
	const gains = MEASURE_NAMES.map(name => formatGain(figures.gains[name])).join(' ');
	const counts = `failed ${means.failed.toFixed(1)} refused ${means.refused.toFixed(1)} unfinished ${means.unfinished.toFixed(1)}`;
	const values = [
		`${(means.completionMeanMs / 1000).toFixed(0)} s`,
		`${(means.completionP99Ms / 1000).toFixed(0)} s`,
		means.fragmentation.toFixed(3),
		means.peakService.toFixed(2),
		`${(means.shortWaitP99Ms / 1000).toFixed(1)} s`,
		`work ${means.peakWork.toFixed(2)}`,
	].join(', ');
	return `${label} ${gains} ${figures.reclaimMaxMs.toFixed(0)} ms (${means.reclaims.toFixed(1)}), claim ${figures.claimWaitMaxMs.toFixed(0)} ms | ${values} | ${counts}`;
}
