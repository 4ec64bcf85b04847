import {performance} from 'node:perf_hooks';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Received bytes after which the young generation is collected; it takes about a millisecond at 1 MB. */
const YOUNG_COLLECTION_BYTES = 4 * 1024 * 1024;

/** Such bytes after which the whole heap is collected; clients within the limits cause none. */
const FULL_COLLECTION_BYTES = 2 * 1024 * 1024;

/** A full collection takes some 30 ms. */
const FULL_COLLECTION_INTERVAL_MS = 1000;

type Collect = (options?: {readonly type: 'minor'}) => void;

let receivedBytes = 0;
let droppedBytes = 0;
let collectedAtMs = Number.NEGATIVE_INFINITY;
let collect: Collect | undefined;

/**
 * Counts bytes that have been received. Node.js reads into buffers of 64 KiB outside the heap, and V8 collects them only
 * when they are 32 MB or more together; a crowd of clients makes that much garbage within a moment.
 *
 * @param bytes - Bytes received now.
 */
export function countReceived(bytes: number): void {
	receivedBytes += bytes;
	if (receivedBytes >= YOUNG_COLLECTION_BYTES) {
		receivedBytes = 0;
		collector()({type: 'minor'});
	}
}

/**
 * Counts bytes that connections outside the limits have held: when a limit closes one, or for requests of a long pipeline.
 * They have become old and wait for a collection of the whole heap.
 *
 * @param bytes - Bytes that are no longer used.
 */
export function countDropped(bytes: number): void {
	droppedBytes += bytes;
	const nowMs = performance.now();
	if (droppedBytes >= FULL_COLLECTION_BYTES && nowMs - collectedAtMs >= FULL_COLLECTION_INTERVAL_MS) {
		droppedBytes = 0;
		collectedAtMs = nowMs;
		// The connections that are being closed are still reachable in this turn.
		setImmediate(() => {
			collector()();
		});
	}
}

function collector(): Collect {
	if (!collect) {
		setFlagsFromString('--expose-gc');
		collect = runInNewContext('gc') as Collect;
	}

	return collect;
}
