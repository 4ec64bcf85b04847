import {formatAddress, jobIdOf} from '@amaranthsail/core';
import {checkCompletedOnce} from '../check-executions.js';
import type {JobHandle} from '../job-handle.js';
import {monotonicNowMs} from '../monotonic-now.js';
import type {ProofSystem} from '../test-system.js';
import type {Scenario} from '../scenario.js';
import {check} from '../violation.js';
import {pause, waitUntil} from '../wait-until.js';

const ACCOUNT = 'water-repairs';

/** Length of the outage; longer than the claim time of ownership and the lease of a task. */
const OUTAGE_MS = 15_000;

/** Jobs of which half of the store's answers are lost. */
const RETRIED_JOBS = 30;

/** What was said of a submit while the store was down. */
type RefusedSubmit = {readonly key: string; readonly code: unknown; readonly outcome: unknown};

async function submitOnce(system: ProofSystem, entryIndex: number): Promise<RefusedSubmit> {
	const key = system.newKey();
	const address = formatAddress(system.liveEntries[entryIndex]!.address);
	const {body} = await system.account(ACCOUNT).callAt(address, 'POST', '/v1/jobs', {
		key, body: system.bodyOf({operation: 'quote-batching', runMs: 100}), timeoutMs: 20_000,
	});
	return {key, code: body.code, outcome: body.outcome};
}

/** Checks that a submit refused as `not_run` has no job and that every other one is decided the same way by all sources. */
async function checkRefused(system: ProofSystem, {key, code, outcome}: RefusedSubmit): Promise<void> {
	check(code === 'store_unavailable' || code === 'outcome_unknown', `a submit during the outage got ${String(code)}`);
	check(code !== 'outcome_unknown' || outcome === 'unknown', `outcome_unknown came with the outcome ${String(outcome)}`);
	const jobId = jobIdOf(ACCOUNT, key);
	const shown = await system.account(ACCOUNT).call('GET', `/v1/jobs/${jobId}`);
	if (outcome === 'not_run') {
		const starts = await system.executions(jobId);
		check(shown.status === 404 && starts.length === 0, `a job reported as not run exists: ${JSON.stringify(shown.body)}`);
		return;
	}

	if (shown.status === 200) {
		await checkCompletedOnce(system, {jobId, account: ACCOUNT, taskCount: 1}, 1);
	}
}

async function untilOutageEnds(startedMs: number, lengthMs: number): Promise<void> {
	await pause(Math.max(0, lengthMs - (monotonicNowMs() - startedMs)));
}

/** The store refuses everything for 15 s while jobs run, then loses answers while more submits come. */
export const storeDown: Scenario = {
	name: 'store-down',
	properties: ['P4', 'P5', 'P9'],
	async run({system}) {
		const jobs = await Promise.all([
			system.submit({operation: 'photo-assessment', runMs: 5000, taskCount: 2}),
			system.submit({operation: 'dispatch-matching', runMs: OUTAGE_MS + 3000}),
		]);
		await Promise.all(jobs.map(async job => system.untilState(job, 'running', 15_000)));
		const startedMs = monotonicNowMs();
		const refused: RefusedSubmit[] = [];
		try {
			await system.setPlatformFaults({unavailable: true});
			refused.push(...await Promise.all([0, 1, 0, 1].map(async index => submitOnce(system, index))));
			await untilOutageEnds(startedMs, OUTAGE_MS - 6000);
			// Changes take effect without an answer and no read works, so no submit can be confirmed.
			await system.setPlatformFaults({loseAnswersAfterEffect: true, operations: ['transact']});
			refused.push(...await Promise.all([0, 1].map(async index => submitOnce(system, index))));
			await system.setPlatformFaults({unavailable: true});
			await untilOutageEnds(startedMs, OUTAGE_MS);
		} finally {
			await system.clearPlatformFaults();
		}

		await system.untilReady();
		for (const job of jobs) {
			await checkCompletedOnce(system, job, 1);
		}

		for (const each of refused.filter(({code}) => code !== undefined)) {
			await checkRefused(system, each);
		}

		// Submits without a refusal were confirmed by a read of the row.
		for (const {key} of refused.filter(({code}) => code === undefined)) {
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

		await system.untilReady();
	},
};

/** Half of the store's answers to transactions are lost after the effect while callers retry their submits. */
export const answersLost: Scenario = {
	name: 'answers-lost',
	properties: ['P3', 'P5', 'P9'],
	async run({system}) {
		let accepted: readonly JobHandle[];
		try {
			await system.setPlatformFaults({loseAnswersAfterEffect: true, services: ['tables'], operations: ['transact'], every: 2});
			accepted = await Promise.all(Array.from({length: RETRIED_JOBS}, async (): Promise<JobHandle> => {
				const key = system.newKey();
				const reply = await system.account(ACCOUNT).call('POST', '/v1/jobs', {key, body: system.bodyOf({operation: 'dispatch-matching', runMs: 50})});
				check(reply.status < 300, `the submit was refused in the end: ${JSON.stringify(reply.body)}`);
				return {jobId: String(reply.body.jobId), account: ACCOUNT, taskCount: 1};
			}));
			await waitUntil('the end of all jobs', 60_000, async () => {
				const views = await Promise.all(accepted.map(async job => system.view(job)));
				return views.every(({final}) => final) ? true : undefined;
			});
		} finally {
			await system.clearPlatformFaults();
		}

		await system.untilReady();
		for (const job of accepted) {
			await checkCompletedOnce(system, job, 1);
			const starts = await system.executions(job.jobId);
			check(starts.length === 1, `job ${job.jobId} started ${starts.length} times`);
		}
	},
};
