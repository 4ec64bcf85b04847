import type {Caller} from './failover-client.js';
import type {JobHandle} from './job-handle.js';
import type {ProofSystem} from './test-system.js';
import {check} from './violation.js';
import {pause} from './wait-until.js';

/** Pause of each caller between two requests. */
const THINK_MS = 40;

/** Callers that submit short jobs one after the other, each waiting for its answer on the connection. */
export class SteadyLoad {
	readonly #system: ProofSystem;
	readonly #callers: readonly Caller[];
	readonly #accepted: JobHandle[] = [];
	readonly #loops: ReadonlyArray<Promise<void>>;
	#isStopping = false;

	/**
	 * Starts the load.
	 *
	 * @param system - The system.
	 * @param callerCount - Number of callers.
	 */
	constructor(system: ProofSystem, callerCount = 4) {
		this.#system = system;
		this.#callers = Array.from({length: callerCount}, () => system.account('housing-repairs'));
		this.#loops = this.#callers.map(async caller => this.#run(caller));
		// The error of a loop is thrown by `stop`.
		for (const loop of this.#loops) {
			loop.catch(() => undefined);
		}
	}

	/** Connections that were cut after an entry had accepted them. */
	get cutConnections(): readonly string[] {
		return this.#callers.flatMap(caller => caller.cutConnections);
	}

	/**
	 * Ends the load and waits for the open requests.
	 *
	 * @returns The accepted jobs.
	 * @throws Violation when a request got no answer or a refusal.
	 */
	async stop(): Promise<readonly JobHandle[]> {
		this.#isStopping = true;
		await Promise.all(this.#loops);
		return this.#accepted;
	}

	async #run(caller: Caller): Promise<void> {
		while (!this.#isStopping) {
			const body = this.#system.bodyOf({operation: 'quote-batching', runMs: 50, waitMs: 10_000});
			const reply = await caller.call('POST', '/v1/jobs', {key: this.#system.newKey(), body, timeoutMs: 20_000});
			check(reply.status < 300, `a request was refused: ${JSON.stringify(reply.body)}`);
			this.#accepted.push({jobId: String(reply.body.jobId), account: 'housing-repairs', taskCount: 1});
			await pause(THINK_MS);
		}
	}
}
