import type {Server} from 'node:http';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {BoundedServer} from './bounded-server.js';
import {connectionOf} from './connection-of.js';
import {listen, type ListenerOptions} from './json-server.js';

/** From a call within a region to the longest wait of a caller. */
const LATENCY_BUCKETS_S = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5];

/**
 * Counters, gauges and latency histograms of a process, served as text. Label values come from the configuration or
 * from fixed sets, so that the number of series stays bounded.
 */
export class ProcessMetrics {
	readonly #registry = new Registry();
	readonly #counters = new Map<string, Counter>();
	readonly #gauges = new Map<string, Gauge>();
	readonly #histograms = new Map<string, Histogram>();
	#textInProgress: Promise<string> | undefined;

	/**
	 * Counts an event.
	 *
	 * @param name - Name of the counter, without prefix and suffix.
	 * @param labels - Labels; the label names of one counter never change.
	 */
	count(name: string, labels: Readonly<Record<string, string>> = {}): void {
		let counter = this.#counters.get(name);
		if (!counter) {
			counter = new Counter({name: `amaranthsail_${name}_total`, help: name, labelNames: Object.keys(labels), registers: [this.#registry]});
			this.#counters.set(name, counter);
		}

		counter.inc(labels);
	}

	/**
	 * Records a duration.
	 *
	 * @param name - Name of the histogram, without prefix and unit.
	 * @param durationMs - The duration in milliseconds.
	 * @param labels - Labels; the label names of one histogram never change.
	 */
	observe(name: string, durationMs: number, labels: Readonly<Record<string, string>> = {}): void {
		let histogram = this.#histograms.get(name);
		if (!histogram) {
			histogram = new Histogram({
				name: `amaranthsail_${name}_seconds`, help: name, labelNames: Object.keys(labels), buckets: LATENCY_BUCKETS_S, registers: [this.#registry],
			});
			this.#histograms.set(name, histogram);
		}

		histogram.observe(labels, durationMs / 1000);
	}

	/**
	 * Sets a gauge.
	 *
	 * @param name - Name of the gauge, without prefix.
	 * @param value - The value.
	 * @param labels - Labels; the label names of one gauge never change.
	 */
	set(name: string, value: number, labels: Readonly<Record<string, string>> = {}): void {
		let gauge = this.#gauges.get(name);
		if (!gauge) {
			gauge = new Gauge({name: `amaranthsail_${name}`, help: name, labelNames: Object.keys(labels), registers: [this.#registry]});
			this.#gauges.set(name, gauge);
		}

		gauge.set(labels, value);
	}

	/** @returns All metrics in Prometheus' text format. */
	async text(): Promise<string> {
		return this.#registry.metrics();
	}

	/**
	 * Serves the metrics on every path.
	 *
	 * @param address - `host:port` to listen on.
	 * @param options - Limits for the clients.
	 * @returns The server, once it listens.
	 */
	async serve(address: string, {limits, observer}: ListenerOptions): Promise<Server> {
		const server = new BoundedServer(limits, observer, (message, response) => {
			void (async () => {
				if (connectionOf(message)?.isRefused(message)) {
					response.writeHead(503, {connection: 'close'}).end();
					return;
				}

				response.writeHead(200, {'content-type': this.#registry.contentType});
				response.end(await this.#sharedText());
			})();
		});
		return listen(server, address);
	}

	/** Requests that arrive while a text is made share it, so that many at once need the memory of one. */
	async #sharedText(): Promise<string> {
		this.#textInProgress ??= (async () => {
			try {
				return await this.text();
			} finally {
				this.#textInProgress = undefined;
			}
		})();
		return this.#textInProgress;
	}
}
