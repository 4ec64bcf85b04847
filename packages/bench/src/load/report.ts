import type {AgentsResult} from './agents-load.js';
import type {ConfigFigures} from './config-load.js';
import type {LatencySummary} from './latency.js';
import type {Line} from './least-squares.js';
import type {StoreUse} from './load-system.js';
import type {PathResult} from './path-load.js';
import type {IntervalUse} from './process-meter.js';

function formatLatency({medianMs, p99Ms, maxMs, count}: LatencySummary): string {
	return `median ${medianMs.toFixed(2)} ms, p99 ${p99Ms.toFixed(2)} ms, max ${maxMs.toFixed(2)} ms (n=${count})`;
}

function formatProcessUse({processorPercent, residentMb, privateMb}: IntervalUse): string {
	return `${processorPercent.toFixed(2)}% of a core, resident ${residentMb.toFixed(1)} MB, private ${privateMb.toFixed(1)} MB`;
}

function formatStoreUse({reads, rowsRead, transactions, writes, objects}: StoreUse): string {
	return `reads ${reads.toFixed(2)}, rows read ${rowsRead.toFixed(2)}, transactions ${transactions.toFixed(2)}, rows written ${writes.toFixed(2)}, objects ${objects.toFixed(2)}`;
}

function formatLine(name: string, {slope, intercept, maxResidual}: Line): string {
	return `${name}: ${intercept.toFixed(3)} + ${slope.toFixed(4)} per agent (largest residual ${maxResidual.toFixed(3)})`;
}

function formatProcessUses(uses: Readonly<Record<string, IntervalUse>>, jobs?: number): readonly string[] {
	return Object.entries(uses).map(([name, use]) =>
		`  ${name}: ${formatProcessUse(use)}${jobs === undefined ? '' : `, ${(use.processorMs / jobs).toFixed(2)} ms processor time per job`}`);
}

/**
 * Formats the figures of the whole path of a job.
 *
 * @param result - The figures.
 * @returns Lines of text.
 */
export function formatPath({idleStorePerSecond, idleProcesses, levels, cli}: PathResult): readonly string[] {
	return [
		`store operations per second when idle: ${formatStoreUse(idleStorePerSecond)}`,
		...formatProcessUses(idleProcesses),
		...levels.flatMap(({concurrency, jobsPerSecond, latency, storePerJob, processes}) => [
			`concurrency ${concurrency}: ${jobsPerSecond.toFixed(1)} jobs/s, ${formatLatency(latency)}`,
			`  store operations per job: ${formatStoreUse(storePerJob)}`,
			...formatProcessUses(processes, latency.count),
		]),
		`cli status: ${cli.processorMs} ms processor time, largest resident ${cli.residentMb.toFixed(1)} MB, private ${cli.privateMb.toFixed(1)} MB`,
	];
}

/**
 * Formats the figures of agents and the fitted lines.
 *
 * @param result - The figures.
 * @returns Lines of text.
 */
export function formatAgents(result: AgentsResult): readonly string[] {
	return [
		...result.sizes.flatMap(size => [
			`${size.agents} agents, ${size.runningTasks} running tasks: ack ${formatLatency(size.ack)}`,
			`  store operations per second: ${formatStoreUse(size.storePerSecond)}`,
			`  owner: ${formatProcessUse(size.owner)}`,
			`  other entry: ${formatProcessUse(size.otherEntry)}`,
			`  platform: ${formatProcessUse(size.platform)}`,
			`  emulation: ${formatProcessUse(size.emulation)}`,
			`  per agent and second: ${size.sentBytesPerSecondPerAgent.toFixed(0)} B sent, ${size.receivedBytesPerSecondPerAgent.toFixed(0)} B received, `
			+ `${size.datagramsPerSecondPerAgent.toFixed(2)} datagrams`,
		]),
		formatLine('owner processor time, % of a core', result.ownerProcessorPercent),
		formatLine('owner resident MB', result.ownerResidentMb),
		formatLine('owner private MB', result.ownerPrivateMb),
	];
}

/**
 * Formats the figures of configuration changes.
 *
 * @param figures - The figures at each size.
 * @returns Lines of text.
 */
export function formatConfig(figures: readonly ConfigFigures[]): readonly string[] {
	return figures.flatMap(({agents, accepted, atAgents, reported}) => [
		`${agents} agents: accepted ${formatLatency(accepted)}`,
		`  at all agents after acceptance: ${formatLatency(atAgents)}`,
		`  in the status of all entries and agents: ${formatLatency(reported)}`,
	]);
}
