import type {Address, Logger} from '@amaranthsail/core';
import {StatsD} from 'hot-shots';

/** Tags of a metric, for example the client account and the work class. */
export type MetricTags = Readonly<Record<string, string>>;

/** Records metrics. */
export interface Metrics {
	/** Records a duration in milliseconds in a histogram. */
	histogram(name: string, valueMs: number, tags?: MetricTags): void;

	/** Increments a counter. */
	count(name: string, amount?: number, tags?: MetricTags): void;

	/** Sets a gauge. */
	gauge(name: string, value: number, tags?: MetricTags): void;

	close(): void;
}

/** Sends metrics to a StatsD server. */
export class StatsdMetrics implements Metrics {
	readonly #client: StatsD;

	/**
	 * @param address - The StatsD server.
	 * @param logger - Logs send errors, which are otherwise ignored.
	 */
	constructor(address: Address, logger: Logger) {
		this.#client = new StatsD({
			host: address.host,
			port: address.port,
			prefix: 'amaranthsail.',
			maxBufferSize: 1200,
			bufferFlushInterval: 200,
			errorHandler(error) {
				logger.debug('metric not sent', {error: String(error)});
			},
		});
	}

	histogram(name: string, valueMs: number, tags: MetricTags = {}): void {
		this.#client.histogram(name, valueMs, {...tags});
	}

	count(name: string, amount = 1, tags: MetricTags = {}): void {
		this.#client.increment(name, amount, {...tags});
	}

	gauge(name: string, value: number, tags: MetricTags = {}): void {
		this.#client.gauge(name, value, {...tags});
	}

	close(): void {
		this.#client.close(() => undefined);
	}
}
