import {checkCompletedOnce} from '../check-executions.js';
import type {Scenario} from '../scenario.js';
import {SteadyLoad} from '../steady-load.js';
import {check} from '../violation.js';

/** Longest drain; longer than the longest wait of a caller. */
const DRAIN_TIMEOUT_MS = 30_000;

/** Every entry is replaced by a new one under load: the new one starts first, then the old one gets SIGTERM. */
export const rollingReplacement: Scenario = {
	name: 'rolling-replacement',
	properties: ['P3', 'P5', 'P7', 'P9'],
	async run({system, record}) {
		const load = new SteadyLoad(system);
		const exitCodes: number[] = [];
		for (const old of system.liveEntries) {
			await system.startEntry();
			const startedMs = performance.now();
			exitCodes.push(await old.stop('SIGTERM', DRAIN_TIMEOUT_MS));
			record('drain of an entry under load', performance.now() - startedMs);
		}

		await system.untilReady();
		const jobs = await load.stop();
		check(exitCodes.every(code => code === 0), `the entries exited with ${exitCodes.join(', ')}`);
		check(load.cutConnections.length === 0, `${load.cutConnections.length} of ${jobs.length} requests were cut: ${load.cutConnections.slice(0, 5).join('; ')}`);
		check(jobs.length > 0, 'no job was accepted');
		for (const job of jobs) {
			await checkCompletedOnce(system, job, 1);
		}
	},
};
