import {performance} from 'node:perf_hooks';
import type {Logger} from '@amaranthsail/core';
import type {ListenerObserver} from './bounded-server.js';
import type {ProcessMetrics} from './metrics.js';

/** Interval between two lines about one listener, however many clients it refuses. */
const LOG_INTERVAL_MS = 10_000;

type Unreported = {closed: Record<string, number>; refused: Record<string, number>; loggedAtMs: number};

/** Counts the requests that a process refuses and the connections that it closes, and logs them. */
export class ListenerMonitor implements ListenerObserver {
	readonly #logger: Logger;
	readonly #metrics: ProcessMetrics;
	readonly #unreported = new Map<string, Unreported>();

	/**
	 * @param logger - Receives a line for each listener that has closed connections, at most every 10 s.
	 * @param metrics - Receives counters and gauges.
	 */
	constructor(logger: Logger, metrics: ProcessMetrics) {
		this.#logger = logger;
		this.#metrics = metrics;
	}

	onClosed(listener: string, reason: string): void {
		this.#metrics.count('client_connections_closed', {listener, reason});
		const {closed} = this.#of(listener);
		closed[reason] = (closed[reason] ?? 0) + 1;
	}

	onRefused(listener: string, reason: string): void {
		this.#metrics.count('client_requests_refused', {listener, reason});
		const {refused} = this.#of(listener);
		refused[reason] = (refused[reason] ?? 0) + 1;
	}

	onState(listener: string, {connections, heldBytes}: {readonly connections: number; readonly heldBytes: number}): void {
		this.#metrics.set('client_connections', connections, {listener});
		this.#metrics.set('client_held_bytes', heldBytes, {listener});
		const unreported = this.#of(listener);
		const nowMs = performance.now();
		// An idle connection that is closed after its time is nothing unusual.
		const isUnusual = Object.keys(unreported.refused).length > 0 || Object.keys(unreported.closed).some(reason => reason !== 'idle');
		if (isUnusual && nowMs - unreported.loggedAtMs >= LOG_INTERVAL_MS) {
			this.#logger.warn('clients limited', {listener, connections, heldBytes, closed: unreported.closed, refused: unreported.refused});
			unreported.closed = {};
			unreported.refused = {};
			unreported.loggedAtMs = nowMs;
		}
	}

	#of(listener: string): Unreported {
		let unreported = this.#unreported.get(listener);
		if (!unreported) {
			unreported = {closed: {}, refused: {}, loggedAtMs: Number.NEGATIVE_INFINITY};
			this.#unreported.set(listener, unreported);
		}

		return unreported;
	}
}
