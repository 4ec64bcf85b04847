import {readExampleRecords} from '@amaranthsail/quickstart';
import {checkCompletedOnce} from '../check-executions.js';
import type {JobHandle} from '../job-handle.js';
import {monotonicNowMs} from '../monotonic-now.js';
import type {TestSystem} from '../test-system.js';
import type {Scenario, ScenarioContext} from '../scenario.js';
import {check} from '../violation.js';
import {waitUntil} from '../wait-until.js';

/** Longest wait for a start; the targets are in TARGETS_MS. */
const START_TIMEOUT_MS = 30_000;

/** Run time of the jobs that occupy the accelerators; they are cancelled at the end. */
const FILL_RUN_MS = 300_000;

/** Accelerators of one task by operation, as in the example records. */
const ACCELERATORS: Readonly<Partial<Record<string, number>>> = {'photo-assessment': 2, 'quote-batching': 1, 'dispatch-matching': 1};

async function measureUrgentStart(system: TestSystem): Promise<number> {
	const submittedAtMs = monotonicNowMs();
	const job = await system.submit({operation: 'dispatch-matching', runMs: 50});
	const startMs = await waitUntil('the start of an urgent job', START_TIMEOUT_MS, async () => {
		const [execution] = await system.listExecutions(job.jobId);
		return execution?.startMs;
	});
	await checkCompletedOnce(system, job, 1);
	return startMs - submittedAtMs;
}

/** Waits until tasks occupy all accelerators. */
async function waitUntilFull(system: TestSystem): Promise<void> {
	const totalAccelerators = system.localSystem.workers.reduce((sum, {spec}) => sum + spec.capacity.accelerators, 0);
	let usedAccelerators = 0;
	try {
		await waitUntil('tasks on all accelerators', START_TIMEOUT_MS, async () => {
			const executions = await system.listExecutions();
			const runningTasks = executions.filter(({endMs}) => endMs === undefined);
			usedAccelerators = runningTasks.reduce((sum, {operation}) => sum + ACCELERATORS[operation]!, 0);
			return usedAccelerators === totalAccelerators ? true : undefined;
		});
	} catch {
		check(false, `tasks occupy ${usedAccelerators} of ${totalAccelerators} accelerators`);
	}
}

async function cancelJobs(system: TestSystem, jobs: readonly JobHandle[]): Promise<void> {
	const client = system.accountClient('housing-repairs');
	await Promise.all(jobs.map(async ({jobId}) => client.call('DELETE', `/v1/jobs/${jobId}`)));
	await waitUntil('the end of the cancelled jobs', START_TIMEOUT_MS, async () => {
		const jobViews = await Promise.all(jobs.map(async job => system.readJob(job)));
		return jobViews.every(({final}) => final) ? true : undefined;
	});
}

/** Measures the time from the submission of an urgent job to its start on an idle system. */
export const urgentStartIdle: Scenario = {
	name: 'urgent-start-idle',
	properties: ['P9'],
	async run({system, recordTime, repeats}) {
		for (let round = 0; round < repeats * 3; round += 1) {
			recordTime('urgent start, idle', await measureUrgentStart(system));
		}

		const worker = system.localSystem.workers[0]!;
		await worker.agent.stop('SIGKILL');
		for (let round = 0; round < repeats; round += 1) {
			recordTime('urgent start, agent killed', await measureUrgentStart(system));
		}

		await system.localSystem.restartAgent(worker);
		await system.waitUntilReady();
	},
};

/** Sets the share of accelerators that the example policy reserves for short work, and waits until it is in force. */
async function setShortShare(system: TestSystem, shortShare: number | undefined): Promise<void> {
	const records = await readExampleRecords('cooperative');
	const policy = records.find(({kind}) => kind === 'Policy')!;
	const record = shortShare === undefined ? policy : {...policy, spec: {...policy.spec, lanes: {shortShare}}};
	const reply = await system.operatorClient('olga').call('PUT', `/v1/records/Policy/${policy.name}`, {body: {record}});
	check(reply.status === 200, `the policy was refused: ${JSON.stringify(reply.body)}`);
	await waitUntil('the policy in force', START_TIMEOUT_MS, async () => {
		const {lowestRevision} = await system.readStatus();
		return lowestRevision >= Number(reply.body.revision) ? true : undefined;
	});
}

async function measureReclaim({system, recordTime, repeats}: ScenarioContext, name: string, jobCounts: {readonly long: number; readonly short: number}): Promise<void> {
	const account = 'housing-repairs';
	const fillJobs = await Promise.all([
		...Array.from({length: jobCounts.long}, async () => system.submit({operation: 'photo-assessment', runMs: FILL_RUN_MS, account})),
		...Array.from({length: jobCounts.short}, async () => system.submit({operation: 'quote-batching', runMs: FILL_RUN_MS, account})),
	]);
	try {
		for (let round = 0; round < repeats; round += 1) {
			await waitUntilFull(system);
			recordTime(name, await measureUrgentStart(system));
		}
	} finally {
		await cancelJobs(system, fillJobs);
	}
}

/** Measures the time from the submission of an urgent job to its start while stoppable jobs of another account occupy all accelerators. */
export const urgentStartReclaim: Scenario = {
	name: 'urgent-start-reclaim',
	properties: ['P1', 'P9'],
	async run(context) {
		const {system} = context;
		await measureReclaim(context, 'urgent start, reclaim from short work', {long: 12, short: 24});
		// Without a share for short work, long checkpointable jobs occupy all accelerators.
		await setShortShare(system, 0);
		try {
			await measureReclaim(context, 'urgent start, reclaim from long work', {long: 16, short: 0});
		} finally {
			await setShortShare(system, undefined);
		}
	},
};
