import {err, ok, type Result} from '@amaranthsail/core';
import type {DeclaredRack, Guarantee} from '@amaranthsail/scheduler';
import type {ConfigError, MissingReference} from './config-error.js';
import type {ConfigSnapshot, TypedRecords} from './config-snapshot.js';
import type {RecordId, RecordKind} from './record-document.js';
import {declaredRacksOf, guaranteesOf} from './scheduler-config.js';

/**
 * Checks whether guarantees pack jointly on racks.
 *
 * @returns Undefined when they do, otherwise the reason, in one sentence.
 */
export type GuaranteeCheck = (racks: readonly DeclaredRack[], guarantees: readonly Guarantee[]) => string | undefined;

/**
 * Checks a changed record against all other records.
 *
 * @param after - The configuration as it would be after the change.
 * @param changed - The changed record.
 * @param checkGuarantees - Checks whether the guarantees pack jointly.
 * @returns Nothing, or the first error that the change would cause.
 */
export function checkAcrossRecords(after: ConfigSnapshot, changed: RecordId, checkGuarantees: GuaranteeCheck): Result<void, ConfigError> {
	const {records} = after;
	const exists = records[changed.kind].has(changed.name);
	if (!exists) {
		const referencedBy = referrersOf(records, changed);
		if (referencedBy.length > 0) {
			return err({kind: 'still_referenced', record: changed, referencedBy});
		}
	}

	const references = exists ? referencesOf(records, changed).filter(({kind, name}) => !records[kind].has(name)) : [];
	if (references.length > 0) {
		return err({kind: 'missing_reference', record: changed, references});
	}

	const ambiguous = changed.kind === 'Policy' ? findAmbiguousPolicies(records) : undefined;
	return ambiguous ? err(ambiguous) : checkPacking(after, changed, checkGuarantees);
}

/**
 * Lists the records that a record refers to.
 *
 * @param records - All records.
 * @param id - The record.
 * @returns Its references, including those to records that do not exist.
 */
function referencesOf(records: TypedRecords, id: RecordId): readonly MissingReference[] {
	const referencesTo = (field: string, kind: RecordKind, names: readonly string[] | undefined): readonly MissingReference[] =>
		(names ?? []).map(name => ({field, kind, name}));
	switch (id.kind) {
		case 'Guarantee': {
			const spec = records.Guarantee.get(id.name);
			return spec
				? [...referencesTo('account', 'ClientAccount', [spec.account]), ...referencesTo('failureDomain', 'FailureDomain', [spec.failureDomain])]
				: [];
		}

		case 'ClientAccount': {
			return referencesTo('services', 'Service', records.ClientAccount.get(id.name)?.services);
		}

		case 'Policy': {
			return referencesTo('failureDomains', 'FailureDomain', records.Policy.get(id.name)?.failureDomains);
		}

		case 'FailureDomain':
		case 'Service': {
			return [];
		}
	}
}

function referrersOf(records: TypedRecords, target: RecordId): readonly RecordId[] {
	const candidates = (['Guarantee', 'ClientAccount', 'Policy'] as const)
		.flatMap(kind => [...records[kind].keys()].map(name => ({kind, name})));
	return candidates.filter(id => referencesOf(records, id).some(({kind, name}) => kind === target.kind && name === target.name));
}

function findAmbiguousPolicies(records: TypedRecords): ConfigError | undefined {
	const policiesByFailureDomain = new Map<string | undefined, string[]>();
	for (const [name, {failureDomains}] of records.Policy) {
		for (const failureDomain of failureDomains ?? [undefined]) {
			policiesByFailureDomain.set(failureDomain, [...policiesByFailureDomain.get(failureDomain) ?? [], name]);
		}
	}

	const ambiguous = [...policiesByFailureDomain].find(([, policies]) => new Set(policies).size > 1);
	return ambiguous && {kind: 'ambiguous_policy', failureDomain: ambiguous[0], policies: ambiguous[1]};
}

function checkPacking(after: ConfigSnapshot, changed: RecordId, checkGuarantees: GuaranteeCheck): Result<void, ConfigError> {
	// A change can move a guarantee to another failure domain, so the new one is checked. Removing a guarantee only frees capacity.
	const failureDomain = changed.kind === 'FailureDomain'
		? changed.name
		: changed.kind === 'Guarantee' && after.records.Guarantee.get(changed.name)?.failureDomain;
	if (!failureDomain || !after.records.FailureDomain.has(failureDomain)) {
		return ok(undefined);
	}

	const reason = checkGuarantees(declaredRacksOf(after, failureDomain), guaranteesOf(after, failureDomain));
	return reason === undefined ? ok(undefined) : err({kind: 'guarantees_do_not_pack', failureDomain, reason});
}
