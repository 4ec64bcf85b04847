import {checkCompletedOnce} from '../check-executions.js';
import type {Scenario} from '../scenario.js';
import {SteadyLoad} from '../steady-load.js';
import {check} from '../violation.js';

/** Longest time for a drain; longer than the longest wait of a client. */
const DRAIN_TIMEOUT_MS = 30_000;

/** Every entry is replaced under load: a new one is started, then the old one gets SIGTERM. */
export const rollingReplacement: Scenario = {
	name: 'rolling-replacement',
	properties: ['P3', 'P5', 'P7', 'P9'],
	async run({system, recordTime}) {
		const load = new SteadyLoad(system);
		const exitCodes: number[] = [];
		for (const oldEntry of system.runningEntries) {
			await system.startEntry();
			const drainStartedAtMs = performance.now();
			exitCodes.push(await oldEntry.stop('SIGTERM', DRAIN_TIMEOUT_MS));
			recordTime('drain of an entry under load', performance.now() - drainStartedAtMs);
		}

		await system.waitUntilReady();
		const jobs = await load.stop();
		check(exitCodes.every(code => code === 0), `the entries exited with ${exitCodes.join(', ')}`);
		check(load.abortedRequests.length === 0, `${load.abortedRequests.length} of ${jobs.length} requests were aborted: ${load.abortedRequests.slice(0, 5).join('; ')}`);
		check(jobs.length > 0, 'no job was accepted');
		for (const job of jobs) {
			await checkCompletedOnce(system, job, 1);
		}
	},
};
