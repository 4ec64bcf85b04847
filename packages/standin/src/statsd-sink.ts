import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import type {Address} from '@amaranthsail/core';

/** Lines kept for each metric; older lines are only counted. */
export const MAX_LINES_PER_METRIC = 1000;

/** Number of received lines of one metric, and the last ones. */
export type MetricLines = {count: number; readonly lines: string[]};

/** Receives StatsD datagrams and keeps their lines. */
export type StatsdSink = {
	readonly address: Address;
	readonly metrics: ReadonlyMap<string, MetricLines>;
	close(): Promise<void>;
};

/**
 * Starts a StatsD sink.
 *
 * @param address - Listen address; with port 0 a free port is used.
 * @returns The listening sink.
 * @throws Error when the address cannot be used.
 */
export async function startStatsdSink(address: Address): Promise<StatsdSink> {
	const metrics = new Map<string, MetricLines>();
	const socket = createSocket('udp4');
	socket.on('message', datagram => {
		for (const line of datagram.toString('utf8').split('\n').filter(text => text !== '')) {
			recordLine(metrics, line);
		}
	});
	socket.bind(address.port, address.host);
	await once(socket, 'listening');
	return {
		address: {host: address.host, port: socket.address().port},
		metrics,
		async close() {
			const closed = once(socket, 'close');
			socket.close();
			await closed;
		},
	};
}

function recordLine(metrics: Map<string, MetricLines>, line: string): void {
	const [name] = line.split(':', 1);
	const metricLines = metrics.get(name!) ?? {count: 0, lines: []};
	metrics.set(name!, metricLines);
	metricLines.count += 1;
	metricLines.lines.push(line);
	if (metricLines.lines.length > MAX_LINES_PER_METRIC) {
		metricLines.lines.shift();
	}
}
