import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {AgentFleet, type FleetOptions} from './agent-fleet.js';
import {Latency, type LatencySummary} from './latency.js';
import {fitLine, type Line} from './least-squares.js';
import {storeUseOf, type StoreUse} from './load-system.js';
import {ProcessMeter, type IntervalUse} from './process-meter.js';

/** Figures of an owner at one number of agents. */
export type AgentFigures = {
	readonly agents: number;
	readonly runningTasks: number;
	readonly owner: IntervalUse;
	readonly otherEntry: IntervalUse;
	readonly platform: IntervalUse;
	/** This process with all emulated agents. */
	readonly emulation: IntervalUse;
	/** UDP payload from one agent to the owner. */
	readonly sentBytesPerSecondPerAgent: number;
	/** UDP payload from the owner to one agent. */
	readonly receivedBytesPerSecondPerAgent: number;
	readonly datagramsPerSecondPerAgent: number;
	readonly ack: LatencySummary;
	readonly storePerSecond: StoreUse;
};

/** Figures at all sizes, and lines over the number of agents. */
export type AgentsResult = {
	readonly sizes: readonly AgentFigures[];
	readonly ownerProcessorPercent: Line;
	readonly ownerResidentMb: Line;
	readonly ownerPrivateMb: Line;
};

async function measureFleet(fleet: AgentFleet, agents: number, seconds: number): Promise<AgentFigures> {
	await fleet.start();
	const ownerPid = await fleet.system.ownerPid();
	const {entries, platform} = fleet.system.local;
	const meter = new ProcessMeter(new Map([
		['owner', ownerPid],
		['otherEntry', entries.find(({pid}) => pid !== ownerPid)!.pid],
		['platform', platform.pid],
		['emulation', process.pid],
	]));
	const latency = new Latency();
	const countersBefore = await fleet.system.counters();
	const before = {...fleet.traffic};
	const startMs = performance.now();
	fleet.latency = latency;
	await sleep(seconds * 1000);
	fleet.latency = undefined;
	const measuredSeconds = (performance.now() - startMs) / 1000;
	const perAgent = agents * measuredSeconds;
	const after = {...fleet.traffic};
	const uses = meter.end();
	return {
		agents,
		runningTasks: fleet.runningCount,
		owner: uses.owner!,
		otherEntry: uses.otherEntry!,
		platform: uses.platform!,
		emulation: uses.emulation!,
		sentBytesPerSecondPerAgent: (after.sentBytes - before.sentBytes) / perAgent,
		receivedBytesPerSecondPerAgent: (after.receivedBytes - before.receivedBytes) / perAgent,
		datagramsPerSecondPerAgent: (after.sentDatagrams + after.receivedDatagrams - before.sentDatagrams - before.receivedDatagrams) / perAgent,
		ack: latency.summary(),
		storePerSecond: storeUseOf(countersBefore, await fleet.system.counters(), {divisor: measuredSeconds}),
	};
}

/**
 * Measures what agents cost the owner of their failure domain.
 *
 * @param settings - Sizes, seed, tasks and lengths in seconds.
 * @returns The figures at each size and their slopes.
 * @throws Error when a process does not start or tasks do not run in time.
 */
export async function measureAgents(settings: Omit<FleetOptions, 'agents'> & {readonly sizes: readonly number[]; readonly seconds: number}): Promise<AgentsResult> {
	const sizes: AgentFigures[] = [];
	for (const agents of settings.sizes) {
		const fleet = new AgentFleet({...settings, agents});
		try {
			sizes.push(await measureFleet(fleet, agents, settings.seconds));
		} finally {
			await fleet.stop();
		}
	}

	const lineOf = (valueOf: (use: IntervalUse) => number): Line => fitLine(sizes.map(({agents, owner}) => ({x: agents, y: valueOf(owner)})));
	return {
		sizes,
		ownerProcessorPercent: lineOf(use => use.processorPercent),
		ownerResidentMb: lineOf(use => use.residentMb),
		ownerPrivateMb: lineOf(use => use.privateMb),
	};
}
