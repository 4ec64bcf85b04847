import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import type {Address} from '@amaranthsail/core';

/** Lines kept of each metric; older ones are only counted. */
export const MAX_LINES_PER_METRIC = 1000;

/** What was received of one metric. */
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
 * @param address - Where to listen; port 0 takes a free one.
 * @returns The sink, listening.
 * @throws Error when the address cannot be used.
 */
export async function startStatsdSink(address: Address): Promise<StatsdSink> {
	const metrics = new Map<string, MetricLines>();
	const socket = createSocket('udp4');
	socket.on('message', datagram => {
		for (const line of datagram.toString('utf8').split('\n').filter(text => text !== '')) {
			keepLine(metrics, line);
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

function keepLine(metrics: Map<string, MetricLines>, line: string): void {
	const [name] = line.split(':', 1);
	const kept = metrics.get(name!) ?? {count: 0, lines: []};
	metrics.set(name!, kept);
	kept.count += 1;
	kept.lines.push(line);
	if (kept.lines.length > MAX_LINES_PER_METRIC) {
		kept.lines.shift();
	}
}
