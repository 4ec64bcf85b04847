import {checkCompletedOnce} from '../check-executions.js';
import type {Scenario} from '../scenario.js';
import {check} from '../violation.js';
import {sleep} from '../wait-until.js';

const TASK_COUNT = 8;

/** Longer than it takes to start all tasks after a takeover, so that a partially started attempt is detected. */
const RUN_MS = 1500;

/** Delays from the accepted job submission to the kill; a gang is prepared, decided and released within about 100 ms. */
const KILL_DELAYS_MS = [0, 30, 60, 10, 45, 90];

/** The owner is killed between the submission of a gang and its start. */
export const ownerKilledMidGang: Scenario = {
	name: 'owner-killed-mid-gang',
	properties: ['P2', 'P9'],
	async run({system, repeats}) {
		for (const killDelayMs of KILL_DELAYS_MS.slice(0, repeats)) {
			const {entry} = await system.findOwner();
			const job = await system.submit({operation: 'photo-assessment', runMs: RUN_MS, taskCount: TASK_COUNT});
			await sleep(killDelayMs);
			await entry.stop('SIGKILL');
			await system.waitForState(job, 'completed', 45_000);
			await checkCompletedOnce(system, job);
			const executions = await system.listExecutions(job.jobId);
			for (const attempt of new Set(executions.map(({key}) => key.attempt))) {
				const states = executions.filter(({key}) => key.attempt === attempt).map(({state}) => state);
				check(
					states.length === TASK_COUNT || !states.includes('finished'),
					`attempt ${attempt} ran only in part, owner killed after ${killDelayMs} ms: ${states.join(', ')}`,
				);
			}

			await system.startEntry();
			await system.waitUntilReady();
		}
	},
};
