import {unflattenSpec} from './fields.js';
import type {JsonObject, RecordKind} from './record-document.js';

/** State of one field. */
export type FieldState = {
	/** Absent when the field was removed; the owner stays, so that an old file cannot bring the field back unnoticed. */
	readonly value?: unknown;
	/** Operator who last set, took or removed the field. */
	readonly owner: string;
	/** Revision in which that happened. */
	readonly revision: number;
};

/**
 * The row `records/{kind}/{name}`. A withdrawn record stays as a row whose fields are all removed,
 * so that re-applying its old file is a conflict with the operator who withdrew it.
 */
export type StoredRecord = {
	readonly kind: RecordKind;
	readonly name: string;
	/** Newest schema version that was ever submitted. */
	readonly schemaVersion: number;
	/** Revision of the last change. */
	readonly revision: number;
	readonly withdrawn: boolean;
	readonly fields: Readonly<Record<string, FieldState>>;
	readonly writeId: string;
};

/**
 * Reads the spec of a stored record.
 *
 * @param record - The record.
 * @returns The fields that are set, without defaults.
 */
export function specOf(record: Pick<StoredRecord, 'fields'>): JsonObject {
	return unflattenSpec(Object.entries(record.fields)
		.filter(([, state]) => state.value !== undefined)
		.map(([path, state]) => [path, state.value]));
}
