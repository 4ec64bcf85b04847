import type {Address} from '@amaranthsail/core';
import {FaultPlan, MemoryObjectStore, MemoryTableStore} from '@amaranthsail/backing-services';
import {newCounters, type Counters} from './counters.js';
import {faultRoutes} from './fault-routes.js';
import {
	json, serve, type Route, type RunningServer,
} from './http-server.js';
import {objectRoutes} from './object-routes.js';
import {startStatsdSink, type StatsdSink} from './statsd-sink.js';
import {tableRoutes} from './table-routes.js';

/** Settings of the platform stand-in. */
export type PlatformOptions = {
	/** Where to listen; a free port of 127.0.0.1 by default. */
	readonly address?: Address;
	/** Where to take StatsD datagrams; a free port of 127.0.0.1 by default. */
	readonly statsdAddress?: Address;
};

/** A platform stand-in that serves requests. */
export type RunningPlatform = RunningServer & {
	readonly statsdAddress: Address;
	/** The faults of tables and objects. */
	readonly faults: FaultPlan;
	readonly tables: MemoryTableStore;
	readonly objects: MemoryObjectStore;
	readonly counters: Counters;
};

/** A free port of the loopback interface. */
export const FREE_ADDRESS: Address = {host: '127.0.0.1', port: 0};

/**
 * Starts tables, objects, a StatsD sink and fault control in this process.
 *
 * @param options - Where to listen.
 * @returns The stand-in, ready.
 * @throws Error when an address cannot be used.
 */
export async function startPlatform(options: PlatformOptions = {}): Promise<RunningPlatform> {
	const faults = new FaultPlan();
	const tables = new MemoryTableStore(faults);
	const objects = new MemoryObjectStore(faults);
	const counters = newCounters();
	const sink = await startStatsdSink(options.statsdAddress ?? FREE_ADDRESS);
	const routes: readonly Route[] = [
		...tableRoutes(tables, counters),
		...objectRoutes(objects, counters),
		...faultRoutes(faults),
		['GET', '/v1/counters', () => json(counters)],
		['DELETE', '/v1/counters', () => json(Object.assign(counters, newCounters()))],
		['GET', '/v1/metrics', () => json({metrics: Object.fromEntries(sink.metrics)})],
	];
	const server = await serveOrClose(routes, options.address ?? FREE_ADDRESS, sink);
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

async function serveOrClose(routes: readonly Route[], address: Address, sink: StatsdSink): Promise<RunningServer> {
	try {
		return await serve(routes, address);
	} catch (error) {
		await sink.close();
		throw error;
	}
}
