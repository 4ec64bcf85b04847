import {isDeepStrictEqual} from 'node:util';
import type {FieldConflict} from './config-error.js';
import type {FieldChange} from './config-rows.js';
import {flattenSpec} from './fields.js';
import type {RecordDocument} from './record-document.js';
import {covers, schemaVersionsOf, unknownFieldsOf} from './schema-versions.js';
import {specOf, type FieldState, type StoredRecord} from './stored-record.js';

/** Who changes a record and on what grounds. */
export type ChangeTerms = {
	readonly operator: string;
	/** Revision that the operator saw; absent means that no base is claimed. */
	readonly baseRevision?: number;
	/** Fields of other operators that may be changed; a path covers what lies under it. */
	readonly takeOwnership?: readonly string[];
};

/** What a submit or withdrawal would do to a record. */
export type ChangePlan = {
	readonly conflicts: readonly FieldConflict[];
	readonly changes: readonly FieldChange[];
	/** The record after the change, without `writeId`. Meaningful only without conflicts. */
	readonly after: Omit<StoredRecord, 'writeId'>;
};

/** Value that a change gives a field; undefined removes it. */
type Target = {readonly field: string; readonly value: unknown};

/**
 * Plans a submit. A field that the document does not name is removed only when the operator owns it
 * or takes it over and the document's schema version knows it; otherwise it stays as it is.
 *
 * @param current - The stored record, withdrawn or not; undefined when there is none.
 * @param document - The valid document.
 * @param terms - Operator, base revision and fields taken over.
 * @param revision - Revision that the change would get.
 * @returns Conflicts and changes; neither means that the submit changes nothing.
 */
export function planSubmit(current: StoredRecord | undefined, document: RecordDocument, terms: ChangeTerms, revision: number): ChangePlan {
	const submitted = flattenSpec(document.spec);
	const {schema} = schemaVersionsOf(document.kind).find(({schemaVersion}) => schemaVersion === document.schemaVersion)!;
	const unknown = unknownFieldsOf(schema, current ? specOf(current) : {});
	const isRemoved = ([field, state]: readonly [string, FieldState]): boolean => state.value !== undefined
		&& !submitted.has(field)
		&& !unknown.some(path => covers(path, field))
		&& (state.owner === terms.operator || isTaken(field, terms));
	const targets: Target[] = [
		...[...submitted].map(([field, value]) => ({field, value})),
		...Object.entries(current?.fields ?? {}).filter(entry => isRemoved(entry)).map(([field]) => ({field, value: undefined})),
	];
	const schemaVersion = Math.max(document.schemaVersion, current?.schemaVersion ?? 0);
	return plan({
		kind: document.kind, name: document.name, schemaVersion, withdrawn: false, revision, fields: current?.fields ?? {},
	}, targets, terms);
}

/**
 * Plans a withdrawal: every field that is set is removed.
 *
 * @param current - The stored record.
 * @param terms - Operator, base revision and fields taken over.
 * @param revision - Revision that the change would get.
 * @returns Conflicts and changes.
 */
export function planWithdraw(current: StoredRecord, terms: ChangeTerms, revision: number): ChangePlan {
	const targets = Object.entries(current.fields)
		.filter(([, state]) => state.value !== undefined)
		.map(([field]) => ({field, value: undefined}));
	return plan({
		kind: current.kind, name: current.name, schemaVersion: current.schemaVersion, withdrawn: true, revision, fields: current.fields,
	}, targets, terms);
}

function isTaken(field: string, terms: ChangeTerms): boolean {
	return terms.takeOwnership?.some(path => covers(path, field)) ?? false;
}

function plan(base: ChangePlan['after'], targets: readonly Target[], terms: ChangeTerms): ChangePlan {
	const fields: Record<string, FieldState> = {...base.fields};
	const conflicts: FieldConflict[] = [];
	const changes: FieldChange[] = [];
	for (const {field, value} of targets) {
		const state = fields[field];
		const isSame = state !== undefined && isDeepStrictEqual(state.value, value);
		if (isSame && (state.owner === terms.operator || !isTaken(field, terms))) {
			continue;
		}

		if (state && !isSame && isConflict(field, state, terms)) {
			conflicts.push({
				field, owner: state.owner, currentValue: state.value, submittedValue: value,
			});
			continue;
		}

		changes.push({
			field, from: state?.value, to: value, previousOwner: state?.owner,
		});
		fields[field] = {value, owner: terms.operator, revision: base.revision};
	}

	return {conflicts, changes, after: {...base, fields}};
}

function isConflict(field: string, state: FieldState, terms: ChangeTerms): boolean {
	const isOutdated = terms.baseRevision !== undefined && state.revision > terms.baseRevision;
	return isOutdated || (state.owner !== terms.operator && !isTaken(field, terms));
}
