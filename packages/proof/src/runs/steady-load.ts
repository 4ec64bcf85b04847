import type {FailoverClient} from './failover-client.js';
import type {JobHandle} from './job-handle.js';
import type {TestSystem} from './test-system.js';
import {check} from './violation.js';
import {sleep} from './wait-until.js';

/** Pause of each client between two requests. */
const THINK_TIME_MS = 40;

/** Clients that submit short jobs one after the other, each waiting for the end of its job on the same request. */
export class SteadyLoad {
	readonly #system: TestSystem;
	readonly #clients: readonly FailoverClient[];
	readonly #acceptedJobs: JobHandle[] = [];
	readonly #clientLoops: ReadonlyArray<Promise<void>>;
	#isStopping = false;

	/**
	 * Starts the load.
	 *
	 * @param system - The system.
	 * @param clientCount - Number of clients.
	 */
	constructor(system: TestSystem, clientCount = 4) {
		this.#system = system;
		this.#clients = Array.from({length: clientCount}, () => system.accountClient('housing-repairs'));
		this.#clientLoops = this.#clients.map(async client => this.#submitRepeatedly(client));
		// Prevents an unhandled rejection; `stop` throws the error of a loop.
		for (const loop of this.#clientLoops) {
			loop.catch(() => undefined);
		}
	}

	/** Requests that failed after an entry had accepted the connection. */
	get abortedRequests(): readonly string[] {
		return this.#clients.flatMap(client => client.abortedRequests);
	}

	/**
	 * Stops the load and waits for the open requests.
	 *
	 * @returns The accepted jobs.
	 * @throws Violation when a request was refused; the error of the client when one was not answered.
	 */
	async stop(): Promise<readonly JobHandle[]> {
		this.#isStopping = true;
		await Promise.all(this.#clientLoops);
		return this.#acceptedJobs;
	}

	async #submitRepeatedly(client: FailoverClient): Promise<void> {
		while (!this.#isStopping) {
			const body = this.#system.createJobBody({operation: 'quote-batching', runMs: 50, waitMs: 10_000});
			const reply = await client.call('POST', '/v1/jobs', {key: this.#system.createIdempotencyKey(), body, timeoutMs: 20_000});
			check(reply.status < 300, `a request was refused: ${JSON.stringify(reply.body)}`);
			this.#acceptedJobs.push({jobId: String(reply.body.jobId), account: 'housing-repairs', taskCount: 1});
			await sleep(THINK_TIME_MS);
		}
	}
}
