import {type JsonObject, type RecordId, type RecordKind, type RecordSpecs, RECORD_KINDS} from './record-document.js';
import {specOf, type StoredRecord} from './stored-record.js';
import {readNewestSpec} from './validate-record.js';

/** Typed records of every kind by name, in the newest schema version. */
export type TypedRecords = {readonly [Kind in RecordKind]: ReadonlyMap<string, RecordSpecs[Kind]>};

/** The configuration at one revision. */
export type ConfigSnapshot = {
	/** 0 before the first change. */
	readonly revision: number;
	readonly records: TypedRecords;
	/** Stored records that the newest schema of this program cannot parse, for example after a downgrade; they have no effect. */
	readonly unreadable: readonly RecordId[];
};

/**
 * Parses stored records with the newest schema version.
 *
 * @param revision - The revision of the configuration.
 * @param stored - The stored records; withdrawn ones are left out.
 * @returns The snapshot.
 */
export function buildSnapshot(revision: number, stored: Iterable<Omit<StoredRecord, 'writeId'>>): ConfigSnapshot {
	const records = Object.fromEntries(RECORD_KINDS.map(kind => [kind, new Map<string, JsonObject>()])) as Record<RecordKind, Map<string, unknown>>;
	const unreadable: RecordId[] = [];
	for (const record of stored) {
		if (record.withdrawn) {
			continue;
		}

		const spec = readNewestSpec(record.kind, specOf(record));
		if (spec.ok) {
			records[record.kind].set(record.name, spec.value);
		} else {
			unreadable.push({kind: record.kind, name: record.name});
		}
	}

	return {revision, records: records as TypedRecords, unreadable};
}
