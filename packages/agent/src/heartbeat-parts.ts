import {Buffer} from 'node:buffer';
import {
	type Heartbeat, MAX_DATAGRAM_BYTES, type TaskReport, type UsageReport, type WorkerFacts,
} from '@amaranthsail/core';

/** Bytes that the message codec adds to the JSON text: the version and the truncated HMAC. */
export const DATAGRAM_OVERHEAD_BYTES = 17;

/** Room for the sequence number, which is set after the split. */
const SEQUENCE_RESERVE_BYTES = 10;

/** A heartbeat before it is split. */
export type HeartbeatContent = {
	readonly header: Omit<Heartbeat, 'sequence' | 'facts' | 'reports' | 'complete' | 'usage'>;
	readonly facts: WorkerFacts | undefined;
	readonly reports: readonly TaskReport[];
	readonly usage: readonly UsageReport[];
};

/** A heartbeat that lacks only its sequence number. */
export type HeartbeatPart = Omit<Heartbeat, 'sequence'>;

function lengthOf(value: unknown): number {
	return Buffer.byteLength(JSON.stringify(value)) + 1;
}

/**
 * Splits a heartbeat by reports so that each part fits one datagram.
 * A single report or the facts alone are sent even when they are too long.
 *
 * @param content - Everything that the agent has to report.
 * @returns At least one part; `complete` only when there is a single one.
 */
export function splitHeartbeat(content: HeartbeatContent): readonly HeartbeatPart[] {
	const {header, facts, reports, usage} = content;
	const empty = lengthOf({
		...header, reports: [], complete: false, usage: [],
	}) + DATAGRAM_OVERHEAD_BYTES + SEQUENCE_RESERVE_BYTES + '"sequence":,'.length;
	const factsBytes = facts === undefined ? 0 : lengthOf(facts) + '"facts":'.length;
	const parts: Array<{facts?: WorkerFacts; reports: TaskReport[]; usage: UsageReport[]}> = [];
	let part: (typeof parts)[number] = {...(facts !== undefined && {facts}), reports: [], usage: []};
	let usedBytes = empty + factsBytes;
	const makeRoom = (bytes: number): void => {
		if (usedBytes + bytes > MAX_DATAGRAM_BYTES && usedBytes > empty) {
			parts.push(part);
			part = {reports: [], usage: []};
			usedBytes = empty;
		}

		usedBytes += bytes;
	};

	for (const report of reports) {
		makeRoom(lengthOf(report));
		part.reports.push(report);
	}

	for (const report of usage) {
		makeRoom(lengthOf(report));
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
