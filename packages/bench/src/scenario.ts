/** Load and faults of a simulation. */
export type Scenario = {
	readonly name: string;
	/** Offered work over time, as a multiple of the capacity of all accelerators. */
	readonly load: (atMs: number) => number;
	/** Time window in which service under peak load is measured. */
	readonly peak: readonly [number, number];
	/** Whether declared run times are wrong by a factor of up to ten either way, and some declared work classes are wrong. */
	readonly wrongEstimates?: boolean;
	/** Fraction of the jobs that run ten times longer; their duplicate tasks do not. */
	readonly stragglerShare?: number;
	/** Number of workers on which every task fails during `failureWindow`. */
	readonly failingWorkers?: number;
	readonly failureWindow?: readonly [number, number];
	/** Fraction of the jobs that fail on every worker. */
	readonly poisonShare?: number;
	/** Time of a mass cancellation, and the share of the open jobs that it cancels. */
	readonly cancellation?: {readonly atMs: number; readonly share: number};
};

const MINUTE_MS = 60_000;

/** Arrivals end after this time; the simulation continues until all jobs are finished. */
export const ARRIVAL_PERIOD_MS = 60 * MINUTE_MS;

const BURST_WINDOW_MS: readonly [number, number] = [10 * MINUTE_MS, 20 * MINUTE_MS];

function burstLoad(burst: number, baseline: number): (atMs: number) => number {
	return atMs => atMs >= BURST_WINDOW_MS[0] && atMs < BURST_WINDOW_MS[1] ? burst : baseline;
}

/** The scenarios, by name. */
export const SCENARIOS: readonly Scenario[] = [
	{name: 'steady', load: () => 0.7, peak: BURST_WINDOW_MS},
	{name: 'swing', load: atMs => Math.floor(atMs / MINUTE_MS) % 5 === 0 ? 3 : 0.3, peak: [10 * MINUTE_MS, 11 * MINUTE_MS]},
	{name: 'storm', load: burstLoad(4, 0.5), peak: BURST_WINDOW_MS},
	{name: 'wrongEstimates', load: burstLoad(3, 0.6), peak: BURST_WINDOW_MS, wrongEstimates: true},
	{name: 'stragglers', load: () => 0.6, peak: BURST_WINDOW_MS, stragglerShare: 0.03},
	{
		name: 'failingWorkers', load: () => 0.5, peak: BURST_WINDOW_MS, failingWorkers: 2, failureWindow: BURST_WINDOW_MS, poisonShare: 0.01,
	},
	{name: 'cancellations', load: burstLoad(3, 0.5), peak: BURST_WINDOW_MS, cancellation: {atMs: 16 * MINUTE_MS, share: 0.4}},
];
