import {formatAddress} from '@amaranthsail/core';
import type {Execution, FaultSwitches} from '@amaranthsail/backing-services';
import {
	EXAMPLE_TOKENS,
	exampleSystem,
	LocalSystem,
	readExampleRecords,
	type ApiReply,
	type LocalEntrySpec,
	type LocalWorker,
	type ManagedProcess,
} from '@amaranthsail/quickstart';
import {request} from 'undici';
import {Caller} from './failover-client.js';
import type {JobHandle, JobView} from './job-handle.js';
import {parseStatus, type SystemStatus} from './system-status.js';
import {check} from './violation.js';
import {waitUntil} from './wait-until.js';

/** The failure domain that runs in full. */
export const FAILURE_DOMAIN = 'lami';

/** Longest wait for a system that has all of its processes to be usable. */
const READY_TIMEOUT_MS = 20_000;

const ENTRY: LocalEntrySpec = {name: 'entry', region: 'viti-levu', failureDomain: 'suva'};

type Account = keyof typeof EXAMPLE_TOKENS.accounts;
type Operator = keyof typeof EXAMPLE_TOKENS.operators;

/** What a run asks for; the rest is the operation's. */
export type JobRequest = {
	readonly operation: 'photo-assessment' | 'quote-batching' | 'dispatch-matching';
	readonly runMs: number;
	readonly account?: Account;
	readonly taskCount?: number;
	readonly waitMs?: number;
};

/** A system of real processes with one failure domain in full: two entries, three workers and their agents. */
export class ProofSystem {
	readonly local = new LocalSystem({
		...exampleSystem(),
		entries: [ENTRY, ENTRY],
		spareEntryCount: 1,
		workers: exampleSystem().workers.filter(worker => worker.failureDomain === FAILURE_DOMAIN),
	});

	#lastKey = 0;

	/** Starts the processes, applies the example records and waits until all agents have them. */
	async start(): Promise<void> {
		await this.local.start();
		const operator = this.operator('olga');
		for (const record of await readExampleRecords('cooperative')) {
			const reply = await operator.call('PUT', `/v1/records/${record.kind}/${record.name}`, {body: {record}});
			check(reply.status === 200, `${record.kind}/${record.name} was refused: ${JSON.stringify(reply.body)}`);
		}

		await this.untilReady();
	}

	/** Ends all processes. */
	async stop(): Promise<void> {
		await this.local.stop();
	}

	/** Entries that listen or have listened, and whose process runs. */
	get liveEntries(): readonly ManagedProcess[] {
		return this.local.entries.filter(entry => entry.isRunning && entry.isReady);
	}

	/**
	 * Makes a caller of a client account.
	 *
	 * @param account - The account.
	 * @returns The caller; it knows all entry addresses.
	 */
	account(account: Account = 'water-repairs'): Caller {
		return new Caller(() => this.#addresses(), EXAMPLE_TOKENS.accounts[account]);
	}

	/**
	 * Makes a caller of an operator.
	 *
	 * @param operator - The operator.
	 * @returns The caller.
	 */
	operator(operator: Operator): Caller {
		return new Caller(() => this.#addresses(), EXAMPLE_TOKENS.operators[operator]);
	}

	/**
	 * Makes an idempotency key that no other request of the system has.
	 *
	 * @returns The key.
	 */
	newKey(): string {
		this.#lastKey += 1;
		return `proof-${this.#lastKey}`;
	}

	/**
	 * Formats the body of a submit.
	 *
	 * @param job - What to run.
	 * @returns The body.
	 */
	bodyOf(job: JobRequest): Readonly<Record<string, unknown>> {
		const {operation, runMs, taskCount, waitMs} = job;
		return {service: 'shared-repairs', operation, input: {runMs}, taskCount, waitMs, failureDomains: [FAILURE_DOMAIN]};
	}

	/**
	 * Submits a job through any entry.
	 *
	 * @param job - What to run.
	 * @returns The accepted job.
	 * @throws Violation when it is refused.
	 */
	async submit(job: JobRequest): Promise<JobHandle> {
		const reply = await this.account(job.account).call('POST', '/v1/jobs', {key: this.newKey(), body: this.bodyOf(job)});
		check(reply.status < 300, `the submit was refused: ${JSON.stringify(reply.body)}`);
		return {jobId: String(reply.body.jobId), account: job.account ?? 'water-repairs', taskCount: job.taskCount ?? 1};
	}

	/**
	 * Reads a job.
	 *
	 * @param job - The job.
	 * @param waitMs - How long to wait for its end.
	 * @returns What the API shows.
	 */
	async view(job: JobHandle, waitMs = 0): Promise<JobView> {
		const reply = await this.account(job.account as Account).call('GET', `/v1/jobs/${job.jobId}?waitMs=${waitMs}`, {timeoutMs: waitMs + 8000});
		check(reply.status === 200, `job ${job.jobId} was not shown: ${JSON.stringify(reply.body)}`);
		return reply.body as unknown as JobView;
	}

	/**
	 * Waits until a job has reached a state.
	 *
	 * @param job - The job.
	 * @param state - The state.
	 * @param timeoutMs - Longest wait.
	 * @returns The job.
	 */
	async untilState(job: JobHandle, state: JobView['state'], timeoutMs: number): Promise<JobView> {
		return waitUntil(`job ${job.jobId} ${state}`, timeoutMs, async () => {
			const view = await this.view(job);
			check(!view.final || view.state === state, `job ${job.jobId} ended as ${view.state}: ${JSON.stringify(view.reason)}`);
			return view.state === state ? view : undefined;
		});
	}

	/**
	 * Reads the answer of a completed job.
	 *
	 * @param job - The job.
	 * @returns The reply of the API.
	 */
	async answer(job: JobHandle): Promise<ApiReply> {
		return this.account(job.account as Account).call('GET', `/v1/jobs/${job.jobId}/answer`);
	}

	/**
	 * Reads every start of a task on all workers.
	 *
	 * @param jobId - Only those of one job; all when absent.
	 * @returns The starts, with times on the common monotonic clock.
	 */
	async executions(jobId?: string): Promise<readonly Execution[]> {
		const lists = await Promise.all(this.local.workers.map(async ({worker, spec}) => {
			const {executions} = await callStandin(worker, 'GET', '/v1/executions') as {readonly executions: readonly Execution[]};
			return executions.map(execution => ({...execution, workerId: spec.workerId}));
		}));
		return lists.flat().filter(execution => jobId === undefined || execution.key.jobId === jobId);
	}

	/**
	 * Reads the status from any entry.
	 *
	 * @returns Entries that answer, and the workers their owners know.
	 */
	async status(): Promise<SystemStatus> {
		const reply = await this.operator('mere').call('GET', '/v1/status', {timeoutMs: 5000});
		check(reply.status === 200, `status was refused: ${JSON.stringify(reply.body)}`);
		return parseStatus(reply.body);
	}

	/**
	 * Finds the entry that owns the failure domain.
	 *
	 * @returns Its process and the epoch.
	 */
	async owner(): Promise<{readonly entry: ManagedProcess; readonly epoch: number}> {
		return waitUntil('an owner', READY_TIMEOUT_MS, async () => {
			const {entries} = await this.status();
			// An entry that was paused claims its old epoch until it has looked at the row.
			const [owner] = entries
				.filter(entry => entry.answers && entry.epochs.has(FAILURE_DOMAIN))
				.toSorted((left, right) => right.epochs.get(FAILURE_DOMAIN)! - left.epochs.get(FAILURE_DOMAIN)!);
			const entry = owner && this.liveEntries.find(live => formatAddress(live.address) === owner.address);
			return entry && {entry, epoch: owner.epochs.get(FAILURE_DOMAIN)!};
		});
	}

	/**
	 * Starts an entry at an address that the agents know and that is free.
	 *
	 * @returns The entry, ready to take calls.
	 */
	async startEntry(): Promise<ManagedProcess> {
		const taken = new Set(this.liveEntries.map(entry => formatAddress(entry.address)));
		const entry = await this.local.startEntry(ENTRY, this.local.entryAddresses.find(address => !taken.has(address)));
		const address = formatAddress(entry.address);
		await waitUntil(`${address} ready`, READY_TIMEOUT_MS, async () => {
			const {status} = await this.operator('olga').callAt(address, 'GET', '/readyz');
			return status === 200 ? true : undefined;
		});
		return entry;
	}

	/**
	 * Finds the worker with an id.
	 *
	 * @param workerId - As the API shows it.
	 * @returns Its processes.
	 */
	workerOf(workerId: string): LocalWorker {
		const found = this.local.workers.find(({spec}) => spec.workerId === workerId);
		check(found !== undefined, `there is no worker ${workerId}`);
		return found;
	}

	/**
	 * Switches faults of the platform; see the page on the platform.
	 *
	 * @param switches - The faults.
	 */
	async setPlatformFaults(switches: FaultSwitches): Promise<void> {
		await callStandin(this.local.platform, 'PUT', '/v1/faults', switches);
	}

	/** Ends all faults of the platform. */
	async clearPlatformFaults(): Promise<void> {
		await callStandin(this.local.platform, 'DELETE', '/v1/faults');
	}

	/**
	 * Changes what the endpoint of a worker announces.
	 *
	 * @param local - The worker.
	 * @param change - The announcement.
	 */
	async changeEndpoint(local: LocalWorker, change: {readonly leaving?: boolean; readonly silent?: boolean}): Promise<void> {
		await callStandin(local.worker, 'PUT', '/v1/endpoints', change);
	}

	/** Waits until one entry owns the failure domain and all entries and agents report the same revision. */
	async untilReady(): Promise<void> {
		const wanted = this.local.workers.length;
		await waitUntil('all agents with the newest configuration', READY_TIMEOUT_MS, async () => {
			const {entries, workers, lowestRevision, highestRevision} = await this.status();
			const owners = entries.filter(entry => entry.answers && entry.epochs.has(FAILURE_DOMAIN));
			return owners.length === 1 && workers.length >= wanted && lowestRevision === highestRevision ? true : undefined;
		});
	}

	#addresses(): readonly string[] {
		const addresses = this.liveEntries.map(entry => formatAddress(entry.address));
		return addresses.length > 0 ? addresses : this.local.entryAddresses;
	}
}

async function callStandin(target: ManagedProcess, method: 'GET' | 'PUT' | 'DELETE', path: string, body?: unknown): Promise<unknown> {
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
