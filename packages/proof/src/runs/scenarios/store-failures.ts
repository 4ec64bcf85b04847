import {formatAddress, jobIdOf} from '@amaranthsail/core';
import {checkCompletedOnce} from '../check-executions.js';
import type {JobHandle} from '../job-handle.js';
import {monotonicNowMs} from '../monotonic-now.js';
import type {TestSystem} from '../test-system.js';
import type {Scenario} from '../scenario.js';
import {check} from '../violation.js';
import {sleep, waitUntil} from '../wait-until.js';

const ACCOUNT = 'water-repairs';

/** Duration of the outage; longer than the ownership claim timeout and the task lease. */
const OUTAGE_MS = 15_000;

/** Jobs submitted while half of the answers of the store are lost. */
const RETRIED_JOB_COUNT = 30;

/** A job submission during the outage, and its response. */
type OutageSubmission = {readonly key: string; readonly code: unknown; readonly outcome: unknown};

async function submitDuringOutage(system: TestSystem, entryIndex: number): Promise<OutageSubmission> {
	const key = system.createIdempotencyKey();
	const address = formatAddress(system.runningEntries[entryIndex]!.address);
	const {body} = await system.accountClient(ACCOUNT).callAt(address, 'POST', '/v1/jobs', {
		key, body: system.createJobBody({operation: 'quote-batching', runMs: 100}), timeoutMs: 20_000,
	});
	return {key, code: body.code, outcome: body.outcome};
}

/** Checks that a job submission refused as `not_run` has created no job, and that any other one has at most one job, which completes. */
async function checkRefusedSubmission(system: TestSystem, {key, code, outcome}: OutageSubmission): Promise<void> {
	check(code === 'store_unavailable' || code === 'outcome_unknown', `a job submission during the outage got ${String(code)}`);
	check(code !== 'outcome_unknown' || outcome === 'unknown', `outcome_unknown was returned with the outcome ${String(outcome)}`);
	const jobId = jobIdOf(ACCOUNT, key);
	const jobResponse = await system.accountClient(ACCOUNT).call('GET', `/v1/jobs/${jobId}`);
	if (outcome === 'not_run') {
		const executions = await system.listExecutions(jobId);
		check(jobResponse.status === 404 && executions.length === 0, `a job reported as not run exists: ${JSON.stringify(jobResponse.body)}`);
		return;
	}

	if (jobResponse.status === 200) {
		await checkCompletedOnce(system, {jobId, account: ACCOUNT, taskCount: 1}, 1);
	}
}

async function waitForOutageEnd(startedAtMs: number, durationMs: number): Promise<void> {
	await sleep(Math.max(0, durationMs - (monotonicNowMs() - startedAtMs)));
}

/** The store is down for 15 s while jobs run; in part of this time it executes changes but loses the answers. Jobs are submitted meanwhile. */
export const storeDown: Scenario = {
	name: 'store-down',
	properties: ['P4', 'P5', 'P9'],
	async run({system}) {
		const jobs = await Promise.all([
			system.submit({operation: 'photo-assessment', runMs: 5000, taskCount: 2}),
			system.submit({operation: 'dispatch-matching', runMs: OUTAGE_MS + 3000}),
		]);
		await Promise.all(jobs.map(async job => system.waitForState(job, 'running', 15_000)));
		const startedAtMs = monotonicNowMs();
		const submissions: OutageSubmission[] = [];
		try {
			await system.setPlatformFaults({unavailable: true});
			submissions.push(...await Promise.all([0, 1, 0, 1].map(async index => submitDuringOutage(system, index))));
			await waitForOutageEnd(startedAtMs, OUTAGE_MS - 6000);
			// Changes take effect but are not answered, so an entry can confirm a job submission only by reading the row.
			await system.setPlatformFaults({loseAnswersAfterEffect: true, operations: ['transact']});
			submissions.push(...await Promise.all([0, 1].map(async index => submitDuringOutage(system, index))));
			await system.setPlatformFaults({unavailable: true});
			await waitForOutageEnd(startedAtMs, OUTAGE_MS);
		} finally {
			await system.clearPlatformFaults();
		}

		await system.waitUntilReady();
		for (const job of jobs) {
			await checkCompletedOnce(system, job, 1);
		}

		for (const submission of submissions.filter(({code}) => code !== undefined)) {
			await checkRefusedSubmission(system, submission);
		}

		// Accepted job submissions were confirmed by a read of the row.
		for (const {key} of submissions.filter(({code}) => code === undefined)) {
			await checkCompletedOnce(system, {jobId: jobIdOf(ACCOUNT, key), account: ACCOUNT, taskCount: 1}, 1);
		}
	},
};

/** Every call to the store takes 500 ms longer. */
export const storeSlow: Scenario = {
	name: 'store-slow',
	properties: ['P5', 'P9'],
	async run({system}) {
		try {
			await system.setPlatformFaults({latencyMs: 500});
			const jobs = await Promise.all([
				system.submit({operation: 'photo-assessment', runMs: 500, taskCount: 2}),
				...Array.from({length: 5}, async () => system.submit({operation: 'dispatch-matching', runMs: 200})),
			]);
			for (const job of jobs) {
				await checkCompletedOnce(system, job, 1);
			}
		} finally {
			await system.clearPlatformFaults();
		}

		await system.waitUntilReady();
	},
};

/** Half of the answers of the store to transactions are lost after the effect, while clients retry their job submissions. */
export const answersLost: Scenario = {
	name: 'answers-lost',
	properties: ['P3', 'P5', 'P9'],
	async run({system}) {
		let acceptedJobs: readonly JobHandle[];
		try {
			await system.setPlatformFaults({loseAnswersAfterEffect: true, services: ['tables'], operations: ['transact'], every: 2});
			acceptedJobs = await Promise.all(Array.from({length: RETRIED_JOB_COUNT}, async (): Promise<JobHandle> => {
				const key = system.createIdempotencyKey();
				const reply = await system.accountClient(ACCOUNT).call('POST', '/v1/jobs', {key, body: system.createJobBody({operation: 'dispatch-matching', runMs: 50})});
				check(reply.status < 300, `the job submission was refused after all retries: ${JSON.stringify(reply.body)}`);
				return {jobId: String(reply.body.jobId), account: ACCOUNT, taskCount: 1};
			}));
			await waitUntil('the end of all jobs', 60_000, async () => {
				const jobViews = await Promise.all(acceptedJobs.map(async job => system.readJob(job)));
				return jobViews.every(({final}) => final) ? true : undefined;
			});
		} finally {
			await system.clearPlatformFaults();
		}

		await system.waitUntilReady();
		for (const job of acceptedJobs) {
			await checkCompletedOnce(system, job, 1);
			const executions = await system.listExecutions(job.jobId);
			check(executions.length === 1, `job ${job.jobId} started ${executions.length} times`);
		}
	},
};
