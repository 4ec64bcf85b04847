import dgram from 'node:dgram';
import {once} from 'node:events';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {
	type Command, type ControlMessage, type Heartbeat, MessageCodec, SystemClock, type TaskAssignment, type TaskKey, type TaskReport,
} from '@amaranthsail/core';
import {MemoryWorkerRuntime} from '@amaranthsail/backing-services/memory-worker-runtime.js';

const OWNER_ID = 'measuring-owner';
const RUN_MS = 3_600_000;

/** Names of the runtime's calls that change something, and how they read their body. */
type RuntimeBody = {
	readonly key: TaskKey;
	readonly assignment: TaskAssignment;
	readonly leaseUntilMs: number;
	readonly leases: ReadonlyArray<{readonly key: TaskKey; readonly leaseUntilMs: number}>;
};

/** Bytes that the agent has exchanged so far. */
export type ByteCounts = {
	/** Datagrams with the owner, both ways, with 28 bytes of IP and UDP headers each. */
	readonly datagramBytes: number;
	/** HTTP with the worker runtime on the same VM, both ways. */
	readonly loopbackBytes: number;
};

/** Worker runtime, entry and owner for measurements of one agent, in one process. */
export class MeasureSurroundings {
	readonly #codec: MessageCodec;
	readonly #socket = dgram.createSocket('udp4');
	readonly #server = http.createServer((request, response) => {
		void this.#answer(request, response);
	});

	readonly #connections = new Set<Socket>();
	readonly #runtime = new MemoryWorkerRuntime({
		clock: new SystemClock(), workerId: 'worker-1', rack: 'rack-1', capacity: {
			slots: 8, connections: 64, processors: 30, memoryMb: 64_000, accelerators: 8,
		},
	});

	#agent: {readonly incarnation: string; readonly port: number} | undefined;
	readonly #reports = new Map<string, TaskReport>();
	#datagramBytes = 0;
	#closedBytes = 0;

	/**
	 * @param sharedSecret - Authenticates datagrams.
	 */
	constructor(sharedSecret: string) {
		this.#codec = new MessageCodec(sharedSecret);
		this.#socket.on('message', (datagram, {port}) => {
			this.#receive(datagram, port);
		});
		this.#server.on('connection', connection => {
			this.#connections.add(connection);
			connection.once('close', () => {
				this.#connections.delete(connection);
				this.#closedBytes += connection.bytesRead + connection.bytesWritten;
			});
		});
	}

	/**
	 * Listens on free ports.
	 *
	 * @returns The HTTP port, which serves as worker runtime, object store and entry.
	 */
	async start(): Promise<number> {
		this.#socket.bind(0, '127.0.0.1');
		this.#server.listen(0, '127.0.0.1');
		await Promise.all([once(this.#socket, 'listening'), once(this.#server, 'listening')]);
		return (this.#server.address() as AddressInfo).port;
	}

	/**
	 * Waits for the next datagram of the agent.
	 *
	 * @param signal - Bounds the wait.
	 */
	async nextHeartbeat(signal: AbortSignal): Promise<void> {
		await once(this.#socket, 'message', {signal});
	}

	/**
	 * Counts the tasks in a state.
	 *
	 * @param state - The reported state.
	 * @returns Their number in the latest reports.
	 */
	count(state: TaskReport['state']): number {
		return [...this.#reports.values()].filter(report => report.state === state).length;
	}

	/**
	 * Sends a command for a task that takes one slot and one accelerator.
	 *
	 * @param kind - `prepare` or `release`.
	 * @param index - Number of the task from 0 to 7.
	 */
	command(kind: 'prepare' | 'release', index: number): void {
		if (this.#agent === undefined) {
			return;
		}

		const {incarnation, port} = this.#agent;
		const command: Command = {
			type: 'command', kind, ownerId: OWNER_ID, epoch: 1, workerId: 'worker-1', incarnation, task: {jobId: index.toString(16).padStart(32, '0'), attempt: 1, taskIndex: 0}, holdMs: 10_000,
			...(kind === 'prepare' && {
				assignment: {
					account: 'account', service: 'service', operation: 'long', endpointId: 'endpoint-1', shape: {
						slots: 1, connections: 4, processors: 2, memoryMb: 2000, accelerators: 1,
					}, accelerators: [index], taskCount: 1, repeatable: true, checkpointable: true, inlineInput: JSON.stringify({runMs: RUN_MS}),
				},
			}),
		};
		this.#send(command, port);
	}

	/**
	 * Reads the byte counts.
	 *
	 * @returns Bytes so far.
	 */
	bytes(): ByteCounts {
		let loopbackBytes = this.#closedBytes;
		for (const connection of this.#connections) {
			loopbackBytes += connection.bytesRead + connection.bytesWritten;
		}

		return {datagramBytes: this.#datagramBytes, loopbackBytes};
	}

	/** Closes everything. */
	close(): void {
		this.#socket.close();
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#receive(datagram: Uint8Array, port: number): void {
		const decoded = this.#codec.decode(datagram);
		if (!decoded.ok || decoded.value.type !== 'heartbeat') {
			return;
		}

		const heartbeat: Heartbeat = decoded.value;
		this.#datagramBytes += datagram.length + 28;
		this.#agent = {incarnation: heartbeat.incarnation, port};
		for (const report of heartbeat.reports) {
			this.#reports.set(report.jobId, report);
		}

		this.#send({
			type: 'ack',
			ownerId: OWNER_ID,
			epoch: 1,
			sequence: heartbeat.sequence,
			sentAtMs: heartbeat.sentAtMs,
			degraded: false,
			revision: 1,
			wantFacts: false,
			renewed: heartbeat.reports.map(({jobId, attempt, taskIndex}) => ({jobId, attempt, taskIndex})),
		}, port);
	}

	#send(message: ControlMessage, port: number): void {
		const datagram = this.#codec.encode(message);
		this.#datagramBytes += datagram.length + 28;
		this.#socket.send(datagram, port, '127.0.0.1');
	}

	async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		let text = '';
		for await (const chunk of request) {
			text += String(chunk);
		}

		const url = request.url ?? '';
		const body = text === '' ? {} : JSON.parse(text) as unknown;
		response.end(JSON.stringify(url.startsWith('/v1/owners/')
			? {
				ownerId: OWNER_ID, epoch: 1, host: '127.0.0.1', port: this.#socket.address().port,
			}
			: {value: await this.#call(url.replace('/v1/runtime/', ''), body as RuntimeBody) ?? {}}));
	}

	async #call(name: string, {key, assignment, leaseUntilMs, leases}: RuntimeBody): Promise<unknown> {
		switch (name) {
			case 'facts': {
				return valueOf(await this.#runtime.facts());
			}

			case 'tasks': {
				return valueOf(await this.#runtime.list());
			}

			case 'start': {
				return valueOf(await this.#runtime.start(key, assignment, leaseUntilMs));
			}

			case 'renew': {
				return valueOf(await this.#runtime.renew(leases));
			}

			case 'checkpoint': {
				return valueOf(await this.#runtime.checkpoint(key));
			}

			case 'stop': {
				return valueOf(await this.#runtime.stop(key));
			}

			default: {
				return undefined;
			}
		}
	}
}

function valueOf(result: {readonly ok: boolean; readonly value?: unknown}): unknown {
	return result.value;
}
