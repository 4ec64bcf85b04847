import {CHECKPOINT_GRACE_MS, FENCE_MARGIN_MS, TASK_LEASE_MS, TASK_STOP_MS} from '@amaranthsail/core';
import {expect} from 'chai';
import {findViolations, World, type FuzzJob} from '@amaranthsail/proof';

/** Stated target for the start of urgent work. */
const START_MS = 1900;

/** Bound of a reclaim whose tasks react to a request to stop. */
const RECLAIM_MS = CHECKPOINT_GRACE_MS + TASK_STOP_MS + START_MS;

/** Bound of a reclaim from a task that ignores the request, or from an agent that is silent: its lease ends it. */
const FENCED_RECLAIM_MS = CHECKPOINT_GRACE_MS + TASK_LEASE_MS + FENCE_MARGIN_MS + START_MS;

const filler: FuzzJob = {
	account: 'red', taskCount: 1, accelerators: 4, repeatable: true, checkpointable: true, runMs: 3_600_000, fails: false, ignoresStop: false,
};

const guaranteed: FuzzJob = {...filler, account: 'blue', accelerators: 8, runMs: 1000};

async function startOf(world: World, jobId: string, limitMs: number): Promise<number> {
	const submittedMs = world.time.nowMs;
	for (let passedMs = 0; passedMs <= limitMs; passedMs += 50) {
		const execution = world.runtimes.flatMap(runtime => runtime.executions()).find(({key}) => key.jobId === jobId);
		if (execution) {
			return execution.startMs - submittedMs;
		}

		await world.time.advance(50);
	}

	return Number.POSITIVE_INFINITY;
}

describe('guaranteed shapes', () => {
	const cases: ReadonlyArray<{
		readonly name: string;
		readonly change: Partial<FuzzJob>;
		readonly boundMs: number;
		readonly provoke?: (world: World) => Promise<void>;
	}> = [
		{name: 'work that writes checkpoints', change: {}, boundMs: RECLAIM_MS},
		{name: 'work without checkpoints', change: {checkpointable: false}, boundMs: RECLAIM_MS},
		{name: 'non-repeatable work', change: {repeatable: false, checkpointable: false}, boundMs: RECLAIM_MS},
		{name: 'gangs over all workers', change: {taskCount: 3, accelerators: 8}, boundMs: RECLAIM_MS},
		{name: 'work that ignores a request to stop', change: {ignoresStop: true, checkpointable: false}, boundMs: FENCED_RECLAIM_MS},
		{
			name: 'work whose owner has just been replaced',
			change: {},
			boundMs: RECLAIM_MS,
			async provoke(world) {
				const owner = world.entries.findIndex((entry, index) => entry.ownerOf()?.host === `entry-${index}`);
				world.entries[owner]!.node.kill();
				// Until the other entry has claimed the failure domain and the agents have found it.
				await world.time.advance(9000);
			},
		},
		{
			name: 'work of agents that have just been restarted',
			change: {},
			boundMs: RECLAIM_MS,
			async provoke(world) {
				for (const agent of world.agents) {
					agent.restartProcess();
				}

				await world.time.advance(3000);
			},
		},
		{
			name: 'work on workers of which one has just fallen silent',
			change: {},
			boundMs: FENCED_RECLAIM_MS,
			async provoke(world) {
				world.agents[0]!.killProcess();
			},
		},
	];
	for (const {name, change, boundMs, provoke} of cases) {
		// Guards against a guaranteed shape that cannot be had in time because another account's work occupies it.
		it(`are reclaimed within ${boundMs} ms from ${name}`, async () => {
			const world = new World(7);
			await world.time.advance(6000);
			for (let count = 0; count < 12; count++) {
				await world.submit({...filler, ...change});
			}

			await world.time.advance(5000);
			await provoke?.(world);
			const jobId = await world.submit(guaranteed);
			expect(await startOf(world, jobId!, 60_000)).to.be.at.most(boundMs);
			expect(findViolations(world)).to.deep.equal([]);
		});
	}
});
