import {createSocket, type Socket} from 'node:dgram';
import {splitHeartbeat} from '@amaranthsail/agent/heartbeat-parts.js';
import {
	type Command, HEARTBEAT_INTERVAL_MS, type MessageCodec, newId, TASK_LEASE_MS, type TaskReport, type WorkerFacts,
} from '@amaranthsail/core';
import {request} from 'undici';
import type {LatencyHistogram} from './latency.js';
import {waitUntil} from './load-system.js';

/** Delay in which changes of task states are batched into one heartbeat, as in the real agent. */
const REPORT_BATCH_DELAY_MS = 20;

/** The facts are sent once in this number of heartbeats, as in the real agent. */
const FACTS_INTERVAL_HEARTBEATS = 10;

const QUERY_TIMEOUT_MS = 5000;

/** UDP traffic summed over all emulated agents. */
export type AgentTraffic = {sentBytes: number; receivedBytes: number; sentDatagrams: number; receivedDatagrams: number};

/** Identity and collaborators of an emulated agent. */
export type EmulatedAgentOptions = {
	readonly facts: WorkerFacts;
	readonly entryAddress: string;
	readonly sharedSecret: string;
	readonly codec: MessageCodec;
	readonly traffic: AgentTraffic;
	/** Returns the histogram of the times from each heartbeat to its first acknowledgement; undefined while nothing is measured. */
	readonly currentHistogram: () => LatencyHistogram | undefined;
	/** Delay of the first heartbeat, so that agents do not send at the same time. */
	readonly initialDelayMs: number;
};

function taskKeyOf({jobId, attempt, taskIndex}: Command['task']): string {
	return `${jobId}/${attempt}/${taskIndex}`;
}

/** Implements the agent protocol on a UDP socket of its own; its tasks exist only as reports and run until they are stopped. */
export class EmulatedAgent {
	readonly #options: EmulatedAgentOptions;
	readonly #socket: Socket = createSocket('udp4');
	readonly #incarnation = newId();
	readonly #tasks = new Map<string, TaskReport>();
	readonly #sentAtMs = new Map<number, number>();
	#owner = {host: '', port: 0};
	#epoch = 0;
	#sequence = 0;
	#heartbeatCount = 0;
	#acknowledgedRevision = 0;
	#areFactsDue = true;
	#heartbeatTimer: NodeJS.Timeout | undefined;
	#reportTimer: NodeJS.Timeout | undefined;

	/**
	 * @param options - Identity and collaborators.
	 */
	constructor(options: EmulatedAgentOptions) {
		this.#options = options;
	}

	/** Highest configuration revision in an acknowledgement of the owner. */
	get revision(): number {
		return this.#acknowledgedRevision;
	}

	/** Number of running tasks. */
	get runningTaskCount(): number {
		return [...this.#tasks.values()].filter(({state}) => state === 'running').length;
	}

	/**
	 * Queries an entry for the owner and starts the heartbeats.
	 *
	 * @throws Error when the entry does not know the owner in time.
	 */
	async start(): Promise<void> {
		await waitUntil('owner of the failure domain known to the entry', async () => this.#findOwner());
		await new Promise<void>(resolve => {
			this.#socket.bind(0, '127.0.0.1', resolve);
		});
		this.#socket.on('message', datagram => {
			this.#handleDatagram(datagram);
		});
		this.#heartbeatTimer = setTimeout(() => {
			this.#sendPeriodicHeartbeat();
			this.#heartbeatTimer = setInterval(() => {
				this.#sendPeriodicHeartbeat();
			}, HEARTBEAT_INTERVAL_MS);
		}, this.#options.initialDelayMs);
	}

	/** Stops the heartbeats without notifying the owner. */
	stop(): void {
		clearTimeout(this.#heartbeatTimer);
		clearTimeout(this.#reportTimer);
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

	#sendPeriodicHeartbeat(): void {
		this.#areFactsDue ||= this.#heartbeatCount % FACTS_INTERVAL_HEARTBEATS === 0;
		this.#heartbeatCount += 1;
		this.#sendHeartbeat();
	}

	#sendHeartbeat(): void {
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
				revisionInForce: this.#acknowledgedRevision,
				leaving: false,
			},
			facts: this.#areFactsDue ? facts : undefined,
			reports: [...this.#tasks.values()],
			usage: [],
		});
		this.#areFactsDue = false;
		this.#recordUnansweredHeartbeats(sentAtMs);
		for (const part of parts) {
			this.#sequence += 1;
			this.#sentAtMs.set(this.#sequence, sentAtMs);
			const datagram = codec.encode({...part, sequence: this.#sequence});
			traffic.sentBytes += datagram.length;
			traffic.sentDatagrams += 1;
			this.#socket.send(datagram, this.#owner.port, this.#owner.host);
		}
	}

	/** Records an unanswered heartbeat with its age, so that the quantiles include lost ones. */
	#recordUnansweredHeartbeats(nowMs: number): void {
		for (const [sequence, sentAtMs] of this.#sentAtMs) {
			if (nowMs - sentAtMs < TASK_LEASE_MS) {
				break;
			}

			this.#sentAtMs.delete(sequence);
			this.#options.currentHistogram()?.record(nowMs - sentAtMs);
		}
	}

	#handleDatagram(datagram: Uint8Array): void {
		const {codec, traffic, currentHistogram} = this.#options;
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
				currentHistogram()?.record(performance.now() - sentAtMs);
			}

			this.#acknowledgedRevision = Math.max(this.#acknowledgedRevision, message.revision);
			this.#areFactsDue ||= message.wantFacts;
		} else if (message.type === 'command') {
			this.#applyCommand(message);
			this.#reportTimer ??= setTimeout(() => {
				this.#reportTimer = undefined;
				this.#sendHeartbeat();
			}, REPORT_BATCH_DELAY_MS);
		}
	}

	#applyCommand({kind, task}: Command): void {
		if (kind === 'checkpoint' || kind === 'throttle') {
			// Task reports do not change.
			return;
		}

		const key = taskKeyOf(task);
		const previousReport = this.#tasks.get(key);
		switch (kind) {
			case 'prepare': {
				this.#tasks.set(key, previousReport ?? {...task, state: 'prepared', everStarted: false});
				return;
			}

			case 'release': {
				this.#tasks.set(key, {...task, state: 'running', everStarted: true});
				return;
			}

			case 'stop': {
				this.#tasks.set(key, {
					...task, state: 'stopped', everStarted: previousReport?.everStarted ?? false, reason: 'stop_requested',
				});
				return;
			}

			case 'forget': {
				this.#tasks.delete(key);
			}
		}
	}
}
