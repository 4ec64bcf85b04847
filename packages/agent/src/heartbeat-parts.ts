import {Buffer} from 'node:buffer';
import {
	type Heartbeat, MAX_DATAGRAM_BYTES, type TaskReport, type UsageReport, type WorkerFacts,
} from '@amaranthsail/core';

/** Bytes that the message codec adds to the JSON text: the version and a truncated HMAC. */
export const DATAGRAM_OVERHEAD_BYTES = 17;

/** Reserved for the digits of the sequence number, which is set after the split. */
const MAX_SEQUENCE_BYTES = 10;

/** Content of a heartbeat before it is split into datagrams. */
export type HeartbeatContent = {
	readonly header: Omit<Heartbeat, 'sequence' | 'facts' | 'reports' | 'complete' | 'usage'>;
	readonly facts: WorkerFacts | undefined;
	readonly reports: readonly TaskReport[];
	readonly usage: readonly UsageReport[];
};

/** A heartbeat datagram without its sequence number. */
export type HeartbeatPart = Omit<Heartbeat, 'sequence'>;

function jsonBytesOf(value: unknown): number {
	return Buffer.byteLength(JSON.stringify(value)) + 1;
}

/**
 * Splits a heartbeat between reports so that each part fits into one datagram.
 * A single report, or the facts alone, are sent even when they exceed the limit.
 *
 * @param content - Everything that the agent reports.
 * @returns At least one part; `complete` is set only when there is exactly one.
 */
export function splitHeartbeat(content: HeartbeatContent): readonly HeartbeatPart[] {
	const {header, facts, reports, usage} = content;
	const emptyPartBytes = jsonBytesOf({
		...header, reports: [], complete: false, usage: [],
	}) + DATAGRAM_OVERHEAD_BYTES + MAX_SEQUENCE_BYTES + '"sequence":,'.length;
	const factsBytes = facts === undefined ? 0 : jsonBytesOf(facts) + '"facts":'.length;
	const parts: Array<{facts?: WorkerFacts; reports: TaskReport[]; usage: UsageReport[]}> = [];
	let part: (typeof parts)[number] = {...(facts !== undefined && {facts}), reports: [], usage: []};
	let usedBytes = emptyPartBytes + factsBytes;
	const reserveBytes = (bytes: number): void => {
		if (usedBytes + bytes > MAX_DATAGRAM_BYTES && usedBytes > emptyPartBytes) {
			parts.push(part);
			part = {reports: [], usage: []};
			usedBytes = emptyPartBytes;
		}

		usedBytes += bytes;
	};

	for (const report of reports) {
		reserveBytes(jsonBytesOf(report));
		part.reports.push(report);
	}

	for (const report of usage) {
		reserveBytes(jsonBytesOf(report));
		part.usage.push(report);
	}

	parts.push(part);
	const complete = parts.length === 1;
	return parts.map(({facts: partFacts, reports: partReports, usage: partUsage}) => ({
		...header,
		...(partFacts !== undefined && {facts: partFacts}),
		reports: partReports,
		complete,
		...(partUsage.length > 0 && {usage: partUsage}),
	}));
}
