import {checkCompletedOnce} from '../check-executions.js';
import type {Scenario} from '../scenario.js';
import {check} from '../violation.js';
import {pause} from '../wait-until.js';

const TASK_COUNT = 8;

/** Longer than the start of all tasks after a takeover, so that an attempt that was started in part is seen. */
const RUN_MS = 1500;

/** Times from the accepted submit to the kill; a gang is prepared, decided and released within about 100 ms. */
const KILL_AFTER_MS = [0, 30, 60, 10, 45, 90];

/** The owner is killed between the submit of a gang and its start. */
export const ownerKilledMidGang: Scenario = {
	name: 'owner-killed-mid-gang',
	properties: ['P2', 'P9'],
	async run({system, repeats}) {
		for (const killAfterMs of KILL_AFTER_MS.slice(0, repeats)) {
			const {entry} = await system.owner();
			const job = await system.submit({operation: 'photo-assessment', runMs: RUN_MS, taskCount: TASK_COUNT});
			await pause(killAfterMs);
			await entry.stop('SIGKILL');
			await system.untilState(job, 'completed', 45_000);
			await checkCompletedOnce(system, job);
			const starts = await system.executions(job.jobId);
			for (const attempt of new Set(starts.map(({key}) => key.attempt))) {
				const states = starts.filter(({key}) => key.attempt === attempt).map(({state}) => state);
				check(
					states.length === TASK_COUNT || !states.includes('finished'),
					`attempt ${attempt} ran in part, killed after ${killAfterMs} ms: ${states.join(', ')}`,
				);
			}

			await system.startEntry();
			await system.untilReady();
		}
	},
};
