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

/** Request bodies of all worker runtime calls in one type. */
type RuntimeRequestBody = {
	readonly key: TaskKey;
	readonly assignment: TaskAssignment;
	readonly leaseUntilMs: number;
	readonly leases: ReadonlyArray<{readonly key: TaskKey; readonly leaseUntilMs: number}>;
};

/** Bytes that the agent has exchanged since its start. */
export type ByteCounts = {
	/** Datagrams to and from the owner, including 28 bytes of IP and UDP headers each. */
	readonly datagramBytes: number;
	/** HTTP requests and responses on the connections to the worker runtime on the same VM. */
	readonly loopbackBytes: number;
};

/** Simulated worker runtime, entry and owner in one process, for measurements and tests of one agent. */
export class SimulatedPeers {
	readonly #codec: MessageCodec;
	readonly #socket = dgram.createSocket('udp4');
	readonly #server = http.createServer((request, response) => {
		void this.#handleRequest(request, response);
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
	#closedConnectionBytes = 0;

	/**
	 * @param sharedSecret - Secret that authenticates datagrams.
	 */
	constructor(sharedSecret: string) {
		this.#codec = new MessageCodec(sharedSecret);
		this.#socket.on('message', (datagram, {port}) => {
			this.#handleDatagram(datagram, port);
		});
		this.#server.on('connection', connection => {
			this.#connections.add(connection);
			connection.once('close', () => {
				this.#connections.delete(connection);
				this.#closedConnectionBytes += connection.bytesRead + connection.bytesWritten;
			});
		});
	}

	/**
	 * Listens on free ports.
	 *
	 * @returns The HTTP port of the worker runtime, the object store and the entry.
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
	 * @param signal - Aborts the wait.
	 */
	async nextHeartbeat(signal: AbortSignal): Promise<void> {
		await once(this.#socket, 'message', {signal});
	}

	/**
	 * Counts the tasks in a state.
	 *
	 * @param state - The reported state.
	 * @returns The number of tasks whose latest report has this state.
	 */
	count(state: TaskReport['state']): number {
		return [...this.#reports.values()].filter(report => report.state === state).length;
	}

	/**
	 * Sends a command for a task that takes one slot and one accelerator.
	 *
	 * @param kind - `prepare` or `release`.
	 * @param index - Index of the task and of its accelerator, from 0 to 7.
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
	 * Returns the bytes exchanged so far.
	 *
	 * @returns The byte counts.
	 */
	bytes(): ByteCounts {
		let loopbackBytes = this.#closedConnectionBytes;
		for (const connection of this.#connections) {
			loopbackBytes += connection.bytesRead + connection.bytesWritten;
		}

		return {datagramBytes: this.#datagramBytes, loopbackBytes};
	}

	/** Closes the sockets and all connections. */
	close(): void {
		this.#socket.close();
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#handleDatagram(datagram: Uint8Array, port: number): void {
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

	async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
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
			: {value: await this.#callRuntime(url.replace('/v1/runtime/', ''), body as RuntimeRequestBody) ?? {}}));
	}

	async #callRuntime(name: string, {key, assignment, leaseUntilMs, leases}: RuntimeRequestBody): Promise<unknown> {
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
