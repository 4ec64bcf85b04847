import {expect} from 'chai';
import {findViolations, HEALTHY_NETWORK, Simulation, type FuzzJob} from '@amaranthsail/proof';

const longJob: FuzzJob = {
	account: 'red', taskCount: 1, accelerators: 1, repeatable: true, checkpointable: false, runMs: 120_000, fails: false, ignoresStop: false,
};

/** Creates a simulation with one running job; returns the indices of its owner and its agent as well. */
async function startLongJob(seed = 1): Promise<{readonly simulation: Simulation; readonly jobId: string; readonly owner: number; readonly agent: number}> {
	const simulation = new Simulation(seed);
	await simulation.time.advance(6000);
	const jobId = await simulation.submit(longJob);
	await simulation.time.advance(2000);
	const row = simulation.jobHistory.rows.get(jobId!)!;
	expect(row.state).to.equal('running');
	const owner = simulation.entries.findIndex((entry, index) => entry.knownOwner()?.host === `entry-${index}`);
	return {simulation, jobId: jobId!, owner, agent: Number(row.members[0]!.workerId.slice('worker-'.length))};
}

function countExecutions(simulation: Simulation, jobId: string): number {
	return simulation.runtimes.flatMap(runtime => runtime.executions()).filter(execution => execution.key.jobId === jobId).length;
}

describe('partitions', () => {
	// Guards against a new owner that restarts a job while the old owner, disconnected from the store, still renews its lease.
	it('a new owner waits for the tasks of agents that only the old owner can reach', async () => {
		const {simulation, jobId, owner, agent} = await startLongJob();
		const otherEntryIndex = 1 - owner;
		simulation.entries[owner]!.isStoreUnreachable = true;
		simulation.network.partition('entry-0', 'entry-1');
		simulation.network.partition(`entry-${otherEntryIndex}`, simulation.agents[agent]!.host);
		await simulation.time.advance(90_000);
		expect(simulation.entries[otherEntryIndex]!.knownOwner()?.host).to.equal(`entry-${otherEntryIndex}`);
		expect(findViolations(simulation)).to.deep.equal([]);
		await simulation.heal();
		await simulation.time.advance(120_000);
		expect(findViolations(simulation)).to.deep.equal([]);
		expect(simulation.jobHistory.rows.get(jobId)!.state).to.equal('completed');
		expect(countExecutions(simulation, jobId)).to.equal(1);
	});

	// Guards against stopping running tasks because the store is down: no other entry can claim the failure domain meanwhile.
	it('running tasks continue through a store outage of ten times their lease', async () => {
		const {simulation, jobId} = await startLongJob();
		simulation.storeMode = 'down';
		await simulation.time.advance(100_000);
		simulation.storeMode = 'up';
		await simulation.time.advance(40_000);
		expect(simulation.jobHistory.rows.get(jobId)!.state).to.equal('completed');
		expect(countExecutions(simulation, jobId)).to.equal(1);
		expect(findViolations(simulation)).to.deep.equal([]);
	});

	// Guards against an owner that acts on its expired ownership when it is resumed.
	it('a paused owner changes nothing when it is resumed', async () => {
		const {simulation, jobId, owner} = await startLongJob();
		simulation.entries[owner]!.node.pause();
		await simulation.time.advance(30_000);
		simulation.entries[owner]!.node.resume();
		await simulation.time.advance(120_000);
		expect(simulation.jobHistory.rows.get(jobId)!.state).to.equal('completed');
		expect(countExecutions(simulation, jobId)).to.equal(1);
		expect(findViolations(simulation)).to.deep.equal([]);
	});

	// Guards against a release that is sent before the decision is persisted: a new owner would start the job again.
	it('a non-repeatable job runs at most once, whenever the store fails between submission and release', async () => {
		for (let delayMs = 2; delayMs <= 62; delayMs += 3) {
			const simulation = new Simulation(delayMs);
			await simulation.time.advance(6000);
			const jobId = await simulation.submit({...longJob, repeatable: false, runMs: 1000});
			await simulation.time.advance(delayMs);
			simulation.storeMode = 'unanswered';
			await simulation.time.advance(2000);
			for (const index of simulation.entries.keys()) {
				simulation.restartEntry(index);
			}

			simulation.storeMode = 'up';
			await simulation.time.advance(120_000);
			expect(findViolations(simulation), `store unanswered after ${delayMs} ms`).to.deep.equal([]);
			expect(countExecutions(simulation, jobId!)).to.be.at.most(1);
			expect(['completed', 'unknown']).to.include(simulation.jobHistory.rows.get(jobId!)!.state);
		}
	});

	// Guards against a lease that is counted from the arrival of a late acknowledgement and so ends after the fence of the owner.
	it('late acknowledgements do not extend a task beyond the fence of an unreachable agent', async () => {
		for (let seed = 1; seed <= 25; seed++) {
			const {simulation, agent} = await startLongJob(seed);
			simulation.network.faults = {lossPercent: 60, duplicatePercent: 50, maxDelayMs: 4000};
			await simulation.time.advance(15_000);
			for (const index of simulation.entries.keys()) {
				simulation.network.partition(`entry-${index}`, simulation.agents[agent]!.host);
			}

			simulation.network.faults = HEALTHY_NETWORK;
			await simulation.time.advance(40_000);
			expect(findViolations(simulation), `seed ${seed}`).to.deep.equal([]);
		}
	});
});
