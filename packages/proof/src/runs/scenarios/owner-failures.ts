import {formatAddress} from '@amaranthsail/core';
import type {ManagedProcess} from '@amaranthsail/quickstart';
import {checkCompletedOnce, checkStarts} from '../check-executions.js';
import type {JobHandle} from '../job-handle.js';
import {monotonicNowMs} from '../monotonic-now.js';
import type {ProofSystem} from '../test-system.js';
import type {Scenario} from '../scenario.js';
import {check} from '../violation.js';
import {waitUntil} from '../wait-until.js';

/** Run time of the jobs that have to outlive a takeover, which takes about 4 s. */
const LONG_RUN_MS = 9000;

/** Longest wait for a new owner to start a job. */
const TAKEOVER_TIMEOUT_MS = 30_000;

async function startLongJobs(system: ProofSystem): Promise<readonly JobHandle[]> {
	const jobs = await Promise.all([
		system.submit({operation: 'photo-assessment', runMs: LONG_RUN_MS, taskCount: 3}),
		system.submit({operation: 'quote-batching', runMs: LONG_RUN_MS}),
		system.submit({operation: 'dispatch-matching', runMs: LONG_RUN_MS}),
	]);
	await Promise.all(jobs.map(async job => system.untilState(job, 'running', 15_000)));
	return jobs;
}

/** Submits a job through an entry other than the failed owner and reports when its task has started, on the monotonic clock. */
async function startNewJob(system: ProofSystem, owner: ManagedProcess): Promise<{readonly job: JobHandle; readonly startMs: number}> {
	const other = system.liveEntries.find(entry => entry !== owner)!;
	const reply = await system.account().callAt(formatAddress(other.address), 'POST', '/v1/jobs', {
		key: system.newKey(), body: system.bodyOf({operation: 'quote-batching', runMs: 100}),
	});
	check(reply.status === 202, `the other entry refused a job: ${JSON.stringify(reply.body)}`);
	const job = {jobId: String(reply.body.jobId), account: 'water-repairs', taskCount: 1};
	const startMs = await waitUntil('a start by the new owner', TAKEOVER_TIMEOUT_MS, async () => {
		const [execution] = await system.executions(job.jobId);
		return execution?.startMs;
	});
	return {job, startMs};
}

/** The entry that owns the failure domain is killed while long jobs run. */
export const ownerKilled: Scenario = {
	name: 'owner-killed',
	properties: ['P2', 'P3', 'P5', 'P9'],
	async run({system, record}) {
		const jobs = await startLongJobs(system);
		const {entry, epoch} = await system.owner();
		const killedMs = monotonicNowMs();
		await entry.stop('SIGKILL');
		const {job, startMs} = await startNewJob(system, entry);
		record('takeover, owner killed', startMs - killedMs);
		const next = await system.owner();
		check(next.epoch > epoch, `the epoch went from ${epoch} to ${next.epoch}`);
		for (const running of [...jobs, job]) {
			await checkCompletedOnce(system, running, 1);
		}

		await system.startEntry();
		await system.untilReady();
	},
};

/** The entry that owns the failure domain is paused for 8 s and goes on with what it knew. */
export const ownerPaused: Scenario = {
	name: 'owner-paused',
	properties: ['P2', 'P3', 'P5', 'P9'],
	async run({system, record}) {
		const jobs = await startLongJobs(system);
		const {entry, epoch} = await system.owner();
		const pausedMs = monotonicNowMs();
		entry.signal('SIGSTOP');
		try {
			const {job, startMs} = await startNewJob(system, entry);
			record('takeover, owner paused', startMs - pausedMs);
			await waitUntil('the end of the pause', 10_000, async () => monotonicNowMs() - pausedMs >= 8000 ? true : undefined);
			entry.signal('SIGCONT');
			const later = await Promise.all(Array.from({length: 5}, async () => system.submit({operation: 'dispatch-matching', runMs: 200})));
			const next = await system.owner();
			check(next.epoch > epoch, `the epoch went from ${epoch} to ${next.epoch}`);
			check(next.entry !== entry, 'the paused owner still counts as the owner');
			for (const each of [...jobs, job, ...later]) {
				await checkCompletedOnce(system, each, 1);
			}
		} finally {
			entry.signal('SIGCONT');
		}

		checkStarts(await system.executions());
		await system.untilReady();
	},
};

/** The owner shuts down gracefully; measured for comparison with the kill. */
export const ownerDrained: Scenario = {
	name: 'owner-drained',
	properties: ['P7', 'P9'],
	async run({system, record}) {
		const jobs = await startLongJobs(system);
		const {entry} = await system.owner();
		await system.startEntry();
		const drainedMs = monotonicNowMs();
		const exited = entry.stop('SIGTERM', 20_000);
		const {job, startMs} = await startNewJob(system, entry);
		record('takeover, owner drained', startMs - drainedMs);
		const exitCode = await exited;
		check(exitCode === 0, `the drained owner exited with ${exitCode}`);
		for (const running of [...jobs, job]) {
			await checkCompletedOnce(system, running, 1);
		}

		await system.untilReady();
	},
};
