/** An entry in the response of `GET /v1/status`. */
export type EntryStatus = {
	readonly address: string;
	readonly isAnswering: boolean;
	readonly revision: number;
	/** Epoch by owned failure domain. */
	readonly epochs: ReadonlyMap<string, number>;
};

/** The status, without entries that do not answer. */
export type SystemStatus = {
	readonly entries: readonly EntryStatus[];
	readonly workers: ReadonlyArray<{readonly workerId: string; readonly revision: number}>;
	readonly lowestRevision: number;
	readonly highestRevision: number;
};

type EntryStatusBody = {
	readonly host: string;
	readonly port: number;
	readonly answers: boolean;
	readonly revision: number;
	readonly owned: ReadonlyArray<{readonly failureDomain: string; readonly epoch: number}>;
	readonly workers: ReadonlyArray<{readonly workerId: string; readonly revision: number}>;
};

/**
 * Parses the body of `GET /v1/status`. Entries that do not answer are left out, as their last known revision may be outdated.
 *
 * @param body - The body.
 * @returns The status.
 */
export function parseStatus(body: Readonly<Record<string, unknown>>): SystemStatus {
	const answering = (body.entries as readonly EntryStatusBody[]).filter(entry => entry.answers);
	const entries = answering.map(entry => ({
		address: `${entry.host}:${entry.port}`,
		isAnswering: entry.answers,
		revision: entry.revision,
		epochs: new Map(entry.owned.map(({failureDomain, epoch}) => [failureDomain, epoch])),
	}));
	const workers = answering.flatMap(entry => entry.workers);
	const revisions = [...entries, ...workers].map(({revision}) => revision);
	return {entries, workers, lowestRevision: Math.min(...revisions), highestRevision: Math.max(...revisions)};
}
