import type {Address, Command, HeartbeatAck, Resources} from '@amaranthsail/core';
import {AgentCore, type AgentEffect, type AgentEvent} from '@amaranthsail/agent';
import {MemoryWorkerRuntime, type MemoryObjectStore} from '@amaranthsail/backing-services';
import {SimNode} from './sim-node.js';
import type {SimNetwork} from './sim-network.js';
import type {VirtualTime} from './virtual-time.js';

/** Settings and shared parts of a simulated worker VM. */
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
	/** Requests the current owner from an entry; undefined when it does not answer. */
	readonly queryOwner: (entry: Address, fromHost: string) => Promise<Extract<AgentEvent, {kind: 'ownerAnswered'}>['owner']>;
	readonly random: () => number;
	readonly checkpoints: Map<string, number>;
	/** Called with each new runtime, so that its executions can be checked later. */
	readonly onRuntime: (runtime: MemoryWorkerRuntime) => void;
	readonly newId: () => string;
};

/** Interval at which the worker stops tasks whose lease has expired. */
const LEASE_CHECK_INTERVAL_MS = 100;

/** Latency of a call within the VM. */
const LOCAL_CALL_LATENCY_MS = 1;

/** A worker VM with its runtime, its endpoint and its agent process. */
export class SimAgent {
	readonly #options: SimAgentOptions;
	#runtime: MemoryWorkerRuntime;
	#vm: SimNode;
	#process: SimNode;
	#isEndpointLeaving = false;

	/**
	 * @param options - Settings and shared parts.
	 */
	constructor(options: SimAgentOptions) {
		this.#options = options;
		this.#vm = new SimNode(options.time);
		this.#process = new SimNode(options.time);
		this.#runtime = this.#createRuntime();
		this.#startProcess();
	}

	/** Host name of the VM. */
	get host(): string {
		return `vm-${this.#options.workerId}`;
	}

	/** Whether the agent process has not been killed. */
	get isAlive(): boolean {
		return this.#process.isAlive;
	}

	/** Kills the agent; its tasks continue until their leases expire. */
	killProcess(): void {
		this.#process.kill();
	}

	/** Kills the agent and starts a new one for the same worker. */
	restartProcess(): void {
		this.#process.kill();
		this.#process = new SimNode(this.#options.time);
		this.#startProcess();
	}

	/** Pauses the agent process; the worker continues. */
	pauseProcess(): void {
		this.#process.pause();
	}

	resumeProcess(): void {
		this.#process.resume();
	}

	/** Replaces the VM; the worker's tasks and the agent are lost. */
	replaceVm(): void {
		this.#runtime.crash();
		this.#vm.kill();
		this.#vm = new SimNode(this.#options.time);
		this.#runtime = this.#createRuntime();
		this.restartProcess();
	}

	/** Sets whether the endpoint announces that it is leaving. */
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
		const performEffects = (effects: readonly AgentEffect[]): void => {
			for (const effect of effects) {
				this.#performEffect(effect, process, event => {
					performEffects(core.handle(event, time.nowMs));
				});
			}
		};

		network.setReceiver(this.host, (message, from) => {
			process.deliver(() => {
				performEffects(core.handle({kind: 'message', message: message as HeartbeatAck | Command, from}, time.nowMs));
			});
		});
		process.repeat(() => Math.min(1000, Math.max(5, core.nextTickAtMs(time.nowMs) - time.nowMs)), () => {
			performEffects(core.tick(time.nowMs));
		});
		process.repeat(() => 1000, () => {
			const announcement = {endpointId: `${workerId}-endpoint`, service, leaving: this.#isEndpointLeaving};
			performEffects(core.handle({kind: 'announcement', announcement}, time.nowMs));
		});
	}

	#performEffect(effect: AgentEffect, process: SimNode, dispatch: (event: AgentEvent) => void): void {
		const {time, network, objects, queryOwner} = this.#options;
		const runtime = this.#runtime;
		const dispatchWhenAnswered = async (eventPromise: Promise<AgentEvent | undefined>): Promise<void> => {
			const answerEvent = await eventPromise;
			time.schedule(LOCAL_CALL_LATENCY_MS, () => {
				process.deliver(() => {
					if (answerEvent) {
						dispatch(answerEvent);
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
				void dispatchWhenAnswered(runtime.facts().then(result => ({kind: 'factsAnswered', result})));
				return;
			}

			case 'list': {
				void dispatchWhenAnswered(runtime.list().then(result => ({kind: 'listAnswered', result})));
				return;
			}

			case 'start': {
				const {key, assignment, leaseUntilMs} = effect;
				void dispatchWhenAnswered(runtime.start(key, assignment, leaseUntilMs).then(result => ({kind: 'startAnswered', key, result})));
				return;
			}

			case 'renew': {
				void runtime.renew(effect.leases);
				return;
			}

			case 'checkpoint': {
				const {key} = effect;
				void dispatchWhenAnswered(runtime.checkpoint(key).then(result => ({kind: 'checkpointAnswered', key, result})));
				return;
			}

			case 'throttle': {
				void runtime.throttle(effect.key);
				return;
			}

			case 'stop': {
				const {key} = effect;
				void dispatchWhenAnswered(runtime.stop(key).then(result => ({kind: 'stopAnswered', key, result})));
				return;
			}

			case 'forget': {
				void runtime.forget(effect.key);
				return;
			}

			case 'putAnswer': {
				const {key, objectKey, content} = effect;
				void dispatchWhenAnswered(objects.put(objectKey, content).then(result => ({kind: 'putAnswered', key, result})));
				return;
			}

			case 'discover': {
				void dispatchWhenAnswered(queryOwner(effect.entry, this.host).then(owner => ({kind: 'ownerAnswered', owner})));
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
