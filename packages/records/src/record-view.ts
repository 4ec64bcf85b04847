import type {JsonObject, RecordId} from './record-document.js';
import {specOf, type StoredRecord} from './stored-record.js';

/** A record as shown to operators. */
export type RecordView = RecordId & {
	/** Newest schema version that was ever submitted. */
	readonly schemaVersion: number;
	/** Revision of the last change; usable as `baseRevision`. */
	readonly revision: number;
	/** The fields that are set, without defaults. */
	readonly spec: JsonObject;
	/** Owner and revision of each field that is set, by field path. */
	readonly fields: Readonly<Record<string, {readonly owner: string; readonly revision: number}>>;
};

/**
 * Converts a stored record to its view.
 *
 * @param record - The record.
 * @returns The view, without removed fields.
 */
export function viewOf(record: StoredRecord): RecordView {
	const fields = Object.entries(record.fields)
		.filter(([, {value}]) => value !== undefined)
		.map(([field, {owner, revision}]) => [field, {owner, revision}]);
	return {
		kind: record.kind,
		name: record.name,
		schemaVersion: record.schemaVersion,
		revision: record.revision,
		spec: specOf(record),
		fields: Object.fromEntries(fields) as RecordView['fields'],
	};
}
