import {unflattenSpec} from './fields.js';
import type {JsonObject, RecordKind} from './record-document.js';

/** State of one field. */
export type FieldState = {
	/** Absent when the field was removed; the owner is kept, so that submitting an old file again causes a conflict. */
	readonly value?: unknown;
	/** Operator who last set, took over or removed the field. */
	readonly owner: string;
	/** Revision of the field's last change. */
	readonly revision: number;
};

/**
 * The row `records/{kind}/{name}`. The row of a withdrawn record is kept with all its fields removed,
 * so that submitting an old file again conflicts with the operator who withdrew the record.
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
 * Builds the spec of a stored record.
 *
 * @param record - The record.
 * @returns The fields that are set, without defaults.
 */
export function specOf(record: Pick<StoredRecord, 'fields'>): JsonObject {
	return unflattenSpec(Object.entries(record.fields)
		.filter(([, state]) => state.value !== undefined)
		.map(([path, state]) => [path, state.value]));
}
