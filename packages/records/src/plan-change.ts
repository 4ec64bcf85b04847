import {isDeepStrictEqual} from 'node:util';
import type {FieldConflict} from './config-error.js';
import type {FieldChange} from './config-rows.js';
import {flattenSpec} from './fields.js';
import type {RecordDocument} from './record-document.js';
import {covers, schemaVersionsOf, unknownFieldsOf} from './schema-versions.js';
import {specOf, type FieldState, type StoredRecord} from './stored-record.js';

/** Operator, base revision and ownership takeovers of a change. */
export type ChangeOptions = {
	readonly operator: string;
	/** Revision that the operator based the change on; fields changed after it conflict. Not checked when absent. */
	readonly baseRevision?: number;
	/** Fields that may be taken over from other operators; a path covers all fields under it. */
	readonly takeOwnership?: readonly string[];
};

/** The conflicts and changes of a submit or withdrawal. */
export type ChangePlan = {
	readonly conflicts: readonly FieldConflict[];
	readonly changes: readonly FieldChange[];
	/** The record after the change, without `writeId`. Meaningful only without conflicts. */
	readonly after: Omit<StoredRecord, 'writeId'>;
};

/** New value of a field; undefined removes the field. */
type FieldUpdate = {readonly field: string; readonly value: unknown};

/**
 * Plans a submit. A field that the document does not contain is removed only if the document's schema version defines it
 * and the operator owns it or takes it over; otherwise it is kept.
 *
 * @param current - The stored record, withdrawn or not; undefined when there is none.
 * @param document - The validated document.
 * @param options - Operator, base revision and fields taken over.
 * @param revision - Revision that the change would get.
 * @returns Conflicts and changes; both are empty when the submit changes nothing.
 */
export function planSubmit(current: StoredRecord | undefined, document: RecordDocument, options: ChangeOptions, revision: number): ChangePlan {
	const submitted = flattenSpec(document.spec);
	const {schema} = schemaVersionsOf(document.kind).find(({schemaVersion}) => schemaVersion === document.schemaVersion)!;
	const unknownPaths = unknownFieldsOf(schema, current ? specOf(current) : {});
	const isRemoved = ([field, state]: readonly [string, FieldState]): boolean => state.value !== undefined
		&& !submitted.has(field)
		&& !unknownPaths.some(path => covers(path, field))
		&& (state.owner === options.operator || isTakenOver(field, options));
	const updates: FieldUpdate[] = [
		...[...submitted].map(([field, value]) => ({field, value})),
		...Object.entries(current?.fields ?? {}).filter(entry => isRemoved(entry)).map(([field]) => ({field, value: undefined})),
	];
	const schemaVersion = Math.max(document.schemaVersion, current?.schemaVersion ?? 0);
	return planUpdates({
		kind: document.kind, name: document.name, schemaVersion, withdrawn: false, revision, fields: current?.fields ?? {},
	}, updates, options);
}

/**
 * Plans a withdrawal, which removes every field that is set.
 *
 * @param current - The stored record.
 * @param options - Operator, base revision and fields taken over.
 * @param revision - Revision that the change would get.
 * @returns Conflicts and changes.
 */
export function planWithdraw(current: StoredRecord, options: ChangeOptions, revision: number): ChangePlan {
	const updates = Object.entries(current.fields)
		.filter(([, state]) => state.value !== undefined)
		.map(([field]) => ({field, value: undefined}));
	return planUpdates({
		kind: current.kind, name: current.name, schemaVersion: current.schemaVersion, withdrawn: true, revision, fields: current.fields,
	}, updates, options);
}

function isTakenOver(field: string, options: ChangeOptions): boolean {
	return options.takeOwnership?.some(path => covers(path, field)) ?? false;
}

function planUpdates(base: ChangePlan['after'], updates: readonly FieldUpdate[], options: ChangeOptions): ChangePlan {
	const fields: Record<string, FieldState> = {...base.fields};
	const conflicts: FieldConflict[] = [];
	const changes: FieldChange[] = [];
	for (const {field, value} of updates) {
		const state = fields[field];
		const isSameValue = state !== undefined && isDeepStrictEqual(state.value, value);
		if (isSameValue && (state.owner === options.operator || !isTakenOver(field, options))) {
			continue;
		}

		if (state && !isSameValue && isConflict(field, state, options)) {
			conflicts.push({
				field, owner: state.owner, currentValue: state.value, submittedValue: value,
			});
			continue;
		}

		changes.push({
			field, from: state?.value, to: value, previousOwner: state?.owner,
		});
		fields[field] = {value, owner: options.operator, revision: base.revision};
	}

	return {conflicts, changes, after: {...base, fields}};
}

function isConflict(field: string, state: FieldState, options: ChangeOptions): boolean {
	const isOutdated = options.baseRevision !== undefined && state.revision > options.baseRevision;
	return isOutdated || (state.owner !== options.operator && !isTakenOver(field, options));
}
