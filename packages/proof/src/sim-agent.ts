import type {Address, Command, HeartbeatAck, Resources} from '@amaranthsail/core';
import {AgentCore, type AgentEffect, type AgentEvent} from '@amaranthsail/agent';
import {MemoryWorkerRuntime, type MemoryObjectStore} from '@amaranthsail/backing-services';
import {SimNode} from './sim-node.js';
import type {SimNetwork} from './sim-network.js';
import type {VirtualTime} from './virtual-time.js';

/** What the agents of a simulated worker share with the rest. */
export type SimAgentOptions = {
	readonly time: VirtualTime;
	readonly network: SimNetwork;
	readonly objects: MemoryObjectStore;
	readonly workerId: string;
	readonly failureDomain: string;
	readonly rack: string;
	readonly service: string;
	readonly capacity: Resources;
	readonly entryAddresses: readonly Address[];
	/** Asks an entry for the owner; undefined when it does not answer. */
	readonly queryOwner: (entry: Address, fromHost: string) => Promise<Extract<AgentEvent, {kind: 'ownerAnswered'}>['owner']>;
	readonly random: () => number;
	readonly checkpoints: Map<string, number>;
	/** Called with every runtime, so that its executions can be checked later. */
	readonly onRuntime: (runtime: MemoryWorkerRuntime) => void;
	readonly newId: () => string;
};

/** How often the worker stops tasks whose lease has lapsed. */
const LEASE_CHECK_INTERVAL_MS = 100;

/** Latency of a call on the VM. */
const LOCAL_CALL_MS = 1;

/** A worker VM with its runtime, its endpoint and its agent process. */
export class SimAgent {
	readonly #options: SimAgentOptions;
	#runtime: MemoryWorkerRuntime;
	#vm: SimNode;
	#process: SimNode;
	#isEndpointLeaving = false;

	/**
	 * @param options - What it shares with the rest.
	 */
	constructor(options: SimAgentOptions) {
		this.#options = options;
		this.#vm = new SimNode(options.time);
		this.#process = new SimNode(options.time);
		this.#runtime = this.#createRuntime();
		this.#startProcess();
	}

	/** Name of the VM in the network. */
	get host(): string {
		return `vm-${this.#options.workerId}`;
	}

	/** Whether the agent process has not been killed. */
	get isAlive(): boolean {
		return this.#process.isAlive;
	}

	/** Kills the agent; its tasks run on until their leases lapse. */
	killProcess(): void {
		this.#process.kill();
	}

	/** Starts a new agent beside the same worker. */
	restartProcess(): void {
		this.#process.kill();
		this.#process = new SimNode(this.#options.time);
		this.#startProcess();
	}

	/** Freezes the agent process; the worker goes on. */
	freezeProcess(): void {
		this.#process.freeze();
	}

	thawProcess(): void {
		this.#process.thaw();
	}

	/** Replaces the VM: the worker's tasks and the agent are gone. */
	replaceVm(): void {
		this.#runtime.crash();
		this.#vm.kill();
		this.#vm = new SimNode(this.#options.time);
		this.#runtime = this.#createRuntime();
		this.restartProcess();
	}

	/** Makes the endpoint announce that it leaves, or that it stays. */
	setEndpointLeaving(isLeaving: boolean): void {
		this.#isEndpointLeaving = isLeaving;
	}

	#createRuntime(): MemoryWorkerRuntime {
		const {time, workerId, rack, capacity, checkpoints, onRuntime} = this.#options;
		const runtime = new MemoryWorkerRuntime({clock: time.clock, workerId, rack, capacity, checkpoints});
		onRuntime(runtime);
		this.#vm.repeat(() => LEASE_CHECK_INTERVAL_MS, () => {
			runtime.tick();
		});
		return runtime;
	}

	#startProcess(): void {
		const {time, network, workerId, failureDomain, service, entryAddresses, random, newId} = this.#options;
		const process = this.#process;
		const core = new AgentCore({workerId, failureDomain, incarnation: newId(), entryAddresses, replyPort: 1, random});
		const run = (effects: readonly AgentEffect[]): void => {
			for (const effect of effects) {
				this.#perform(effect, process, event => {
					run(core.handle(event, time.nowMs));
				});
			}
		};

		network.listen(this.host, (message, from) => {
			process.deliver(() => {
				run(core.handle({kind: 'message', message: message as HeartbeatAck | Command, from}, time.nowMs));
			});
		});
		process.repeat(() => Math.min(1000, Math.max(5, core.nextTickAtMs(time.nowMs) - time.nowMs)), () => {
			run(core.tick(time.nowMs));
		});
		process.repeat(() => 1000, () => {
			const announcement = {endpointId: `${workerId}-endpoint`, service, leaving: this.#isEndpointLeaving};
			run(core.handle({kind: 'announcement', announcement}, time.nowMs));
		});
	}

	#perform(effect: AgentEffect, process: SimNode, dispatch: (event: AgentEvent) => void): void {
		const {time, network, objects, queryOwner} = this.#options;
		const runtime = this.#runtime;
		const answer = async (event: Promise<AgentEvent | undefined>): Promise<void> => {
			const settled = await event;
			time.after(LOCAL_CALL_MS, () => {
				process.deliver(() => {
					if (settled) {
						dispatch(settled);
					}
				});
			});
		};

		switch (effect.kind) {
			case 'send': {
				network.send({host: this.host, port: 1}, effect.to.host, effect.message);
				return;
			}

			case 'readFacts': {
				void answer(runtime.facts().then(result => ({kind: 'factsAnswered', result})));
				return;
			}

			case 'list': {
				void answer(runtime.list().then(result => ({kind: 'listAnswered', result})));
				return;
			}

			case 'start': {
				const {key, assignment, leaseUntilMs} = effect;
				void answer(runtime.start(key, assignment, leaseUntilMs).then(result => ({kind: 'startAnswered', key, result})));
				return;
			}

			case 'renew': {
				void runtime.renew(effect.leases);
				return;
			}

			case 'checkpoint': {
				const {key} = effect;
				void answer(runtime.checkpoint(key).then(result => ({kind: 'checkpointAnswered', key, result})));
				return;
			}

			case 'throttle': {
				void runtime.throttle(effect.key);
				return;
			}

			case 'stop': {
				const {key} = effect;
				void answer(runtime.stop(key).then(result => ({kind: 'stopAnswered', key, result})));
				return;
			}

			case 'forget': {
				void runtime.forget(effect.key);
				return;
			}

			case 'putAnswer': {
				const {key, objectKey, content} = effect;
				void answer(objects.put(objectKey, content).then(result => ({kind: 'putAnswered', key, result})));
				return;
			}

			case 'discover': {
				void answer(queryOwner(effect.entry, this.host).then(owner => ({kind: 'ownerAnswered', owner})));
				return;
			}

			case 'exit': {
				process.kill();
				break;
			}

			case 'log': {
				break;
			}
		}
	}
}
