import type {Address} from '@amaranthsail/core';
import type {ObjectStore, WorkerRuntime} from '@amaranthsail/backing-services';
// Deep paths, because the index of the platform package also loads clients that are too large for the agent.
import {NodeHttpObjectStore} from '@amaranthsail/backing-services/node-http-object-store.js';
import {HttpWorkerRuntime} from '@amaranthsail/backing-services/worker-runtime-client.js';

/** Time the worker runtime gets to answer; longer than it takes to stop a task. */
export const RUNTIME_TIMEOUT_MS = 2000;

/** Time the object store gets to take an answer. */
export const OBJECT_TIMEOUT_MS = 10_000;

/** Calls to the worker runtime at one time; covers one call for each of eight slots. */
export const RUNTIME_CONCURRENCY = 8;

/**
 * Makes the clients of the platform.
 *
 * @param workerAddress - HTTP address of the worker runtime.
 * @param objectStoreAddress - HTTP address of the object store.
 * @returns The clients.
 */
export function createPlatformClients(workerAddress: Address, objectStoreAddress: Address): {readonly runtime: WorkerRuntime; readonly objects: ObjectStore} {
	return {
		runtime: new HttpWorkerRuntime({address: workerAddress, timeoutMs: RUNTIME_TIMEOUT_MS, maxParallelCalls: RUNTIME_CONCURRENCY}),
		objects: new NodeHttpObjectStore({address: objectStoreAddress, timeoutMs: OBJECT_TIMEOUT_MS}),
	};
}
