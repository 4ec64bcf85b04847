import {readExampleRecords} from '@amaranthsail/quickstart';
import {checkCompletedOnce} from '../check-executions.js';
import type {JobHandle} from '../job-handle.js';
import {monotonicNowMs} from '../monotonic-now.js';
import type {ProofSystem} from '../test-system.js';
import type {Scenario, ScenarioContext} from '../scenario.js';
import {check} from '../violation.js';
import {waitUntil} from '../wait-until.js';

/** Longest wait for a start; the stated targets are in the table of figures. */
const START_TIMEOUT_MS = 30_000;

/** Run time of the work that fills the accelerators; it is cancelled at the end. */
const FILL_RUN_MS = 300_000;

/** Accelerators of one task by operation, as in the example records. */
const ACCELERATORS: Readonly<Partial<Record<string, number>>> = {'photo-assessment': 2, 'quote-batching': 1, 'dispatch-matching': 1};

async function startUrgent(system: ProofSystem): Promise<number> {
	const submittedMs = monotonicNowMs();
	const job = await system.submit({operation: 'dispatch-matching', runMs: 50});
	const startMs = await waitUntil('the start of an urgent job', START_TIMEOUT_MS, async () => {
		const [execution] = await system.executions(job.jobId);
		return execution?.startMs;
	});
	await checkCompletedOnce(system, job, 1);
	return startMs - submittedMs;
}

/** Waits until tasks run on every accelerator. */
async function untilFull(system: ProofSystem): Promise<void> {
	const total = system.local.workers.reduce((sum, {spec}) => sum + spec.capacity.accelerators, 0);
	let used = 0;
	try {
		await waitUntil('work on all accelerators', START_TIMEOUT_MS, async () => {
			const executions = await system.executions();
			const running = executions.filter(({endMs}) => endMs === undefined);
			used = running.reduce((sum, {operation}) => sum + ACCELERATORS[operation]!, 0);
			return used === total ? true : undefined;
		});
	} catch {
		check(false, `work is on ${used} of ${total} accelerators`);
	}
}

async function cancel(system: ProofSystem, jobs: readonly JobHandle[]): Promise<void> {
	const caller = system.account('housing-repairs');
	await Promise.all(jobs.map(async ({jobId}) => caller.call('DELETE', `/v1/jobs/${jobId}`)));
	await waitUntil('the end of the cancelled jobs', START_TIMEOUT_MS, async () => {
		const views = await Promise.all(jobs.map(async job => system.view(job)));
		return views.every(({final}) => final) ? true : undefined;
	});
}

/** Time from the submit of an urgent job to its start on an idle system. */
export const urgentStartIdle: Scenario = {
	name: 'urgent-start-idle',
	properties: ['P9'],
	async run({system, record, repeats}) {
		for (let round = 0; round < repeats * 3; round += 1) {
			record('urgent start, idle', await startUrgent(system));
		}

		const worker = system.local.workers[0]!;
		await worker.agent.stop('SIGKILL');
		for (let round = 0; round < repeats; round += 1) {
			record('urgent start, agent killed', await startUrgent(system));
		}

		await system.local.restartAgent(worker);
		await system.untilReady();
	},
};

/** Sets the share of accelerators that the example policy keeps for short work and waits until it is in force. */
async function setShortShare(system: ProofSystem, shortShare: number | undefined): Promise<void> {
	const records = await readExampleRecords('cooperative');
	const policy = records.find(({kind}) => kind === 'Policy')!;
	const record = shortShare === undefined ? policy : {...policy, spec: {...policy.spec, lanes: {shortShare}}};
	const reply = await system.operator('olga').call('PUT', `/v1/records/Policy/${policy.name}`, {body: {record}});
	check(reply.status === 200, `the policy was refused: ${JSON.stringify(reply.body)}`);
	await waitUntil('the policy in force', START_TIMEOUT_MS, async () => {
		const {lowestRevision} = await system.status();
		return lowestRevision >= Number(reply.body.revision) ? true : undefined;
	});
}

async function fillAndReclaim({system, record, repeats}: ScenarioContext, name: string, counts: {readonly long: number; readonly short: number}): Promise<void> {
	const account = 'housing-repairs';
	const filling = await Promise.all([
		...Array.from({length: counts.long}, async () => system.submit({operation: 'photo-assessment', runMs: FILL_RUN_MS, account})),
		...Array.from({length: counts.short}, async () => system.submit({operation: 'quote-batching', runMs: FILL_RUN_MS, account})),
	]);
	try {
		for (let round = 0; round < repeats; round += 1) {
			await untilFull(system);
			record(name, await startUrgent(system));
		}
	} finally {
		await cancel(system, filling);
	}
}

/** Time from the submit of an urgent job to its start while stoppable work of another account fills all accelerators. */
export const urgentStartReclaim: Scenario = {
	name: 'urgent-start-reclaim',
	properties: ['P1', 'P9'],
	async run(context) {
		const {system} = context;
		await fillAndReclaim(context, 'urgent start, reclaim from short work', {long: 12, short: 24});
		// Without a share for short work, long work that can checkpoint fills everything.
		await setShortShare(system, 0);
		try {
			await fillAndReclaim(context, 'urgent start, reclaim from long work', {long: 16, short: 0});
		} finally {
			await setShortShare(system, undefined);
		}
	},
};
