import {
	SystemClock, type Address, type Clock, type EndpointReport, type Resources,
} from '@amaranthsail/core';
import {FaultPlan, HttpObjectStore, MemoryWorkerRuntime, type ObjectStore} from '@amaranthsail/backing-services';
import {z} from 'zod';
import {CheckpointMirror} from './checkpoint-mirror.js';
import {EndpointAnnouncer} from './endpoint-announcer.js';
import {createFaultRoutes} from './fault-routes.js';
import {jsonReply, startServer, type RunningServer} from './http-server.js';
import {withJsonBody} from './replies.js';
import {FREE_ADDRESS} from './start-platform.js';
import {createWorkerRoutes} from './worker-routes.js';

/** Interval at which a worker stops tasks whose lease has expired; it also does so on every call. */
export const LEASE_CHECK_INTERVAL_MS = 100;

/** Capacity of a worker of the register division. */
export const DEFAULT_CAPACITY: Resources = {
	slots: 8, connections: 64, processors: 30, memoryMb: 64_000, accelerators: 8,
};

/** Settings of a worker emulator. */
export type WorkerOptions = {
	/** Listen address; a free port of 127.0.0.1 by default. */
	readonly address?: Address;
	/** The agent to which the endpoints announce themselves; none by default. */
	readonly agentAddress?: Address;
	/** Id of the endpoint; with several services each has the id `{endpointId}-{service}`. `endpoint-1` by default. */
	readonly endpointId?: string;
	/** The services that have an endpoint here; none by default. */
	readonly services?: readonly string[];
	/** The worker id in answers and executions; the endpoint id by default. */
	readonly workerId?: string;
	/** `rack-1` by default. */
	readonly rack?: string;
	/** {@link DEFAULT_CAPACITY} by default. */
	readonly capacity?: Resources;
	/** Whether every task fails as soon as it starts. */
	readonly failEverything?: boolean;
	/** The clock of the VM; the system clock by default. */
	readonly clock?: Clock;
	/** Progress by checkpoint key; workers that continue each other's tasks have to share one map. */
	readonly checkpoints?: Map<string, number>;
	/** The object store for checkpoints and long inputs, for workers in several processes; none by default. */
	readonly objectStoreAddress?: Address;
};

/** A running worker emulator. */
export type RunningWorker = RunningServer & {
	readonly runtime: MemoryWorkerRuntime;
	/** Changes the announcements of the endpoints; see {@link EndpointAnnouncer.change}. */
	changeEndpoints(change: {readonly leaving?: boolean; readonly silent?: boolean}): Promise<void>;
};

/**
 * Starts the worker runtime of one VM and the endpoints on it in this process.
 *
 * @param options - Identity, capacity and addresses.
 * @returns The running emulator.
 * @throws Error when the address cannot be used.
 */
export async function startWorker(options: WorkerOptions = {}): Promise<RunningWorker> {
	const endpointId = options.endpointId ?? 'endpoint-1';
	const checkpoints = options.checkpoints ?? new Map<string, number>();
	const objects = options.objectStoreAddress && new HttpObjectStore({address: options.objectStoreAddress});
	const mirror = objects && new CheckpointMirror(checkpoints, objects);
	const runtime = new MemoryWorkerRuntime({
		clock: options.clock ?? new SystemClock(),
		workerId: options.workerId ?? endpointId,
		rack: options.rack ?? 'rack-1',
		capacity: options.capacity ?? DEFAULT_CAPACITY,
		failEverything: options.failEverything,
		checkpoints,
		faults: new FaultPlan(),
	});
	const endpoints = createEndpointReports(endpointId, options.services ?? []);
	const announcer = options.agentAddress && new EndpointAnnouncer(options.agentAddress, endpoints);
	const server = await startServer([
		...createWorkerRoutes(runtime, async key => mirror?.load(key), async key => readInputText(objects, key)),
		...createFaultRoutes(runtime.faults),
		['GET', '/v1/endpoints', () => jsonReply({endpoints: announcer?.endpoints ?? endpoints})],
		['PUT', '/v1/endpoints', withJsonBody(z.strictObject({leaving: z.boolean().optional(), silent: z.boolean().optional()}), async change => {
			await announcer?.change(change);
			return jsonReply({endpoints: announcer?.endpoints ?? endpoints});
		})],
	], options.address ?? FREE_ADDRESS);
	const timer = setInterval(() => {
		runtime.tick();
		void mirror?.store();
	}, LEASE_CHECK_INTERVAL_MS);
	announcer?.start();
	return {
		address: server.address,
		runtime,
		async changeEndpoints(change) {
			await announcer?.change(change);
		},
		async close() {
			clearInterval(timer);
			await Promise.all([server.close(), announcer?.close(), objects?.close()]);
		},
	};
}

function createEndpointReports(endpointId: string, services: readonly string[]): readonly EndpointReport[] {
	return services.map(service => ({
		endpointId: services.length === 1 ? endpointId : `${endpointId}-${service}`,
		service,
		leaving: false,
	}));
}

async function readInputText(objects: ObjectStore | undefined, key: string): Promise<string | undefined> {
	const content = await objects?.get(key);
	return content?.ok && content.value ? new TextDecoder().decode(content.value) : undefined;
}
