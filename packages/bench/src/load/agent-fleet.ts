import {setTimeout as sleep} from 'node:timers/promises';
import {HEARTBEAT_INTERVAL_MS, MessageCodec} from '@amaranthsail/core';
import {Random} from '../random.js';
import {EmulatedAgent, type AgentTraffic} from './emulated-agent.js';
import type {Latency} from './latency.js';
import {
	LOAD_CAPACITY, LOAD_DOMAIN, LoadSystem, rackOf, waitUntil,
} from './load-system.js';

const SUBMIT_CONCURRENCY = 16;
const SUBMIT_TIMEOUT_MS = 90_000;

/** What a fleet consists of. */
export type FleetOptions = {
	readonly seed: number;
	readonly agents: number;
	readonly tasksPerAgent: number;
	readonly settleSeconds: number;
};

/** A system whose workers are emulated, with their agents, in this process. */
export class AgentFleet {
	readonly system: LoadSystem;
	readonly traffic: AgentTraffic = {
		sentBytes: 0, receivedBytes: 0, sentDatagrams: 0, receivedDatagrams: 0,
	};

	/** Takes the times of acknowledgements while a measurement runs. */
	latency: Latency | undefined;
	readonly #options: FleetOptions;
	readonly #agents: EmulatedAgent[] = [];

	/**
	 * @param options - Size and seed.
	 */
	constructor(options: FleetOptions) {
		this.#options = options;
		this.system = new LoadSystem(options.agents);
	}

	/** Lowest revision that an agent has in force. */
	get lowestRevision(): number {
		return Math.min(...this.#agents.map(({revision}) => revision));
	}

	/** Tasks that run on all agents. */
	get runningCount(): number {
		let count = 0;
		for (const {runningCount} of this.#agents) {
			count += runningCount;
		}

		return count;
	}

	/** Starts the system, the agents and their tasks. */
	async start(): Promise<void> {
		const {agents, seed, tasksPerAgent, settleSeconds} = this.#options;
		await this.system.start();
		await this.system.ownerPid();
		const random = new Random(seed);
		const codec = new MessageCodec(this.system.sharedSecret);
		for (let index = 0; index < agents; index++) {
			this.#agents.push(new EmulatedAgent({
				facts: {
					workerId: `worker-${index}`,
					failureDomain: LOAD_DOMAIN,
					rack: rackOf(index),
					capacity: LOAD_CAPACITY,
					endpoints: [{endpointId: `worker-${index}-endpoint`, service: 'load', leaving: false}],
				},
				entryAddress: this.system.local.entryAddresses[index % this.system.local.entryAddresses.length]!,
				sharedSecret: this.system.sharedSecret,
				codec,
				traffic: this.traffic,
				latency: () => this.latency,
				phaseMs: random.next() * HEARTBEAT_INTERVAL_MS,
			}));
		}

		await Promise.all(this.#agents.map(async agent => agent.start()));
		await sleep(2 * HEARTBEAT_INTERVAL_MS);
		await this.#submit(agents * tasksPerAgent);
		await waitUntil(`${agents * tasksPerAgent} running tasks`, () => this.runningCount === agents * tasksPerAgent, SUBMIT_TIMEOUT_MS);
		await sleep(settleSeconds * 1000);
	}

	/** Ends the agents and the system. */
	async stop(): Promise<void> {
		for (const agent of this.#agents) {
			agent.stop();
		}

		await this.system.local.stop();
	}

	async #submit(count: number): Promise<void> {
		let next = 0;
		const submitInTurn = async (): Promise<void> => {
			while (next < count) {
				await this.system.submit('held', `held-${this.#options.seed}-${next++}`, 0);
			}
		};

		await Promise.all(Array.from({length: SUBMIT_CONCURRENCY}, async () => submitInTurn()));
	}
}
