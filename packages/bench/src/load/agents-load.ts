import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {AgentFleet, type FleetOptions} from './agent-fleet.js';
import {LatencyHistogram, type LatencySummary} from './latency.js';
import {fitLine, type Line} from './least-squares.js';
import {computeStoreUse, type StoreUse} from './load-system.js';
import {ProcessMeter, type IntervalUse} from './process-meter.js';

/** Figures of the owner at one number of agents. */
export type AgentFigures = {
	readonly agents: number;
	readonly runningTasks: number;
	readonly owner: IntervalUse;
	readonly otherEntry: IntervalUse;
	readonly platform: IntervalUse;
	/** This process, which emulates all agents. */
	readonly emulation: IntervalUse;
	/** UDP payload from one agent to the owner. */
	readonly sentBytesPerSecondPerAgent: number;
	/** UDP payload from the owner to one agent. */
	readonly receivedBytesPerSecondPerAgent: number;
	readonly datagramsPerSecondPerAgent: number;
	readonly ack: LatencySummary;
	readonly storePerSecond: StoreUse;
};

/** Figures at all sizes, and linear fits over the number of agents. */
export type AgentsResult = {
	readonly sizes: readonly AgentFigures[];
	readonly ownerProcessorPercent: Line;
	readonly ownerResidentMb: Line;
	readonly ownerPrivateMb: Line;
};

async function measureFleet(fleet: AgentFleet, agents: number, seconds: number): Promise<AgentFigures> {
	await fleet.start();
	const ownerPid = await fleet.system.findOwnerPid();
	const {entries, platform} = fleet.system.local;
	const meter = new ProcessMeter(new Map([
		['owner', ownerPid],
		['otherEntry', entries.find(({pid}) => pid !== ownerPid)!.pid],
		['platform', platform.pid],
		['emulation', process.pid],
	]));
	const histogram = new LatencyHistogram();
	const storeCountersBefore = await fleet.system.readCounters();
	const trafficBefore = {...fleet.traffic};
	const startMs = performance.now();
	fleet.histogram = histogram;
	await sleep(seconds * 1000);
	fleet.histogram = undefined;
	const measuredSeconds = (performance.now() - startMs) / 1000;
	const agentSeconds = agents * measuredSeconds;
	const trafficAfter = {...fleet.traffic};
	const uses = meter.end();
	return {
		agents,
		runningTasks: fleet.runningTaskCount,
		owner: uses.owner!,
		otherEntry: uses.otherEntry!,
		platform: uses.platform!,
		emulation: uses.emulation!,
		sentBytesPerSecondPerAgent: (trafficAfter.sentBytes - trafficBefore.sentBytes) / agentSeconds,
		receivedBytesPerSecondPerAgent: (trafficAfter.receivedBytes - trafficBefore.receivedBytes) / agentSeconds,
		datagramsPerSecondPerAgent: (trafficAfter.sentDatagrams + trafficAfter.receivedDatagrams - trafficBefore.sentDatagrams - trafficBefore.receivedDatagrams) / agentSeconds,
		ack: histogram.summary(),
		storePerSecond: computeStoreUse(storeCountersBefore, await fleet.system.readCounters(), {divisor: measuredSeconds}),
	};
}

/**
 * Measures the load that agents put on the owner of their failure domain.
 *
 * @param settings - Numbers of agents, seed, tasks per agent, and durations in seconds.
 * @returns The figures at each size and the fitted lines.
 * @throws Error when a process does not start, or tasks do not run, in time.
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

	const fitOverAgents = (selectValue: (use: IntervalUse) => number): Line => fitLine(sizes.map(({agents, owner}) => ({x: agents, y: selectValue(owner)})));
	return {
		sizes,
		ownerProcessorPercent: fitOverAgents(use => use.processorPercent),
		ownerResidentMb: fitOverAgents(use => use.residentMb),
		ownerPrivateMb: fitOverAgents(use => use.privateMb),
	};
}
