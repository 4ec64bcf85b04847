import {setTimeout as sleep} from 'node:timers/promises';
import {HEARTBEAT_INTERVAL_MS, MessageCodec} from '@amaranthsail/core';
import {Random} from '../random.js';
import {EmulatedAgent, type AgentTraffic} from './emulated-agent.js';
import type {LatencyHistogram} from './latency.js';
import {
	LOAD_CAPACITY, LOAD_FAILURE_DOMAIN, LoadSystem, rackNameOf, waitUntil,
} from './load-system.js';

const SUBMIT_CONCURRENCY = 16;
const SUBMIT_TIMEOUT_MS = 90_000;

/** Size and seed of a fleet. */
export type FleetOptions = {
	readonly seed: number;
	readonly agents: number;
	readonly tasksPerAgent: number;
	readonly settleSeconds: number;
};

/** A local system whose workers and agents are emulated in this process. */
export class AgentFleet {
	readonly system: LoadSystem;
	readonly traffic: AgentTraffic = {
		sentBytes: 0, receivedBytes: 0, sentDatagrams: 0, receivedDatagrams: 0,
	};

	/** Records the acknowledgement times; set while a measurement runs. */
	histogram: LatencyHistogram | undefined;
	readonly #options: FleetOptions;
	readonly #agents: EmulatedAgent[] = [];

	/**
	 * @param options - Size and seed of the fleet.
	 */
	constructor(options: FleetOptions) {
		this.#options = options;
		this.system = new LoadSystem(options.agents);
	}

	/** Lowest configuration revision in force at an agent. */
	get lowestRevision(): number {
		return Math.min(...this.#agents.map(({revision}) => revision));
	}

	/** Number of running tasks of all agents. */
	get runningTaskCount(): number {
		let count = 0;
		for (const {runningTaskCount} of this.#agents) {
			count += runningTaskCount;
		}

		return count;
	}

	/** Starts the system and the agents, submits the jobs and waits until all tasks run. */
	async start(): Promise<void> {
		const {agents, seed, tasksPerAgent, settleSeconds} = this.#options;
		await this.system.start();
		await this.system.findOwnerPid();
		const random = new Random(seed);
		const codec = new MessageCodec(this.system.sharedSecret);
		for (let index = 0; index < agents; index++) {
			this.#agents.push(new EmulatedAgent({
				facts: {
					workerId: `worker-${index}`,
					failureDomain: LOAD_FAILURE_DOMAIN,
					rack: rackNameOf(index),
					capacity: LOAD_CAPACITY,
					endpoints: [{endpointId: `worker-${index}-endpoint`, service: 'load', leaving: false}],
				},
				entryAddress: this.system.local.entryAddresses[index % this.system.local.entryAddresses.length]!,
				sharedSecret: this.system.sharedSecret,
				codec,
				traffic: this.traffic,
				currentHistogram: () => this.histogram,
				initialDelayMs: random.next() * HEARTBEAT_INTERVAL_MS,
			}));
		}

		await Promise.all(this.#agents.map(async agent => agent.start()));
		await sleep(2 * HEARTBEAT_INTERVAL_MS);
		await this.#submitJobs(agents * tasksPerAgent);
		await waitUntil(`${agents * tasksPerAgent} running tasks`, () => this.runningTaskCount === agents * tasksPerAgent, SUBMIT_TIMEOUT_MS);
		await sleep(settleSeconds * 1000);
	}

	/** Stops the agents and the system. */
	async stop(): Promise<void> {
		for (const agent of this.#agents) {
			agent.stop();
		}

		await this.system.local.stop();
	}

	async #submitJobs(count: number): Promise<void> {
		let nextIndex = 0;
		const submitRemaining = async (): Promise<void> => {
			while (nextIndex < count) {
				await this.system.submit('held', `held-${this.#options.seed}-${nextIndex++}`, 0);
			}
		};

		await Promise.all(Array.from({length: SUBMIT_CONCURRENCY}, async () => submitRemaining()));
	}
}
