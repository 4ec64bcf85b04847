import {JsonClient, type Logger} from '@amaranthsail/core';
import type {OrderEffect, PoolCore} from '@amaranthsail/pool';
import {
	AGENT_PATHS, type OrderAnswer, type StaleEpochAnswer, type WatchAnswer, type WatchRequest,
} from '@amaranthsail/pool-agent';
import {sleep} from '@amaranthsail/pool-runtime';

/** An agent without news answers after this time; a leader notices a silent one soon after. */
const WATCH_WAIT_MS = 800;

/** Time for the answer beyond that. */
const WATCH_GRACE_MS = 500;

/** Pause after a call that could not be sent. */
const RETRY_MS = 200;

/** An agent relays an order within its own timeout of 700 ms. */
const ORDER_TIMEOUT_MS = 1000;

/** Connections to one agent: a long watch and the orders of a wide job. */
const AGENT_CONNECTIONS = 6;

/** What a link works with. */
export type AgentLinkDependencies = {
	readonly core: PoolCore;
	readonly epoch: number;
	readonly logger: Logger;
	/** Whether the leader may extend leases at present. */
	readonly mayExtendLeases: () => boolean;
	/** Called after anything that may allow a decision. */
	readonly onProgress: () => void;
	/** Called when the agent knows a higher epoch. */
	readonly onDeposed: (reason: string) => void;
};

/** The leader's connection to one agent. */
export class AgentLink {
	readonly #name: string;
	readonly #client: JsonClient;
	readonly #deps: AgentLinkDependencies;
	#incarnation = '';
	#version = -1;
	#life: string | undefined;
	#isReached = false;
	#isStopped = false;

	/**
	 * @param name - Name of the agent.
	 * @param address - Its address.
	 * @param deps - What the link works with.
	 */
	constructor(name: string, readonly address: string, deps: AgentLinkDependencies) {
		this.#name = name;
		this.#client = new JsonClient(address, AGENT_CONNECTIONS);
		this.#deps = deps;
	}

	/** Watches the agent until {@link AgentLink.stop} is called. */
	async run(): Promise<void> {
		while (!this.#isStopped) {
			const answer = await this.#client.call({method: 'POST', path: AGENT_PATHS.watch, body: this.#watchRequest(), timeoutMs: WATCH_WAIT_MS + WATCH_GRACE_MS});
			if (this.#isStopped) {
				return;
			}

			this.#noteReached(answer.ok && answer.value.status === 200, answer.ok ? `status ${answer.value.status}` : answer.error.message);
			if (answer.ok && answer.value.status === 200) {
				this.#onAnswer(answer.value.body as WatchAnswer | StaleEpochAnswer);
			} else {
				this.#version = -1;
				await sleep(RETRY_MS);
			}
		}
	}

	/**
	 * Sends an order; its outcome goes to the core.
	 *
	 * @param effect - The order.
	 */
	async order({life, order}: OrderEffect): Promise<void> {
		const answer = await this.#client.call({method: 'POST', path: AGENT_PATHS.order, body: {epoch: this.#deps.epoch, life, order}, timeoutMs: ORDER_TIMEOUT_MS});
		if (this.#isStopped) {
			return;
		}

		if (!answer.ok || answer.value.status !== 200) {
			this.#deps.core.onOrderOutcome(life, order, {kind: 'unknown', message: answer.ok ? `status ${answer.value.status}` : answer.error.message}, 0);
		} else {
			const body = answer.value.body as OrderAnswer | StaleEpochAnswer;
			if ('epoch' in body) {
				this.#deps.onDeposed(`agent ${this.#name} knows epoch ${body.epoch}`);
				return;
			}

			this.#deps.core.onOrderOutcome(life, order, body.outcome, body.orderCount);
		}

		this.#deps.onProgress();
	}

	/** Ends the watch and closes the connections. */
	stop(): void {
		this.#isStopped = true;
		this.#client.close();
	}

	#watchRequest(): WatchRequest {
		const lease = this.#life === undefined || !this.#deps.mayExtendLeases() ? undefined : this.#deps.core.leaseFor(this.#life);
		return {epoch: this.#deps.epoch, sinceVersion: this.#version, waitMs: WATCH_WAIT_MS, ...(lease && {life: this.#life, ...lease})};
	}

	#onAnswer(answer: WatchAnswer | StaleEpochAnswer): void {
		if ('epoch' in answer) {
			this.#deps.onDeposed(`agent ${this.#name} knows epoch ${answer.epoch}`);
			return;
		}

		if (answer.incarnation !== this.#incarnation) {
			this.#deps.logger.info('agent reached', {agent: this.#name, incarnation: answer.incarnation, previous: this.#incarnation});
			this.#incarnation = answer.incarnation;
		}

		this.#version = answer.version;
		this.#life = answer.report?.facts.life;
		if (answer.report) {
			this.#deps.core.onReport(this.#name, answer.report);
		}

		for (const life of answer.leftLives) {
			this.#deps.core.onWorkerLeft(life);
		}

		this.#deps.onProgress();
	}

	#noteReached(isReached: boolean, reason: string): void {
		if (isReached !== this.#isReached) {
			this.#isReached = isReached;
			this.#deps.logger.info(isReached ? 'agent connected' : 'agent not reached', {agent: this.#name, address: this.address, ...(!isReached && {reason})});
		}
	}
}
