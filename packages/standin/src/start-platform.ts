import type {Address} from '@amaranthsail/core';
import {FaultPlan, MemoryObjectStore, MemoryTableStore} from '@amaranthsail/backing-services';
import {createCounters, type Counters} from './counters.js';
import {createFaultRoutes} from './fault-routes.js';
import {
	jsonReply, startServer, type Route, type RunningServer,
} from './http-server.js';
import {createObjectRoutes} from './object-routes.js';
import {startStatsdSink, type StatsdSink} from './statsd-sink.js';
import {createTableRoutes} from './table-routes.js';

/** Settings of the platform emulator. */
export type PlatformOptions = {
	/** Listen address; a free port of 127.0.0.1 by default. */
	readonly address?: Address;
	/** Address for StatsD datagrams; a free port of 127.0.0.1 by default. */
	readonly statsdAddress?: Address;
};

/** A running platform emulator. */
export type RunningPlatform = RunningServer & {
	readonly statsdAddress: Address;
	/** The fault plan of tables and objects. */
	readonly faults: FaultPlan;
	readonly tables: MemoryTableStore;
	readonly objects: MemoryObjectStore;
	readonly counters: Counters;
};

/** A free port of the loopback interface. */
export const FREE_ADDRESS: Address = {host: '127.0.0.1', port: 0};

/**
 * Starts the platform emulator in this process: tables, objects, a StatsD sink and routes that set faults.
 *
 * @param options - Listen addresses.
 * @returns The running emulator.
 * @throws Error when an address cannot be used.
 */
export async function startPlatform(options: PlatformOptions = {}): Promise<RunningPlatform> {
	const faults = new FaultPlan();
	const tables = new MemoryTableStore(faults);
	const objects = new MemoryObjectStore(faults);
	const counters = createCounters();
	const sink = await startStatsdSink(options.statsdAddress ?? FREE_ADDRESS);
	const routes: readonly Route[] = [
		...createTableRoutes(tables, counters),
		...createObjectRoutes(objects, counters),
		...createFaultRoutes(faults),
		['GET', '/v1/counters', () => jsonReply(counters)],
		['DELETE', '/v1/counters', () => jsonReply(Object.assign(counters, createCounters()))],
		['GET', '/v1/metrics', () => jsonReply({metrics: Object.fromEntries(sink.metrics)})],
	];
	const server = await startServerOrCloseSink(routes, options.address ?? FREE_ADDRESS, sink);
	return {
		address: server.address,
		statsdAddress: sink.address,
		faults,
		tables,
		objects,
		counters,
		async close() {
			await Promise.all([server.close(), sink.close()]);
		},
	};
}

async function startServerOrCloseSink(routes: readonly Route[], address: Address, sink: StatsdSink): Promise<RunningServer> {
	try {
		return await startServer(routes, address);
	} catch (error) {
		await sink.close();
		throw error;
	}
}
