import {createSocket, type Socket} from 'node:dgram';
import {splitHeartbeat} from '@amaranthsail/agent/heartbeat-parts.js';
import {
	type Command, HEARTBEAT_INTERVAL_MS, type MessageCodec, newId, TASK_LEASE_MS, type TaskReport, type WorkerFacts,
} from '@amaranthsail/core';
import {request} from 'undici';
import type {Latency} from './latency.js';
import {waitUntil} from './load-system.js';

/** Time in which changes are collected for one heartbeat, as in the real agent. */
const CHANGE_DELAY_MS = 20;

/** Interval in heartbeats at which facts are sent again, as in the real agent. */
const FACTS_EVERY = 10;

const QUERY_TIMEOUT_MS = 5000;

/** Sums over all emulated agents. */
export type AgentTraffic = {sentBytes: number; receivedBytes: number; sentDatagrams: number; receivedDatagrams: number};

/** What an emulated agent is made of. */
export type EmulatedAgentOptions = {
	readonly facts: WorkerFacts;
	readonly entryAddress: string;
	readonly sharedSecret: string;
	readonly codec: MessageCodec;
	readonly traffic: AgentTraffic;
	/** Takes the time from each heartbeat to its first acknowledgement. */
	readonly latency: () => Latency | undefined;
	/** Delay of the first heartbeat, so that agents do not send together. */
	readonly phaseMs: number;
};

function keyOf({jobId, attempt, taskIndex}: Command['task']): string {
	return `${jobId}/${attempt}/${taskIndex}`;
}

/** Speaks the protocol of an agent over its own UDP socket; its tasks exist only as reports and run until they are stopped. */
export class EmulatedAgent {
	readonly #options: EmulatedAgentOptions;
	readonly #socket: Socket = createSocket('udp4');
	readonly #incarnation = newId();
	readonly #tasks = new Map<string, TaskReport>();
	readonly #sentAtMs = new Map<number, number>();
	#owner = {host: '', port: 0};
	#epoch = 0;
	#sequence = 0;
	#beats = 0;
	#revision = 0;
	#wantFacts = true;
	#timer: NodeJS.Timeout | undefined;
	#changeTimer: NodeJS.Timeout | undefined;

	/**
	 * @param options - Identity and collaborators.
	 */
	constructor(options: EmulatedAgentOptions) {
		this.#options = options;
	}

	/** Highest revision that the owner has acknowledged with. */
	get revision(): number {
		return this.#revision;
	}

	/** Number of tasks that run. */
	get runningCount(): number {
		return [...this.#tasks.values()].filter(({state}) => state === 'running').length;
	}

	/**
	 * Asks an entry for the owner and starts the heartbeats.
	 *
	 * @throws Error when the entry knows no owner in time.
	 */
	async start(): Promise<void> {
		await waitUntil('an owner known to the entry', async () => this.#findOwner());
		await new Promise<void>(resolve => {
			this.#socket.bind(0, '127.0.0.1', resolve);
		});
		this.#socket.on('message', datagram => {
			this.#receive(datagram);
		});
		this.#timer = setTimeout(() => {
			this.#beat();
			this.#timer = setInterval(() => {
				this.#beat();
			}, HEARTBEAT_INTERVAL_MS);
		}, this.#options.phaseMs);
	}

	/** Ends the heartbeats without telling the owner. */
	stop(): void {
		clearTimeout(this.#timer);
		clearTimeout(this.#changeTimer);
		this.#socket.close();
	}

	async #findOwner(): Promise<boolean> {
		const {facts, entryAddress, sharedSecret} = this.#options;
		const response = await request(`http://${entryAddress}/v1/owners/${facts.failureDomain}`, {
			headers: {authorization: `Bearer ${sharedSecret}`}, headersTimeout: QUERY_TIMEOUT_MS, bodyTimeout: QUERY_TIMEOUT_MS,
		});
		const body = await response.body.json() as {readonly epoch: number; readonly host: string; readonly port: number};
		if (response.statusCode !== 200) {
			return false;
		}

		this.#owner = {host: body.host, port: body.port};
		this.#epoch = body.epoch;
		return true;
	}

	#beat(): void {
		this.#wantFacts ||= this.#beats % FACTS_EVERY === 0;
		this.#beats += 1;
		this.#send();
	}

	#send(): void {
		const {facts, codec, traffic} = this.#options;
		const sentAtMs = performance.now();
		const parts = splitHeartbeat({
			header: {
				type: 'heartbeat',
				workerId: facts.workerId,
				failureDomain: facts.failureDomain,
				incarnation: this.#incarnation,
				sentAtMs,
				epoch: this.#epoch,
				replyPort: this.#socket.address().port,
				revisionInForce: this.#revision,
				leaving: false,
			},
			facts: this.#wantFacts ? facts : undefined,
			reports: [...this.#tasks.values()],
			usage: [],
		});
		this.#wantFacts = false;
		this.#dropUnanswered(sentAtMs);
		for (const part of parts) {
			this.#sequence += 1;
			this.#sentAtMs.set(this.#sequence, sentAtMs);
			const datagram = codec.encode({...part, sequence: this.#sequence});
			traffic.sentBytes += datagram.length;
			traffic.sentDatagrams += 1;
			this.#socket.send(datagram, this.#owner.port, this.#owner.host);
		}
	}

	/** Counts a heartbeat without an answer with its age, so that losses are not missing from the quantiles. */
	#dropUnanswered(nowMs: number): void {
		for (const [sequence, sentAtMs] of this.#sentAtMs) {
			if (nowMs - sentAtMs < TASK_LEASE_MS) {
				break;
			}

			this.#sentAtMs.delete(sequence);
			this.#options.latency()?.record(nowMs - sentAtMs);
		}
	}

	#receive(datagram: Uint8Array): void {
		const {codec, traffic, latency} = this.#options;
		traffic.receivedBytes += datagram.length;
		traffic.receivedDatagrams += 1;
		const decoded = codec.decode(datagram);
		if (!decoded.ok) {
			return;
		}

		const message = decoded.value;
		if (message.type === 'ack') {
			const sentAtMs = this.#sentAtMs.get(message.sequence);
			this.#sentAtMs.delete(message.sequence);
			if (sentAtMs !== undefined) {
				latency()?.record(performance.now() - sentAtMs);
			}

			this.#revision = Math.max(this.#revision, message.revision);
			this.#wantFacts ||= message.wantFacts;
		} else if (message.type === 'command') {
			this.#obey(message);
			this.#changeTimer ??= setTimeout(() => {
				this.#changeTimer = undefined;
				this.#send();
			}, CHANGE_DELAY_MS);
		}
	}

	#obey({kind, task}: Command): void {
		if (kind === 'checkpoint' || kind === 'throttle') {
			// These change no report.
			return;
		}

		const key = keyOf(task);
		const held = this.#tasks.get(key);
		switch (kind) {
			case 'prepare': {
				this.#tasks.set(key, held ?? {...task, state: 'prepared', everStarted: false});
				return;
			}

			case 'release': {
				this.#tasks.set(key, {...task, state: 'running', everStarted: true});
				return;
			}

			case 'stop': {
				this.#tasks.set(key, {
					...task, state: 'stopped', everStarted: held?.everStarted ?? false, reason: 'stop_requested',
				});
				return;
			}

			case 'forget': {
				this.#tasks.delete(key);
			}
		}
	}
}
