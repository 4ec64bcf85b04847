import {AgentFleet, type FleetOptions} from './agent-fleet.js';
import {LatencyHistogram, type LatencySummary} from './latency.js';
import {LOAD_ACCOUNT, waitUntil} from './load-system.js';

const CHANGE_TIMEOUT_MS = 15_000;

/** Figures of configuration changes at one number of agents. */
export type ConfigFigures = {
	readonly agents: number;
	/** From the submission of a change to its acceptance. */
	readonly accepted: LatencySummary;
	/** From the acceptance until every agent has received the revision in an acknowledgement. */
	readonly atAgents: LatencySummary;
	/** From the acceptance until the status reports the revision in force in every entry and agent. */
	readonly reported: LatencySummary;
};

/**
 * Measures how long accepted configuration changes take to be in force everywhere.
 *
 * @param settings - Numbers of agents, seed, tasks per agent, changes at each size, and the settling time in seconds.
 * @returns The figures at each size.
 * @throws Error when a change is not in force in time.
 */
export async function measureConfig(settings: Omit<FleetOptions, 'agents'> & {readonly sizes: readonly number[]; readonly changes: number}): Promise<readonly ConfigFigures[]> {
	const figures: ConfigFigures[] = [];
	for (const agents of settings.sizes) {
		const fleet = new AgentFleet({...settings, agents});
		try {
			await fleet.start();
			figures.push({agents, ...await measureChanges(fleet, settings.changes)});
		} finally {
			await fleet.stop();
		}
	}

	return figures;
}

async function measureChanges(fleet: AgentFleet, changes: number): Promise<Omit<ConfigFigures, 'agents'>> {
	const accepted = new LatencyHistogram();
	const atAgents = new LatencyHistogram();
	const reported = new LatencyHistogram();
	for (let change = 0; change < changes; change++) {
		const startMs = performance.now();
		const revision = await fleet.system.apply('ClientAccount', LOAD_ACCOUNT, {weight: change + 2});
		const acceptedMs = performance.now();
		accepted.record(acceptedMs - startMs);
		await Promise.all([
			(async () => {
				await waitUntil('configuration revision at all agents', () => fleet.lowestRevision >= revision, CHANGE_TIMEOUT_MS);
				atAgents.record(performance.now() - acceptedMs);
			})(),
			(async () => {
				await waitUntil('configuration revision in the status', async () => {
					const {body} = await fleet.system.operator.call('GET', '/v1/status');
					return Number(body.lowestRevisionInForce) >= revision;
				}, CHANGE_TIMEOUT_MS);
				reported.record(performance.now() - acceptedMs);
			})(),
		]);
	}

	return {accepted: accepted.summary(), atAgents: atAgents.summary(), reported: reported.summary()};
}
