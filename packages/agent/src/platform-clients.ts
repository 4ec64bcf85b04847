import type {Address} from '@amaranthsail/core';
import type {ObjectStore, WorkerRuntime} from '@amaranthsail/backing-services';
// Imported by file, because the package's index also loads clients that take too much memory for the agent.
import {NodeHttpObjectStore} from '@amaranthsail/backing-services/node-http-object-store.js';
import {HttpWorkerRuntime} from '@amaranthsail/backing-services/worker-runtime-client.js';

/** Timeout of a call to the worker runtime; longer than the time to stop a task. */
export const RUNTIME_TIMEOUT_MS = 2000;

/** Timeout of writing a task's answer to the object store. */
export const OBJECT_STORE_TIMEOUT_MS = 10_000;

/** Maximum concurrent calls to the worker runtime: one for each of eight slots. */
export const MAX_CONCURRENT_RUNTIME_CALLS = 8;

/**
 * Creates the clients of the worker runtime and the object store.
 *
 * @param workerAddress - HTTP address of the worker runtime.
 * @param objectStoreAddress - HTTP address of the object store.
 * @returns The clients.
 */
export function createPlatformClients(workerAddress: Address, objectStoreAddress: Address): {readonly runtime: WorkerRuntime; readonly objects: ObjectStore} {
	return {
		runtime: new HttpWorkerRuntime({address: workerAddress, timeoutMs: RUNTIME_TIMEOUT_MS, maxParallelCalls: MAX_CONCURRENT_RUNTIME_CALLS}),
		objects: new NodeHttpObjectStore({address: objectStoreAddress, timeoutMs: OBJECT_STORE_TIMEOUT_MS}),
	};
}
