import {type Clock, JsonClient, type Logger} from '@amaranthsail/core';
import type {OutgoingOrder, PoolCore} from '@amaranthsail/pool';
import {
	AGENT_PATHS, decodeOrderAnswer, decodeWatchAnswer, type StaleEpochAnswer, type WatchAnswer, type WatchRequest,
} from '@amaranthsail/pool-agent';
import {sleep} from '@amaranthsail/pool-runtime';

/** Longest time for which an agent holds a watch call without changes; bounds how late the leader notices a silent agent. */
const WATCH_WAIT_MS = 800;

/** Time allowed for the answer beyond {@link WATCH_WAIT_MS}. */
const WATCH_GRACE_MS = 500;

/** Delay before the next call after a failed watch call. */
const RETRY_DELAY_MS = 200;

/** After this silence the VM is probably gone; a VM that returns announces itself. */
const LONG_SILENCE_MS = 15_000;

/** Delay between calls to an agent that has been silent for long. */
const LONG_SILENCE_RETRY_DELAY_MS = 2000;

/** Exceeds the agent's own timeouts: 250 ms for a check which incarnation answers, and 700 ms for relaying an order to its worker. */
const ORDER_TIMEOUT_MS = 1000;

/** Connections to one agent: one for the watch, the others for orders of a job with many tasks. */
const MAX_AGENT_CONNECTIONS = 6;

/** Dependencies of {@link AgentLink}. */
export type AgentLinkDependencies = {
	readonly core: PoolCore;
	readonly clock: Clock;
	readonly epoch: number;
	readonly logger: Logger;
	/** Whether the leader may currently renew leases. */
	readonly mayRenewLeases: () => boolean;
	/** Called after each update of the core, so that it can decide again. */
	readonly onUpdate: () => void;
	/** Called when the agent reports a higher epoch. */
	readonly onLeadershipLost: (reason: string, knownEpoch: number) => void;
};

/** The leader's connection to one agent. */
export class AgentLink {
	readonly #name: string;
	readonly #client: JsonClient;
	readonly #deps: AgentLinkDependencies;
	#agentIncarnation = '';
	#reportVersion = -1;
	#workerIncarnation: string | undefined;
	#isConnected = false;
	#isStopped = false;
	#lastAnswerAtMs: number;

	/**
	 * @param name - Name of the agent.
	 * @param address - Its address.
	 * @param deps - Dependencies.
	 */
	constructor(name: string, readonly address: string, deps: AgentLinkDependencies) {
		this.#name = name;
		this.#client = new JsonClient(address, MAX_AGENT_CONNECTIONS);
		this.#deps = deps;
		this.#lastAnswerAtMs = deps.clock.monotonicMs();
	}

	/** Milliseconds since the agent last answered, or since the link was created. */
	get silentMs(): number {
		return this.#deps.clock.monotonicMs() - this.#lastAnswerAtMs;
	}

	/** Watches the agent by long polling until {@link AgentLink.stop} is called. */
	async run(): Promise<void> {
		while (!this.#isStopped) {
			const answer = await this.#client.call({method: 'POST', path: AGENT_PATHS.watch, body: this.#watchRequest(), timeoutMs: WATCH_WAIT_MS + WATCH_GRACE_MS});
			if (this.#isStopped) {
				return;
			}

			const body = answer.ok && answer.value.status === 200 ? decodeWatchAnswer(answer.value.body) : undefined;
			const isExpected = body !== undefined && ('epoch' in body || agentOf(body.incarnation) === this.#name);
			this.#setConnected(isExpected, answer.ok ? `status ${answer.value.status}, not an answer of this agent` : answer.error.message);
			if (isExpected) {
				this.#lastAnswerAtMs = this.#deps.clock.monotonicMs();
				this.#onWatchAnswer(body);
			} else {
				this.#reportVersion = -1;
				await sleep(this.silentMs > LONG_SILENCE_MS ? LONG_SILENCE_RETRY_DELAY_MS : RETRY_DELAY_MS);
			}
		}
	}

	/**
	 * Sends an order and passes its outcome to the core.
	 *
	 * @param outgoing - The order and the worker incarnation that it is for.
	 */
	async order({incarnation, order}: OutgoingOrder): Promise<void> {
		const answer = await this.#client.call({method: 'POST', path: AGENT_PATHS.order, body: {epoch: this.#deps.epoch, life: incarnation, order}, timeoutMs: ORDER_TIMEOUT_MS});
		if (this.#isStopped) {
			return;
		}

		const body = answer.ok && answer.value.status === 200 ? decodeOrderAnswer(answer.value.body) : undefined;
		if (body && 'epoch' in body) {
			this.#deps.onLeadershipLost(`agent ${this.#name} knows epoch ${body.epoch}`, body.epoch);
			return;
		}

		if (body) {
			this.#deps.core.onOrderOutcome(incarnation, order, body.outcome, body.orderCount);
		} else {
			this.#deps.core.onOrderOutcome(incarnation, order, {kind: 'unknown', message: answer.ok ? `status ${answer.value.status}` : answer.error.message}, 0);
		}

		this.#deps.onUpdate();
	}

	/** Stops the watch and closes the connections. */
	stop(): void {
		this.#isStopped = true;
		this.#client.close();
	}

	#watchRequest(): WatchRequest {
		const lease = this.#workerIncarnation === undefined || !this.#deps.mayRenewLeases() ? undefined : this.#deps.core.leaseFor(this.#workerIncarnation);
		return {epoch: this.#deps.epoch, sinceVersion: this.#reportVersion, waitMs: WATCH_WAIT_MS, ...(lease && {life: this.#workerIncarnation, ...lease})};
	}

	#onWatchAnswer(answer: WatchAnswer | StaleEpochAnswer): void {
		if ('epoch' in answer) {
			this.#deps.onLeadershipLost(`agent ${this.#name} knows epoch ${answer.epoch}`, answer.epoch);
			return;
		}

		if (answer.incarnation !== this.#agentIncarnation) {
			this.#deps.logger.info('agent reached', {agent: this.#name, incarnation: answer.incarnation, previous: this.#agentIncarnation});
			this.#agentIncarnation = answer.incarnation;
		}

		this.#reportVersion = answer.version;
		for (const incarnation of answer.leftLives) {
			this.#deps.core.onWorkerDeparting(incarnation);
		}

		// A heartbeat that was delayed until after the deregistration names a worker that has left.
		const report = answer.report && !answer.leftLives.includes(answer.report.facts.life) ? answer.report : undefined;
		this.#workerIncarnation = report?.facts.life;
		if (report) {
			this.#deps.core.onReport(this.#name, report);
		}

		this.#deps.onUpdate();
	}

	#setConnected(isConnected: boolean, reason: string): void {
		if (isConnected !== this.#isConnected) {
			this.#isConnected = isConnected;
			this.#deps.logger.info(isConnected ? 'agent connected' : 'agent not reached', {agent: this.#name, address: this.address, ...(!isConnected && {reason})});
		}
	}
}

/** @returns Name of the agent in the name of its incarnation, which adds the start time. */
function agentOf(incarnation: string): string {
	return incarnation.slice(0, incarnation.lastIndexOf('/'));
}
