import {formatAddress} from '@amaranthsail/core';
import type {ManagedProcess} from '@amaranthsail/quickstart';
import {checkCompletedOnce, checkStarts} from '../check-executions.js';
import type {JobHandle} from '../job-handle.js';
import {monotonicNowMs} from '../monotonic-now.js';
import type {TestSystem} from '../test-system.js';
import type {Scenario} from '../scenario.js';
import {check} from '../violation.js';
import {waitUntil} from '../wait-until.js';

/** Run time of jobs that have to run throughout a takeover, which takes about 4 s. */
const LONG_RUN_MS = 9000;

/** Longest wait for a new owner to start a job. */
const TAKEOVER_TIMEOUT_MS = 30_000;

async function startLongJobs(system: TestSystem): Promise<readonly JobHandle[]> {
	const jobs = await Promise.all([
		system.submit({operation: 'photo-assessment', runMs: LONG_RUN_MS, taskCount: 3}),
		system.submit({operation: 'quote-batching', runMs: LONG_RUN_MS}),
		system.submit({operation: 'dispatch-matching', runMs: LONG_RUN_MS}),
	]);
	await Promise.all(jobs.map(async job => system.waitForState(job, 'running', 15_000)));
	return jobs;
}

/** Submits a job through an entry other than the failed owner and returns the start time of its task on the monotonic clock. */
async function startNewJob(system: TestSystem, owner: ManagedProcess): Promise<{readonly job: JobHandle; readonly startMs: number}> {
	const otherEntry = system.runningEntries.find(entry => entry !== owner)!;
	const reply = await system.accountClient().callAt(formatAddress(otherEntry.address), 'POST', '/v1/jobs', {
		key: system.createIdempotencyKey(), body: system.createJobBody({operation: 'quote-batching', runMs: 100}),
	});
	check(reply.status === 202, `the other entry refused a job: ${JSON.stringify(reply.body)}`);
	const job = {jobId: String(reply.body.jobId), account: 'water-repairs', taskCount: 1};
	const startMs = await waitUntil('a start by the new owner', TAKEOVER_TIMEOUT_MS, async () => {
		const [execution] = await system.listExecutions(job.jobId);
		return execution?.startMs;
	});
	return {job, startMs};
}

/** The entry that owns the failure domain is killed while long jobs run. */
export const ownerKilled: Scenario = {
	name: 'owner-killed',
	properties: ['P2', 'P3', 'P5', 'P9'],
	async run({system, recordTime}) {
		const jobs = await startLongJobs(system);
		const {entry, epoch} = await system.findOwner();
		const killedAtMs = monotonicNowMs();
		await entry.stop('SIGKILL');
		const {job, startMs} = await startNewJob(system, entry);
		recordTime('takeover, owner killed', startMs - killedAtMs);
		const newOwner = await system.findOwner();
		check(newOwner.epoch > epoch, `the epoch went from ${epoch} to ${newOwner.epoch}`);
		for (const acceptedJob of [...jobs, job]) {
			await checkCompletedOnce(system, acceptedJob, 1);
		}

		await system.startEntry();
		await system.waitUntilReady();
	},
};

/** The entry that owns the failure domain is paused for 8 s and then continues with its old state. */
export const ownerPaused: Scenario = {
	name: 'owner-paused',
	properties: ['P2', 'P3', 'P5', 'P9'],
	async run({system, recordTime}) {
		const jobs = await startLongJobs(system);
		const {entry, epoch} = await system.findOwner();
		const pausedAtMs = monotonicNowMs();
		entry.signal('SIGSTOP');
		try {
			const {job, startMs} = await startNewJob(system, entry);
			recordTime('takeover, owner paused', startMs - pausedAtMs);
			await waitUntil('the end of the pause', 10_000, async () => monotonicNowMs() - pausedAtMs >= 8000 ? true : undefined);
			entry.signal('SIGCONT');
			const laterJobs = await Promise.all(Array.from({length: 5}, async () => system.submit({operation: 'dispatch-matching', runMs: 200})));
			const newOwner = await system.findOwner();
			check(newOwner.epoch > epoch, `the epoch went from ${epoch} to ${newOwner.epoch}`);
			check(newOwner.entry !== entry, 'the paused owner still counts as the owner');
			for (const acceptedJob of [...jobs, job, ...laterJobs]) {
				await checkCompletedOnce(system, acceptedJob, 1);
			}
		} finally {
			entry.signal('SIGCONT');
		}

		checkStarts(await system.listExecutions());
		await system.waitUntilReady();
	},
};

/** The owner shuts down gracefully; the takeover time is compared with that after a kill. */
export const ownerDrained: Scenario = {
	name: 'owner-drained',
	properties: ['P7', 'P9'],
	async run({system, recordTime}) {
		const jobs = await startLongJobs(system);
		const {entry} = await system.findOwner();
		await system.startEntry();
		const drainStartedAtMs = monotonicNowMs();
		const exitCodePromise = entry.stop('SIGTERM', 20_000);
		const {job, startMs} = await startNewJob(system, entry);
		recordTime('takeover, owner drained', startMs - drainStartedAtMs);
		const exitCode = await exitCodePromise;
		check(exitCode === 0, `the drained owner exited with ${exitCode}`);
		for (const acceptedJob of [...jobs, job]) {
			await checkCompletedOnce(system, acceptedJob, 1);
		}

		await system.waitUntilReady();
	},
};
