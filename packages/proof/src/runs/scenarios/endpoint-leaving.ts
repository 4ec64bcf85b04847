import type {LocalWorker} from '@amaranthsail/quickstart';
import {monotonicNowMs} from '../monotonic-now.js';
import type {ProofSystem} from '../test-system.js';
import type {Scenario, ScenarioContext} from '../scenario.js';
import {SteadyLoad} from '../steady-load.js';
import {check} from '../violation.js';
import {pause, waitUntil} from '../wait-until.js';

/** Stated bound: later than this after the announcement nothing starts on the endpoint. */
const LEAVING_BOUND_MS = 4000;

/** How long starts are watched after the bound. */
const WATCH_MS = 3000;

/** Length of the store outage that begins with the announcement. */
const OUTAGE_MS = 2500;

async function startsOn(system: ProofSystem, worker: LocalWorker, sinceMs: number): Promise<readonly number[]> {
	const executions = await system.executions();
	return executions
		.filter(({workerId, startMs}) => workerId === worker.spec.workerId && startMs > sinceMs)
		.map(({startMs}) => startMs);
}

/** Waits until the load uses a worker, so that a start after the announcement would be seen. */
async function busyWorker(system: ProofSystem): Promise<LocalWorker> {
	const sinceMs = monotonicNowMs();
	return waitUntil('a worker that gets work', 15_000, async () => {
		for (const worker of system.local.workers) {
			const starts = await startsOn(system, worker, sinceMs);
			if (starts.length > 2) {
				return worker;
			}
		}

		return undefined;
	});
}

async function leave({system, record}: ScenarioContext, fault: 'no fault' | 'store down' | 'silent'): Promise<void> {
	const load = new SteadyLoad(system, 6);
	try {
		const worker = await busyWorker(system);
		const announcedMs = monotonicNowMs();
		await system.changeEndpoint(worker, fault === 'silent' ? {silent: true} : {leaving: true});
		if (fault === 'store down') {
			await system.setPlatformFaults({unavailable: true});
			await pause(OUTAGE_MS);
			await system.clearPlatformFaults();
		}

		await waitUntil('the end of the watch', 20_000, async () => monotonicNowMs() - announcedMs > LEAVING_BOUND_MS + WATCH_MS ? true : undefined);
		const starts = await startsOn(system, worker, announcedMs);
		const lastMs = Math.max(0, ...starts.map(startMs => startMs - announcedMs));
		record(`last start after leaving, ${fault}`, lastMs);
		check(lastMs <= LEAVING_BOUND_MS, `a task started ${lastMs} ms after the announcement`);
		const all = await system.executions();
		check(all.some(({startMs}) => startMs > announcedMs + LEAVING_BOUND_MS), 'no other worker got work after the announcement');
		await system.changeEndpoint(worker, {leaving: false, silent: false});
	} finally {
		await system.clearPlatformFaults();
		await load.stop();
	}
}

/** An endpoint announces that it leaves while work comes in, without and with a store outage, and one falls silent. */
export const endpointLeaving: Scenario = {
	name: 'endpoint-leaving',
	properties: ['P6'],
	async run(context) {
		await leave(context, 'no fault');
		await leave(context, 'store down');
		await leave(context, 'silent');
	},
};
