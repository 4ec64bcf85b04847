import {formatAddress} from '@amaranthsail/core';
import type {Execution, FaultSwitches} from '@amaranthsail/backing-services';
import {
	EXAMPLE_TOKENS,
	createExampleSystemOptions,
	LocalSystem,
	readExampleRecords,
	type ApiResponse,
	type LocalEntrySpec,
	type LocalWorker,
	type ManagedProcess,
} from '@amaranthsail/quickstart';
import {request} from 'undici';
import {FailoverClient} from './failover-client.js';
import type {JobHandle, JobView} from './job-handle.js';
import {parseStatus, type SystemStatus} from './system-status.js';
import {check} from './violation.js';
import {waitUntil} from './wait-until.js';

/** The failure domain whose workers all run. */
export const FAILURE_DOMAIN = 'lami';

/** Longest wait until a system whose processes all run is ready. */
const READY_TIMEOUT_MS = 20_000;

const ENTRY_SPEC: LocalEntrySpec = {name: 'entry', region: 'viti-levu', failureDomain: 'suva'};

type Account = keyof typeof EXAMPLE_TOKENS.accounts;
type Operator = keyof typeof EXAMPLE_TOKENS.operators;

/** A job to submit; all other fields have the defaults of the operation. */
export type JobRequest = {
	readonly operation: 'photo-assessment' | 'quote-batching' | 'dispatch-matching';
	readonly runMs: number;
	readonly account?: Account;
	readonly taskCount?: number;
	readonly waitMs?: number;
};

/** A system of real processes with one complete failure domain: two entries, three workers and their agents. */
export class TestSystem {
	readonly localSystem = new LocalSystem({
		...createExampleSystemOptions(),
		entries: [ENTRY_SPEC, ENTRY_SPEC],
		spareEntryCount: 1,
		workers: createExampleSystemOptions().workers.filter(worker => worker.failureDomain === FAILURE_DOMAIN),
	});

	#lastKeyNumber = 0;

	/** Starts the processes, applies the example records and waits until the configuration is in force on all agents. */
	async start(): Promise<void> {
		await this.localSystem.start();
		const operator = this.operatorClient('olga');
		for (const record of await readExampleRecords('cooperative')) {
			const reply = await operator.call('PUT', `/v1/records/${record.kind}/${record.name}`, {body: {record}});
			check(reply.status === 200, `${record.kind}/${record.name} was refused: ${JSON.stringify(reply.body)}`);
		}

		await this.waitUntilReady();
	}

	/** Stops all processes. */
	async stop(): Promise<void> {
		await this.localSystem.stop();
	}

	/** Entries that have become ready and whose process has not ended. */
	get runningEntries(): readonly ManagedProcess[] {
		return this.localSystem.entries.filter(entry => entry.isRunning && entry.isReady);
	}

	/**
	 * Creates an API client with the token of a client account.
	 *
	 * @param account - The account.
	 * @returns The client; it uses all running entries.
	 */
	accountClient(account: Account = 'water-repairs'): FailoverClient {
		return new FailoverClient(() => this.#targetAddresses(), EXAMPLE_TOKENS.accounts[account]);
	}

	/**
	 * Creates an API client with the token of an operator.
	 *
	 * @param operator - The operator.
	 * @returns The client.
	 */
	operatorClient(operator: Operator): FailoverClient {
		return new FailoverClient(() => this.#targetAddresses(), EXAMPLE_TOKENS.operators[operator]);
	}

	/**
	 * Creates an idempotency key that no other request to the system uses.
	 *
	 * @returns The key.
	 */
	createIdempotencyKey(): string {
		this.#lastKeyNumber += 1;
		return `proof-${this.#lastKeyNumber}`;
	}

	/**
	 * Creates the body of a job submission.
	 *
	 * @param job - The job.
	 * @returns The body.
	 */
	createJobBody(job: JobRequest): Readonly<Record<string, unknown>> {
		const {operation, runMs, taskCount, waitMs} = job;
		return {service: 'shared-repairs', operation, input: {runMs}, taskCount, waitMs, failureDomains: [FAILURE_DOMAIN]};
	}

	/**
	 * Submits a job through any entry.
	 *
	 * @param job - The job.
	 * @returns The accepted job.
	 * @throws Violation when it is refused.
	 */
	async submit(job: JobRequest): Promise<JobHandle> {
		const reply = await this.accountClient(job.account).call('POST', '/v1/jobs', {key: this.createIdempotencyKey(), body: this.createJobBody(job)});
		check(reply.status < 300, `the job submission was refused: ${JSON.stringify(reply.body)}`);
		return {jobId: String(reply.body.jobId), account: job.account ?? 'water-repairs', taskCount: job.taskCount ?? 1};
	}

	/**
	 * Reads a job.
	 *
	 * @param job - The job.
	 * @param waitMs - Longest wait of the request for the end of the job.
	 * @returns The job as the API returns it.
	 */
	async readJob(job: JobHandle, waitMs = 0): Promise<JobView> {
		const reply = await this.accountClient(job.account as Account).call('GET', `/v1/jobs/${job.jobId}?waitMs=${waitMs}`, {timeoutMs: waitMs + 8000});
		check(reply.status === 200, `job ${job.jobId} could not be read: ${JSON.stringify(reply.body)}`);
		return reply.body as unknown as JobView;
	}

	/**
	 * Waits until a job is in a state.
	 *
	 * @param job - The job.
	 * @param state - The state.
	 * @param timeoutMs - Longest wait.
	 * @returns The job.
	 */
	async waitForState(job: JobHandle, state: JobView['state'], timeoutMs: number): Promise<JobView> {
		return waitUntil(`job ${job.jobId} ${state}`, timeoutMs, async () => {
			const view = await this.readJob(job);
			check(!view.final || view.state === state, `job ${job.jobId} ended as ${view.state}: ${JSON.stringify(view.reason)}`);
			return view.state === state ? view : undefined;
		});
	}

	/**
	 * Reads the answer of a completed job.
	 *
	 * @param job - The job.
	 * @returns The response of the API.
	 */
	async readAnswer(job: JobHandle): Promise<ApiResponse> {
		return this.accountClient(job.account as Account).call('GET', `/v1/jobs/${job.jobId}/answer`);
	}

	/**
	 * Lists the executions of tasks on all workers.
	 *
	 * @param jobId - The job; all jobs when absent.
	 * @returns The executions, with times of the monotonic clock of the host.
	 */
	async listExecutions(jobId?: string): Promise<readonly Execution[]> {
		const lists = await Promise.all(this.localSystem.workers.map(async ({worker, spec}) => {
			const {executions} = await callEmulator(worker, 'GET', '/v1/executions') as {readonly executions: readonly Execution[]};
			return executions.map(execution => ({...execution, workerId: spec.workerId}));
		}));
		return lists.flat().filter(execution => jobId === undefined || execution.key.jobId === jobId);
	}

	/**
	 * Reads the status from any entry.
	 *
	 * @returns The entries that answer, and the workers known to their owners.
	 */
	async readStatus(): Promise<SystemStatus> {
		const reply = await this.operatorClient('mere').call('GET', '/v1/status', {timeoutMs: 5000});
		check(reply.status === 200, `status was refused: ${JSON.stringify(reply.body)}`);
		return parseStatus(reply.body);
	}

	/**
	 * Finds the entry that owns the failure domain.
	 *
	 * @returns Its process and the epoch.
	 */
	async findOwner(): Promise<{readonly entry: ManagedProcess; readonly epoch: number}> {
		return waitUntil('an owner', READY_TIMEOUT_MS, async () => {
			const {entries} = await this.readStatus();
			// An entry that was paused reports its old epoch until it has read the ownership row.
			const [owner] = entries
				.filter(entry => entry.isAnswering && entry.epochs.has(FAILURE_DOMAIN))
				.toSorted((left, right) => right.epochs.get(FAILURE_DOMAIN)! - left.epochs.get(FAILURE_DOMAIN)!);
			const entry = owner && this.runningEntries.find(runningEntry => formatAddress(runningEntry.address) === owner.address);
			return entry && {entry, epoch: owner.epochs.get(FAILURE_DOMAIN)!};
		});
	}

	/**
	 * Starts an entry at an address that the agents know and no running entry uses.
	 *
	 * @returns The entry, ready to serve requests.
	 */
	async startEntry(): Promise<ManagedProcess> {
		const usedAddresses = new Set(this.runningEntries.map(entry => formatAddress(entry.address)));
		const entry = await this.localSystem.startEntry(ENTRY_SPEC, this.localSystem.entryAddresses.find(address => !usedAddresses.has(address)));
		const address = formatAddress(entry.address);
		await waitUntil(`${address} ready`, READY_TIMEOUT_MS, async () => {
			const {status} = await this.operatorClient('olga').callAt(address, 'GET', '/readyz');
			return status === 200 ? true : undefined;
		});
		return entry;
	}

	/**
	 * Finds a worker by its id.
	 *
	 * @param workerId - The id, as in API responses.
	 * @returns Its processes.
	 */
	findWorker(workerId: string): LocalWorker {
		const worker = this.localSystem.workers.find(({spec}) => spec.workerId === workerId);
		check(worker !== undefined, `there is no worker ${workerId}`);
		return worker;
	}

	/**
	 * Sets the faults that the platform emulator injects; see the page on the platform.
	 *
	 * @param switches - The faults; they replace the previous ones.
	 */
	async setPlatformFaults(switches: FaultSwitches): Promise<void> {
		await callEmulator(this.localSystem.platform, 'PUT', '/v1/faults', switches);
	}

	/** Removes all faults of the platform emulator. */
	async clearPlatformFaults(): Promise<void> {
		await callEmulator(this.localSystem.platform, 'DELETE', '/v1/faults');
	}

	/**
	 * Changes what the endpoint of a worker announces.
	 *
	 * @param localWorker - The worker.
	 * @param change - The fields to change.
	 */
	async changeEndpoint(localWorker: LocalWorker, change: {readonly leaving?: boolean; readonly silent?: boolean}): Promise<void> {
		await callEmulator(localWorker.worker, 'PUT', '/v1/endpoints', change);
	}

	/** Waits until exactly one entry owns the failure domain and all entries and agents report the same revision. */
	async waitUntilReady(): Promise<void> {
		const workerCount = this.localSystem.workers.length;
		await waitUntil('all agents with the newest configuration', READY_TIMEOUT_MS, async () => {
			const {entries, workers, lowestRevision, highestRevision} = await this.readStatus();
			const owners = entries.filter(entry => entry.isAnswering && entry.epochs.has(FAILURE_DOMAIN));
			return owners.length === 1 && workers.length >= workerCount && lowestRevision === highestRevision ? true : undefined;
		});
	}

	#targetAddresses(): readonly string[] {
		const addresses = this.runningEntries.map(entry => formatAddress(entry.address));
		return addresses.length > 0 ? addresses : this.localSystem.entryAddresses;
	}
}

async function callEmulator(target: ManagedProcess, method: 'GET' | 'PUT' | 'DELETE', path: string, body?: unknown): Promise<unknown> {
	const response = await request(`http://${formatAddress(target.address)}${path}`, {
		method,
		headers: {'content-type': 'application/json'},
		body: body === undefined ? undefined : JSON.stringify(body),
		headersTimeout: 5000,
		bodyTimeout: 5000,
	});
	const reply: unknown = await response.body.json();
	check(response.statusCode === 200, `${target.spec.name} refused ${method} ${path}: ${JSON.stringify(reply)}`);
	return reply;
}
