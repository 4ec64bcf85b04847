import {CHECKPOINT_GRACE_MS, FENCE_MARGIN_MS, TASK_LEASE_MS, MAX_TASK_STOP_MS} from '@amaranthsail/core';
import {expect} from 'chai';
import {findViolations, Simulation, type FuzzJob} from '@amaranthsail/proof';

/** Target for the start of urgent jobs. */
const MAX_START_MS = 1900;

/** Bound of a reclaim whose tasks obey a stop request. */
const MAX_RECLAIM_MS = CHECKPOINT_GRACE_MS + MAX_TASK_STOP_MS + MAX_START_MS;

/** Bound of a reclaim from a task that ignores the stop request or whose agent does not answer: the lease ends the task. */
const MAX_FENCED_RECLAIM_MS = CHECKPOINT_GRACE_MS + TASK_LEASE_MS + FENCE_MARGIN_MS + MAX_START_MS;

const fillerJob: FuzzJob = {
	account: 'red', taskCount: 1, accelerators: 4, repeatable: true, checkpointable: true, runMs: 3_600_000, fails: false, ignoresStop: false,
};

const guaranteedJob: FuzzJob = {...fillerJob, account: 'blue', accelerators: 8, runMs: 1000};

async function measureStartMs(simulation: Simulation, jobId: string, timeoutMs: number): Promise<number> {
	const submittedAtMs = simulation.time.nowMs;
	for (let elapsedMs = 0; elapsedMs <= timeoutMs; elapsedMs += 50) {
		const execution = simulation.runtimes.flatMap(runtime => runtime.executions()).find(({key}) => key.jobId === jobId);
		if (execution) {
			return execution.startMs - submittedAtMs;
		}

		await simulation.time.advance(50);
	}

	return Number.POSITIVE_INFINITY;
}

describe('guaranteed shapes', () => {
	const cases: ReadonlyArray<{
		readonly name: string;
		readonly change: Partial<FuzzJob>;
		readonly boundMs: number;
		readonly injectFault?: (simulation: Simulation) => Promise<void>;
	}> = [
		{name: 'jobs that write checkpoints', change: {}, boundMs: MAX_RECLAIM_MS},
		{name: 'jobs without checkpoints', change: {checkpointable: false}, boundMs: MAX_RECLAIM_MS},
		{name: 'non-repeatable jobs', change: {repeatable: false, checkpointable: false}, boundMs: MAX_RECLAIM_MS},
		{name: 'gangs on all workers', change: {taskCount: 3, accelerators: 8}, boundMs: MAX_RECLAIM_MS},
		{name: 'jobs that ignore a stop request', change: {ignoresStop: true, checkpointable: false}, boundMs: MAX_FENCED_RECLAIM_MS},
		{
			name: 'jobs whose owner has just been replaced',
			change: {},
			boundMs: MAX_RECLAIM_MS,
			async injectFault(simulation) {
				const owner = simulation.entries.findIndex((entry, index) => entry.knownOwner()?.host === `entry-${index}`);
				simulation.entries[owner]!.node.kill();
				// Time for the other entry to claim the failure domain and for the agents to discover it.
				await simulation.time.advance(9000);
			},
		},
		{
			name: 'jobs of agents that have just been restarted',
			change: {},
			boundMs: MAX_RECLAIM_MS,
			async injectFault(simulation) {
				for (const agent of simulation.agents) {
					agent.restartProcess();
				}

				await simulation.time.advance(3000);
			},
		},
		{
			name: 'jobs on workers when the agent of one has just been killed',
			change: {},
			boundMs: MAX_FENCED_RECLAIM_MS,
			async injectFault(simulation) {
				simulation.agents[0]!.killProcess();
			},
		},
	];
	for (const {name, change, boundMs, injectFault} of cases) {
		// Guards against a guaranteed shape that is not available in time because jobs of another account occupy it.
		it(`are reclaimed within ${boundMs} ms from ${name}`, async () => {
			const simulation = new Simulation(7);
			await simulation.time.advance(6000);
			for (let count = 0; count < 12; count++) {
				await simulation.submit({...fillerJob, ...change});
			}

			await simulation.time.advance(5000);
			await injectFault?.(simulation);
			const jobId = await simulation.submit(guaranteedJob);
			expect(await measureStartMs(simulation, jobId!, 60_000)).to.be.at.most(boundMs);
			expect(findViolations(simulation)).to.deep.equal([]);
		});
	}
});
