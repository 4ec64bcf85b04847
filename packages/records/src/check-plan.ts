import {err, ok, type Result} from '@amaranthsail/core';
import type {ConfigError} from './config-error.js';
import {buildSnapshot} from './config-snapshot.js';
import {checkAcrossRecords, type GuaranteeCheck} from './cross-checks.js';
import type {LoadedConfig} from './load-config.js';
import type {ChangePlan} from './plan-change.js';
import {formatRecordId} from './record-document.js';
import {specOf} from './stored-record.js';
import {readNewestSpec} from './validate-record.js';

/**
 * Checks a plan for conflicts, validates the merged record, and checks it against the other records.
 * A plan without changes passes.
 *
 * @param config - The configuration before the change.
 * @param plan - The plan.
 * @param checkGuarantees - Checks whether the guarantees pack jointly.
 * @returns Nothing, or the first error.
 */
export function checkPlan(config: LoadedConfig, plan: ChangePlan, checkGuarantees: GuaranteeCheck): Result<void, ConfigError> {
	const {conflicts, changes, after} = plan;
	const id = {kind: after.kind, name: after.name};
	if (conflicts.length > 0) {
		return err({kind: 'field_conflict', record: id, conflicts});
	}

	if (changes.length === 0) {
		return ok(undefined);
	}

	const mergedSpec = after.withdrawn ? ok(undefined) : readNewestSpec(after.kind, specOf(after));
	if (!mergedSpec.ok) {
		return err({kind: 'invalid_record', problems: mergedSpec.error.map(({path, expectation}) => ({path, expectation: `${expectation}, after merging with fields of other operators`}))});
	}

	return checkAcrossRecords(buildSnapshot(after.revision, applyPlan(config, plan).values()), id, checkGuarantees);
}

/**
 * Applies a plan to a copy of the records in memory.
 *
 * @param config - The configuration before the change.
 * @param plan - The plan.
 * @returns All records after the change, by `kind/name`.
 */
export function applyPlan(config: LoadedConfig, plan: ChangePlan): ReadonlyMap<string, ChangePlan['after']> {
	const records = new Map<string, ChangePlan['after']>([...config.rows].map(([key, {record}]) => [key, record]));
	return records.set(formatRecordId(plan.after), plan.after);
}
