import type {ErrorGuard} from '@amaranthsail/pool-runtime';
import {AgentLink, type AgentLinkDependencies} from './agent-link.js';

/**
 * Agents that have been silent for this time are forgotten; one that returns announces itself again. By then the lease
 * of a silent worker has expired many times over.
 */
const AGENT_RETENTION_MS = 60_000;

/** Dependencies of {@link AgentLinks}; those of the single links included. */
export type AgentLinksDependencies = AgentLinkDependencies & {readonly guard: ErrorGuard};

/** The leader's connections to all agents, and the addresses under which the next leader finds them. */
export class AgentLinks {
	readonly #deps: AgentLinksDependencies;
	readonly #links = new Map<string, AgentLink>();
	/** Addresses of agents that announced themselves before the stored state had been read, by name. */
	readonly #waiting = new Map<string, string>();
	/** Addresses in the members table, by agent. */
	readonly #storedAddresses = new Map<string, string>();
	#isStarted = false;
	#isStopped = false;

	/** @param deps - Dependencies. */
	constructor(deps: AgentLinksDependencies) {
		this.#deps = deps;
	}

	/**
	 * Starts watching the agents, once the stored state has been read.
	 *
	 * @param members - Stored addresses, by agent. An announcement is newer than a stored address.
	 */
	start(members: ReadonlyMap<string, string>): void {
		this.#isStarted = true;
		for (const [name, address] of members) {
			this.#storedAddresses.set(name, address);
		}

		for (const [name, address] of [...members, ...this.#waiting]) {
			this.#watch(name, this.#waiting.get(name) ?? address);
		}
	}

	/**
	 * Starts watching an agent that has announced itself, and stores its address for the next leader.
	 *
	 * @param name - Name of the agent.
	 * @param address - Its address.
	 */
	onAnnounced(name: string, address: string): void {
		if (!this.#isStarted) {
			this.#waiting.set(name, address);
			return;
		}

		if (this.#storedAddresses.get(name) !== address) {
			this.#storedAddresses.set(name, address);
			this.#deps.core.storeMember(name, address);
		}

		this.#watch(name, address);
	}

	/** @returns The connection to an agent, or undefined when the agent is not known. */
	linkOf(agent: string): AgentLink | undefined {
		return this.#links.get(agent);
	}

	/** Removes agents that have been silent for long, so that no later leader calls an address that may belong to another VM. */
	forgetSilent(): void {
		for (const [name, link] of this.#links) {
			if (link.silentMs > AGENT_RETENTION_MS) {
				this.#deps.logger.info('agent forgotten', {agent: name, address: link.address, silentMs: Math.round(link.silentMs)});
				link.stop();
				this.#links.delete(name);
				this.#storedAddresses.delete(name);
				this.#deps.core.removeMember(name);
			}
		}
	}

	/** Closes all connections. */
	stop(): void {
		this.#isStopped = true;
		for (const link of this.#links.values()) {
			link.stop();
		}
	}

	#watch(name: string, address: string): void {
		const known = this.#links.get(name);
		if (known?.address === address || this.#isStopped) {
			return;
		}

		known?.stop();
		const link = new AgentLink(name, address, this.#deps);
		this.#links.set(name, link);
		void this.#deps.guard.supervise('agent link', async () => link.run());
	}
}
