import {checkPlan} from './check-plan.js';
import {refusalOf, type ConfigRefusal} from './config-error.js';
import type {FieldChange} from './config-rows.js';
import type {GuaranteeCheck} from './cross-checks.js';
import type {LoadedConfig, RecordRow} from './load-config.js';
import {planSubmit} from './plan-change.js';
import {formatRecordId, type RecordId} from './record-document.js';
import {validateRecord} from './validate-record.js';

/** Effect that a submit of one document would have. */
export type RecordDiff = {
	/** Position of the document in the request, from 0. */
	readonly index: number;
	/** Absent when the document is not valid. */
	readonly record?: RecordId;
	readonly action: 'create' | 'amend' | 'none' | 'refuse';
	readonly changes: readonly FieldChange[];
	/** Why the submit would be refused. */
	readonly refusal?: ConfigRefusal;
};

/**
 * Computes the effect of submits, each applied after the accepted ones before it.
 *
 * @param config - The current configuration.
 * @param documents - Decoded documents.
 * @param operator - The operator who would submit.
 * @param checkGuarantees - Checks whether the guarantees pack jointly.
 * @returns One diff for each document, in order.
 */
export function diffDocuments(config: LoadedConfig, documents: readonly unknown[], operator: string, checkGuarantees: GuaranteeCheck): readonly RecordDiff[] {
	const rows = new Map<string, RecordRow>(config.rows);
	return documents.map((document, index): RecordDiff => {
		const valid = validateRecord(document);
		if (!valid.ok) {
			return {
				index, action: 'refuse', changes: [], refusal: refusalOf({kind: 'invalid_record', problems: valid.error}),
			};
		}

		const record = {kind: valid.value.kind, name: valid.value.name};
		const current = rows.get(formatRecordId(record));
		const plan = planSubmit(current?.record, valid.value, {operator}, config.head.revision + 1);
		const checked = checkPlan({...config, rows}, plan, checkGuarantees);
		if (!checked.ok) {
			return {
				index, record, action: 'refuse', changes: plan.changes, refusal: refusalOf(checked.error),
			};
		}

		rows.set(formatRecordId(record), {record: {...plan.after, writeId: ''}, version: current?.version ?? 0});
		const action = current && !current.record.withdrawn ? 'amend' : 'create';
		return {
			index, record, action: plan.changes.length === 0 ? 'none' : action, changes: plan.changes,
		};
	});
}
