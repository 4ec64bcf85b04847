import {ApiClient, type ApiResponse} from './api-client.js';
import {DIVISIONS, readExampleJob, readExampleRecords} from './example-records.js';
import {EXAMPLE_TOKENS, createExampleSystemOptions} from './example-system.js';
import {LocalSystem} from './local-system.js';

/** Longest wait until all workers have reported the configuration in force. */
const START_TIMEOUT_MS = 20_000;

/** Longest wait for the response to the request that waits up to 25,000 ms for the end of a job. */
const JOB_TIMEOUT_MS = 30_000;

type Account = keyof typeof EXAMPLE_TOKENS.accounts;

/** An example job and its expected result. */
type ExampleJob = {
	readonly title: string;
	readonly account: Account;
	readonly jobName: string;
	readonly input: Readonly<Record<string, unknown>>;
	readonly overrides?: Readonly<Record<string, unknown>>;
	/** The expected `outcome` of the job, or the error code of its refusal. */
	readonly expected: string;
};

const EXAMPLE_JOBS: readonly ExampleJob[] = [
	{title: 'revaluation', account: 'subsidiaries', jobName: 'revaluation', input: {runMs: 400}, expected: 'completed'},
	{title: 'revaluation, gang of 4 in one rack', account: 'subsidiaries', jobName: 'revaluation-gang', input: {runMs: 400}, expected: 'completed'},
	{title: 'depreciation posting', account: 'tax', jobName: 'depreciation-posting', input: {runMs: 100}, expected: 'completed'},
	{
		title: 'depreciation posting with a long input', account: 'tax', jobName: 'depreciation-posting',
		input: {runMs: 100, ledgers: Array.from({length: 200}, (_unused, index) => 4100 + index)}, expected: 'completed',
	},
	{title: 'disposal reconciliation, not repeatable', account: 'tax', jobName: 'disposal-reconciliation', input: {runMs: 100}, expected: 'completed'},
	{title: 'photo assessment, gang of 2', account: 'water-repairs', jobName: 'photo-assessment', input: {runMs: 400}, expected: 'completed'},
	{title: 'quote batching', account: 'housing-repairs', jobName: 'quote-batching', input: {runMs: 100}, expected: 'completed'},
	{title: 'dispatch matching, urgent', account: 'water-repairs', jobName: 'dispatch-matching', input: {runMs: 50}, expected: 'completed'},
	{
		title: 'revaluation larger than any worker', account: 'subsidiaries', jobName: 'revaluation', input: {},
		overrides: {shape: {memoryMb: 1_000_000}}, expected: 'never_fits',
	},
	{
		title: 'quote batching that always fails', account: 'housing-repairs', jobName: 'quote-batching', input: {fail: 'no quotes'},
		expected: 'failed',
	},
];

/** Prints one line. */
export type Print = (line: string) => void;

/**
 * Runs the whole system on emulators of the platform and the workers: starts the processes, applies the example
 * records, runs a job of each kind and stops all processes.
 *
 * @param print - Prints the report.
 * @returns Whether every job ended as expected.
 * @throws Error when a process does not start or a record is refused.
 */
export async function runQuickstart(print: Print): Promise<boolean> {
	const system = new LocalSystem(createExampleSystemOptions());
	try {
		print('Starting a platform emulator, two entries, six workers and their agents.');
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
			const response = await operator.call('PUT', `/v1/records/${record.kind}/${record.name}`, {body: {record}});
			if (response.status !== 200) {
				throw new Error(`${record.kind}/${record.name} was refused: ${JSON.stringify(response.body)}`);
			}
		}

		print(`Applied ${records.length} records of the ${division} division.`);
	}
}

/** Waits until each worker has reported the configuration in force. */
async function waitForWorkers(system: LocalSystem): Promise<void> {
	const operator = new ApiClient(system.entryAddresses[1]!, EXAMPLE_TOKENS.operators.mere);
	const deadlineMs = performance.now() + START_TIMEOUT_MS;
	for (;;) {
		const {body} = await operator.call('GET', '/v1/status');
		const entries = body.entries as ReadonlyArray<{readonly workers: readonly unknown[]}> | undefined;
		const workers = (entries ?? []).flatMap(entry => entry.workers);
		if (workers.length >= system.workers.length && body.lowestRevisionInForce === body.highestRevisionInForce) {
			return;
		}

		if (performance.now() > deadlineMs) {
			throw new Error(`the workers did not report in time: ${JSON.stringify(body)}`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, 200);
		});
	}
}

async function runJobs(system: LocalSystem, print: Print): Promise<boolean> {
	const results = await Promise.all(EXAMPLE_JOBS.map(async (example, index) => {
		// Submits through one entry and reads the job through the other.
		const submitAddress = system.entryAddresses[index % 2]!;
		const readAddress = system.entryAddresses[(index + 1) % 2]!;
		const startedAtMs = performance.now();
		const response = await runJob(example, submitAddress, readAddress, index);
		return {example, response, durationMs: performance.now() - startedAtMs};
	}));
	let isAsExpected = true;
	for (const {example, response, durationMs} of results) {
		const result = String(response.body.code ?? response.body.outcome ?? response.body.state);
		const workers = (response.body.workers as readonly string[] | undefined) ?? [];
		const isResultExpected = result === example.expected;
		isAsExpected &&= isResultExpected;
		print(`${isResultExpected ? 'ok  ' : 'FAIL'} ${example.title}: ${result} in ${Math.round(durationMs)} ms${workers.length > 0 ? ` on ${[...new Set(workers)].join(', ')}` : ''}`);
		const reason = response.body.message ?? (response.body.reason as {readonly message?: string} | undefined)?.message;
		if (reason !== undefined) {
			print(`     ${JSON.stringify(reason)}`);
		}

		if (response.body.answer !== undefined) {
			print(`     ${JSON.stringify(response.body.answer).slice(0, 160)}`);
		}
	}

	return isAsExpected;
}

async function runJob(example: ExampleJob, submitAddress: string, readAddress: string, index: number): Promise<ApiResponse> {
	const token = EXAMPLE_TOKENS.accounts[example.account];
	const job = await readExampleJob(example.jobName);
	const submission = await new ApiClient(submitAddress, token).call('POST', '/v1/jobs', {
		key: `quickstart-${index}`,
		body: {...job, ...example.overrides, input: example.input, waitMs: 0},
	});
	const {jobId} = submission.body;
	if (submission.status >= 400 || typeof jobId !== 'string') {
		return submission;
	}

	const client = new ApiClient(readAddress, token);
	const jobResponse = await client.call('GET', `/v1/jobs/${jobId}?waitMs=25000`, {timeoutMs: JOB_TIMEOUT_MS});
	if (jobResponse.body.state !== 'completed') {
		return jobResponse;
	}

	const answerResponse = await client.call('GET', `/v1/jobs/${jobId}/answer`);
	return {status: jobResponse.status, body: {...jobResponse.body, answer: answerResponse.body.tasks}};
}
