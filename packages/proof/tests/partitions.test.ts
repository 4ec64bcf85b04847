import {expect} from 'chai';
import {findViolations, HEALTHY_NETWORK, World, type FuzzJob} from '@amaranthsail/proof';

const longJob: FuzzJob = {
	account: 'red', taskCount: 1, accelerators: 1, repeatable: true, checkpointable: false, runMs: 120_000, fails: false, ignoresStop: false,
};

/** A world with one running job, its owner and its agent. */
async function startLongJob(seed = 1): Promise<{readonly world: World; readonly jobId: string; readonly owner: number; readonly agent: number}> {
	const world = new World(seed);
	await world.time.advance(6000);
	const jobId = await world.submit(longJob);
	await world.time.advance(2000);
	const row = world.history.rows.get(jobId!)!;
	expect(row.state).to.equal('running');
	const owner = world.entries.findIndex((entry, index) => entry.ownerOf()?.host === `entry-${index}`);
	return {world, jobId: jobId!, owner, agent: Number(row.members[0]!.workerId.slice('worker-'.length))};
}

function executionsOf(world: World, jobId: string): number {
	return world.runtimes.flatMap(runtime => runtime.executions()).filter(execution => execution.key.jobId === jobId).length;
}

describe('partitions', () => {
	// Guards against a new owner that restarts a job while the old owner, cut off from the store, still extends its lease.
	it('a new owner waits for the tasks of agents that only the old owner reaches', async () => {
		const {world, jobId, owner, agent} = await startLongJob();
		const other = 1 - owner;
		world.entries[owner]!.isCutFromStore = true;
		world.network.cut('entry-0', 'entry-1');
		world.network.cut(`entry-${other}`, world.agents[agent]!.host);
		await world.time.advance(90_000);
		expect(world.entries[other]!.ownerOf()?.host).to.equal(`entry-${other}`);
		expect(findViolations(world)).to.deep.equal([]);
		await world.heal();
		await world.time.advance(120_000);
		expect(findViolations(world)).to.deep.equal([]);
		expect(world.history.rows.get(jobId)!.state).to.equal('completed');
		expect(executionsOf(world, jobId)).to.equal(1);
	});

	// Guards against stopping running tasks because the store is down: nobody can claim the failure domain meanwhile.
	it('running tasks go on through a store outage of ten times their lease', async () => {
		const {world, jobId} = await startLongJob();
		world.storeMode = 'down';
		await world.time.advance(100_000);
		world.storeMode = 'up';
		await world.time.advance(40_000);
		expect(world.history.rows.get(jobId)!.state).to.equal('completed');
		expect(executionsOf(world, jobId)).to.equal(1);
		expect(findViolations(world)).to.deep.equal([]);
	});

	// Guards against an owner that acts on its old ownership when it wakes up.
	it('a frozen owner that wakes changes nothing', async () => {
		const {world, jobId, owner} = await startLongJob();
		world.entries[owner]!.node.freeze();
		await world.time.advance(30_000);
		world.entries[owner]!.node.thaw();
		await world.time.advance(120_000);
		expect(world.history.rows.get(jobId)!.state).to.equal('completed');
		expect(executionsOf(world, jobId)).to.equal(1);
		expect(findViolations(world)).to.deep.equal([]);
	});

	// Guards against a release that is sent before the decision is durable: a new owner would start the job again.
	it('a non-repeatable job runs at most once wherever the store fails between submit and release', async () => {
		for (let delayMs = 2; delayMs <= 62; delayMs += 3) {
			const world = new World(delayMs);
			await world.time.advance(6000);
			const jobId = await world.submit({...longJob, repeatable: false, runMs: 1000});
			await world.time.advance(delayMs);
			world.storeMode = 'unanswered';
			await world.time.advance(2000);
			for (const index of world.entries.keys()) {
				world.restartEntry(index);
			}

			world.storeMode = 'up';
			await world.time.advance(120_000);
			expect(findViolations(world), `store unanswered after ${delayMs} ms`).to.deep.equal([]);
			expect(executionsOf(world, jobId!)).to.be.at.most(1);
			expect(['completed', 'unknown']).to.include(world.history.rows.get(jobId!)!.state);
		}
	});

	// Guards against a lease that counts from the arrival of a late acknowledgement and outlives the owner's fence.
	it('late acknowledgements do not extend a task beyond the fence of a silent agent', async () => {
		for (let seed = 1; seed <= 25; seed++) {
			const {world, agent} = await startLongJob(seed);
			world.network.faults = {lossPercent: 60, duplicatePercent: 50, maxDelayMs: 4000};
			await world.time.advance(15_000);
			for (const index of world.entries.keys()) {
				world.network.cut(`entry-${index}`, world.agents[agent]!.host);
			}

			world.network.faults = HEALTHY_NETWORK;
			await world.time.advance(40_000);
			expect(findViolations(world), `seed ${seed}`).to.deep.equal([]);
		}
	});
});
