import type {Address} from '@amaranthsail/core';
import type {ObjectStore, WorkerRuntime} from '@amaranthsail/platform';

type ClientOptions = {readonly address: Address; readonly timeoutMs: number};
type WorkerRuntimeModule = {readonly HttpWorkerRuntime: new (options: ClientOptions) => WorkerRuntime};
type ObjectStoreModule = {readonly NodeHttpObjectStore: new (options: ClientOptions) => ObjectStore};

/** Time the worker runtime gets to answer. */
export const RUNTIME_TIMEOUT_MS = 1000;

/** Time the object store gets to take an answer. */
export const OBJECT_TIMEOUT_MS = 10_000;

// Deep paths, because the index of the platform package also loads clients that are too large for the agent.
const RUNTIME_MODULE = '@amaranthsail/platform/worker-runtime-client.js';
const OBJECT_STORE_MODULE = '@amaranthsail/platform/node-http-object-store.js';

/**
 * Makes the clients of the platform.
 *
 * @param workerAddress - HTTP address of the worker runtime.
 * @param objectStoreAddress - HTTP address of the object store.
 * @returns The clients.
 */
export async function createPlatformClients(workerAddress: Address, objectStoreAddress: Address): Promise<{readonly runtime: WorkerRuntime; readonly objects: ObjectStore}> {
	const {HttpWorkerRuntime} = await import(RUNTIME_MODULE) as WorkerRuntimeModule;
	const {NodeHttpObjectStore} = await import(OBJECT_STORE_MODULE) as ObjectStoreModule;
	return {
		runtime: new HttpWorkerRuntime({address: workerAddress, timeoutMs: RUNTIME_TIMEOUT_MS}),
		objects: new NodeHttpObjectStore({address: objectStoreAddress, timeoutMs: OBJECT_TIMEOUT_MS}),
	};
}
