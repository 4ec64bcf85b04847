/** Load and faults of a run. */
export type Scenario = {
	readonly name: string;
	/** Offered work as a multiple of all accelerators, by time. */
	readonly load: (atMs: number) => number;
	/** The window whose service is measured. */
	readonly peak: readonly [number, number];
	/** Whether declared run times are off by up to ten times either way and part of the classes are wrong. */
	readonly wrongEstimates?: boolean;
	/** Part of the attempts that run ten times longer. */
	readonly stragglerShare?: number;
	/** Workers that fail everything in the failure window, and part of the jobs that fail everywhere. */
	readonly failingWorkers?: number;
	readonly failureWindow?: readonly [number, number];
	readonly poisonShare?: number;
	/** When and for which part of the open jobs a wave of cancellations comes. */
	readonly cancellation?: {readonly atMs: number; readonly share: number};
};

const MINUTE_MS = 60_000;

/** Arrivals end after this time; the run goes on until the work is done. */
export const ARRIVALS_MS = 60 * MINUTE_MS;

const BURST: readonly [number, number] = [10 * MINUTE_MS, 20 * MINUTE_MS];

function duringBurst(load: number, otherwise: number): (atMs: number) => number {
	return atMs => atMs >= BURST[0] && atMs < BURST[1] ? load : otherwise;
}

/** The scenarios, by name. */
export const SCENARIOS: readonly Scenario[] = [
	{name: 'steady', load: () => 0.7, peak: BURST},
	{name: 'swing', load: atMs => Math.floor(atMs / MINUTE_MS) % 5 === 0 ? 3 : 0.3, peak: [10 * MINUTE_MS, 11 * MINUTE_MS]},
	{name: 'storm', load: duringBurst(4, 0.5), peak: BURST},
	{name: 'wrongEstimates', load: duringBurst(3, 0.6), peak: BURST, wrongEstimates: true},
	{name: 'stragglers', load: () => 0.6, peak: BURST, stragglerShare: 0.03},
	{
		name: 'failingWorkers', load: () => 0.5, peak: BURST, failingWorkers: 2, failureWindow: BURST, poisonShare: 0.01,
	},
	{name: 'cancellations', load: duringBurst(3, 0.5), peak: BURST, cancellation: {atMs: 16 * MINUTE_MS, share: 0.4}},
];
