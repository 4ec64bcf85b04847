import type {LocalWorker} from '@amaranthsail/quickstart';
import {monotonicNowMs} from '../monotonic-now.js';
import type {TestSystem} from '../test-system.js';
import type {Scenario, ScenarioContext} from '../scenario.js';
import {SteadyLoad} from '../steady-load.js';
import {check} from '../violation.js';
import {sleep, waitUntil} from '../wait-until.js';

/** Required bound: nothing starts on the endpoint later than this after the announcement. */
const MAX_START_AFTER_LEAVING_MS = 4000;

/** Time after the bound in which starts are still recorded. */
const OBSERVATION_MS = 3000;

/** Duration of the store outage that begins with the announcement. */
const OUTAGE_MS = 2500;

async function findStartTimesMs(system: TestSystem, worker: LocalWorker, sinceMs: number): Promise<readonly number[]> {
	const executions = await system.listExecutions();
	return executions
		.filter(({workerId, startMs}) => workerId === worker.spec.workerId && startMs > sinceMs)
		.map(({startMs}) => startMs);
}

/** Waits for a worker that gets tasks of the load, so that a start after the announcement would be detected. */
async function findBusyWorker(system: TestSystem): Promise<LocalWorker> {
	const sinceMs = monotonicNowMs();
	return waitUntil('a worker that gets tasks', 15_000, async () => {
		for (const worker of system.localSystem.workers) {
			const startTimesMs = await findStartTimesMs(system, worker, sinceMs);
			if (startTimesMs.length > 2) {
				return worker;
			}
		}

		return undefined;
	});
}

async function measureLeaving({system, recordTime}: ScenarioContext, fault: 'no fault' | 'store down' | 'silent'): Promise<void> {
	const load = new SteadyLoad(system, 6);
	try {
		const worker = await findBusyWorker(system);
		const announcedAtMs = monotonicNowMs();
		await system.changeEndpoint(worker, fault === 'silent' ? {silent: true} : {leaving: true});
		if (fault === 'store down') {
			await system.setPlatformFaults({unavailable: true});
			await sleep(OUTAGE_MS);
			await system.clearPlatformFaults();
		}

		await waitUntil('the end of the observation', 20_000, async () => monotonicNowMs() - announcedAtMs > MAX_START_AFTER_LEAVING_MS + OBSERVATION_MS ? true : undefined);
		const startTimesMs = await findStartTimesMs(system, worker, announcedAtMs);
		const lastStartMs = Math.max(0, ...startTimesMs.map(startMs => startMs - announcedAtMs));
		recordTime(`last start after leaving, ${fault}`, lastStartMs);
		check(lastStartMs <= MAX_START_AFTER_LEAVING_MS, `a task started ${lastStartMs} ms after the announcement`);
		const allExecutions = await system.listExecutions();
		check(allExecutions.some(({startMs}) => startMs > announcedAtMs + MAX_START_AFTER_LEAVING_MS), 'no other worker got tasks after the announcement');
		await system.changeEndpoint(worker, {leaving: false, silent: false});
	} finally {
		await system.clearPlatformFaults();
		await load.stop();
	}
}

/** Under load, an endpoint announces that it is leaving, without and with a store outage; then one stops announcing itself. */
export const endpointLeaving: Scenario = {
	name: 'endpoint-leaving',
	properties: ['P6'],
	async run(context) {
		await measureLeaving(context, 'no fault');
		await measureLeaving(context, 'store down');
		await measureLeaving(context, 'silent');
	},
};
