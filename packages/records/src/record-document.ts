import type {ClientAccountSpec} from './schemas/client-account.js';
import type {FailureDomainSpec} from './schemas/failure-domain.js';
import type {GuaranteeSpec} from './schemas/guarantee.js';
import type {PolicySpec} from './schemas/policy.js';
import type {ServiceSpec} from './schemas/service.js';

/** Kinds of records, ordered so that each kind refers only to earlier ones. */
export const RECORD_KINDS = ['FailureDomain', 'Service', 'ClientAccount', 'Guarantee', 'Policy'] as const;

/** One of {@link RECORD_KINDS}. */
export type RecordKind = (typeof RECORD_KINDS)[number];

/** Spec of each kind in its newest schema version. */
export type RecordSpecs = {
	readonly FailureDomain: FailureDomainSpec;
	readonly Service: ServiceSpec;
	readonly ClientAccount: ClientAccountSpec;
	readonly Guarantee: GuaranteeSpec;
	readonly Policy: PolicySpec;
};

/** A JSON object within a record. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** A valid document as an operator wrote it, before defaults are applied. */
export type RecordDocument = {
	readonly schemaVersion: number;
	readonly kind: RecordKind;
	readonly name: string;
	readonly spec: JsonObject;
};

/** Identifies a record. */
export type RecordId = {readonly kind: RecordKind; readonly name: string};

/**
 * Checks whether a value is the name of a kind.
 *
 * @param text - Any value.
 * @returns True for one of {@link RECORD_KINDS}.
 */
export function isRecordKind(text: unknown): text is RecordKind {
	return RECORD_KINDS.includes(text as RecordKind);
}

/**
 * Formats the id of a record, which is also its row key.
 *
 * @param id - The record.
 * @returns `kind/name`.
 */
export function formatRecordId(id: RecordId): string {
	return `${id.kind}/${id.name}`;
}
