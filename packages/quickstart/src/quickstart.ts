import {ApiClient, type ApiResponse} from './api-client.js';
import {DIVISIONS, readExampleJob, readExampleRecords} from './example-records.js';
import {EXAMPLE_TOKENS, exampleSystem} from './example-system.js';
import {LocalSystem} from './local-system.js';

/** Longest wait until all entries are ready and workers have reported. */
const START_TIMEOUT_MS = 20_000;

/** Longest wait for the end of one job. */
const JOB_TIMEOUT_MS = 30_000;

type Account = keyof typeof EXAMPLE_TOKENS.accounts;

/** A job to run and how it should end. */
type ExampleRun = {
	readonly title: string;
	readonly account: Account;
	readonly job: string;
	readonly input: Readonly<Record<string, unknown>>;
	readonly change?: Readonly<Record<string, unknown>>;
	/** The expected `outcome` of the job or the code of its refusal. */
	readonly expected: string;
};

const RUNS: readonly ExampleRun[] = [
	{title: 'revaluation', account: 'subsidiaries', job: 'revaluation', input: {runMs: 400}, expected: 'completed'},
	{title: 'revaluation, gang of 4 in one rack', account: 'subsidiaries', job: 'revaluation-gang', input: {runMs: 400}, expected: 'completed'},
	{title: 'depreciation posting', account: 'tax', job: 'depreciation-posting', input: {runMs: 100}, expected: 'completed'},
	{
		title: 'depreciation posting with a long input', account: 'tax', job: 'depreciation-posting',
		input: {runMs: 100, ledgers: Array.from({length: 200}, (_unused, index) => 4100 + index)}, expected: 'completed',
	},
	{title: 'disposal reconciliation, not repeatable', account: 'tax', job: 'disposal-reconciliation', input: {runMs: 100}, expected: 'completed'},
	{title: 'photo assessment, gang of 2', account: 'water-repairs', job: 'photo-assessment', input: {runMs: 400}, expected: 'completed'},
	{title: 'quote batching', account: 'housing-repairs', job: 'quote-batching', input: {runMs: 100}, expected: 'completed'},
	{title: 'dispatch matching, urgent', account: 'water-repairs', job: 'dispatch-matching', input: {runMs: 50}, expected: 'completed'},
	{
		title: 'revaluation larger than any worker', account: 'subsidiaries', job: 'revaluation', input: {},
		change: {shape: {memoryMb: 1_000_000}}, expected: 'never_fits',
	},
	{
		title: 'quote batching that always fails', account: 'housing-repairs', job: 'quote-batching', input: {fail: 'no quotes'},
		expected: 'failed',
	},
];

/** Prints one line of the report. */
export type Print = (line: string) => void;

/**
 * Runs the whole path on stand-ins: starts the processes, applies the example records, runs a job of each kind,
 * and ends everything it has started.
 *
 * @param print - Takes the report.
 * @returns Whether every job ended as expected.
 * @throws Error when a process does not start or a record is refused.
 */
export async function runQuickstart(print: Print): Promise<boolean> {
	const system = new LocalSystem(exampleSystem());
	try {
		print('Starting a platform stand-in, two entries, six workers and their agents.');
		await system.start();
		await applyRecords(system, print);
		await waitForWorkers(system);
		return await runJobs(system, print);
	} finally {
		await system.stop();
		print('Stopped all processes.');
	}
}

async function applyRecords(system: LocalSystem, print: Print): Promise<void> {
	const operator = new ApiClient(system.entryAddresses[0]!, EXAMPLE_TOKENS.operators.olga);
	for (const division of DIVISIONS) {
		const records = await readExampleRecords(division);
		for (const record of records) {
			const reply = await operator.call('PUT', `/v1/records/${record.kind}/${record.name}`, {body: {record}});
			if (reply.status !== 200) {
				throw new Error(`${record.kind}/${record.name} was refused: ${JSON.stringify(reply.body)}`);
			}
		}

		print(`Applied ${records.length} records of the ${division} division.`);
	}
}

/** Waits until each worker has reported the configuration in force. */
async function waitForWorkers(system: LocalSystem): Promise<void> {
	const operator = new ApiClient(system.entryAddresses[1]!, EXAMPLE_TOKENS.operators.mere);
	const untilMs = performance.now() + START_TIMEOUT_MS;
	for (;;) {
		const {body} = await operator.call('GET', '/v1/status');
		const entries = body.entries as ReadonlyArray<{readonly workers: readonly unknown[]}> | undefined;
		const workers = (entries ?? []).flatMap(entry => entry.workers);
		if (workers.length >= system.workers.length && body.lowestRevisionInForce === body.highestRevisionInForce) {
			return;
		}

		if (performance.now() > untilMs) {
			throw new Error(`the workers did not report in time: ${JSON.stringify(body)}`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, 200);
		});
	}
}

async function runJobs(system: LocalSystem, print: Print): Promise<boolean> {
	const results = await Promise.all(RUNS.map(async (run, index) => {
		// Submit through one entry and ask through the other.
		const submitAddress = system.entryAddresses[index % 2]!;
		const askAddress = system.entryAddresses[(index + 1) % 2]!;
		const startedMs = performance.now();
		const reply = await runJob(run, submitAddress, askAddress, index);
		return {run, reply, tookMs: performance.now() - startedMs};
	}));
	let isAsExpected = true;
	for (const {run, reply, tookMs} of results) {
		const result = String(reply.body.code ?? reply.body.outcome ?? reply.body.state);
		const workers = (reply.body.workers as readonly string[] | undefined) ?? [];
		const isExpected = result === run.expected;
		isAsExpected &&= isExpected;
		print(`${isExpected ? 'ok  ' : 'FAIL'} ${run.title}: ${result} in ${Math.round(tookMs)} ms${workers.length > 0 ? ` on ${[...new Set(workers)].join(', ')}` : ''}`);
		const reason = reply.body.message ?? (reply.body.reason as {readonly message?: string} | undefined)?.message;
		if (reason !== undefined) {
			print(`     ${JSON.stringify(reason)}`);
		}

		if (reply.body.answer !== undefined) {
			print(`     ${JSON.stringify(reply.body.answer).slice(0, 160)}`);
		}
	}

	return isAsExpected;
}

async function runJob(run: ExampleRun, submitAddress: string, askAddress: string, index: number): Promise<ApiResponse> {
	const token = EXAMPLE_TOKENS.accounts[run.account];
	const job = await readExampleJob(run.job);
	const submitted = await new ApiClient(submitAddress, token).call('POST', '/v1/jobs', {
		key: `quickstart-${index}`,
		body: {...job, ...run.change, input: run.input, waitMs: 0},
	});
	const {jobId} = submitted.body;
	if (submitted.status >= 400 || typeof jobId !== 'string') {
		return submitted;
	}

	const client = new ApiClient(askAddress, token);
	const shown = await client.call('GET', `/v1/jobs/${jobId}?waitMs=25000`, {timeoutMs: JOB_TIMEOUT_MS});
	if (shown.body.state !== 'completed') {
		return shown;
	}

	const answer = await client.call('GET', `/v1/jobs/${jobId}/answer`);
	return {status: shown.status, body: {...shown.body, answer: answer.body.tasks}};
}
