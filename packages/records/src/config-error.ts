import {type RecordId, type RecordKind, formatRecordId} from './record-document.js';
import {formatProblems, type RecordProblem} from './record-problem.js';

/** A field that the submit or withdrawal may not change. */
export type FieldConflict = {
	readonly field: string;
	readonly owner: string;
	/** Absent when the field is not set. */
	readonly currentValue?: unknown;
	/** Absent when the submit would remove the field. */
	readonly submittedValue?: unknown;
};

/** A reference to a record that does not exist. */
export type MissingReference = {readonly field: string; readonly kind: RecordKind; readonly name: string};

/** Errors of the configuration store; `kind` is the stable code of the API. */
export type ConfigError
	/** The document, or the record after the change, is invalid. */
	= | {readonly kind: 'invalid_record'; readonly problems: readonly RecordProblem[]}
	/** Fields are owned by other operators or were changed after the base revision. */
		| {readonly kind: 'field_conflict'; readonly record: RecordId; readonly conflicts: readonly FieldConflict[]}
		| {readonly kind: 'missing_reference'; readonly record: RecordId; readonly references: readonly MissingReference[]}
		| {readonly kind: 'still_referenced'; readonly record: RecordId; readonly referencedBy: readonly RecordId[]}
		| {readonly kind: 'guarantees_do_not_pack'; readonly failureDomain: string; readonly reason: string}
	/** Two policies apply to the same failure domain or are both the default. */
		| {readonly kind: 'ambiguous_policy'; readonly failureDomain?: string; readonly policies: readonly string[]}
		| {readonly kind: 'record_not_found'; readonly record: RecordId}
	/** Another change was accepted first in every attempt; nothing was written. */
		| {readonly kind: 'contention'; readonly attempts: number}
	/** The table service refused or could not be reached; nothing was written. */
		| {readonly kind: 'store_unavailable'; readonly message: string}
	/** The change may have been accepted as `revision`; a later read of the log shows whether it was. */
		| {readonly kind: 'outcome_unknown'; readonly revision: number; readonly writeId: string; readonly message: string};

/** Codes of {@link ConfigError}. */
export type ConfigErrorCode = ConfigError['kind'];

const RETRYABLE_CODES: ReadonlySet<ConfigErrorCode> = new Set(['contention', 'store_unavailable', 'outcome_unknown']);

/** A refusal as the API returns it. */
export type ConfigRefusal = {
	readonly code: ConfigErrorCode;
	readonly message: string;
	readonly retryable: boolean;
	readonly outcome: 'not_run' | 'unknown';
	/** Present for `field_conflict`. */
	readonly conflicts?: readonly FieldConflict[];
	/** Present for `invalid_record`. */
	readonly problems?: readonly RecordProblem[];
};

/**
 * Converts an error into the refusal that the API returns.
 *
 * @param error - The error.
 * @returns Code, message, and whether a retry can succeed.
 */
export function refusalOf(error: ConfigError): ConfigRefusal {
	return {
		code: error.kind,
		message: messageOf(error),
		retryable: RETRYABLE_CODES.has(error.kind),
		outcome: error.kind === 'outcome_unknown' ? 'unknown' : 'not_run',
		...(error.kind === 'field_conflict' ? {conflicts: error.conflicts} : {}),
		...(error.kind === 'invalid_record' ? {problems: error.problems} : {}),
	};
}

function messageOf(error: ConfigError): string {
	switch (error.kind) {
		case 'invalid_record': {
			return formatProblems(error.problems);
		}

		case 'field_conflict': {
			const fields = error.conflicts.map(({field, owner}) => `${field} (${owner})`).join(', ');
			return `${formatRecordId(error.record)}: fields changed by other operators or since the base revision: ${fields}`;
		}

		case 'missing_reference': {
			const missing = error.references.map(reference => `${reference.field} names ${formatRecordId(reference)}`).join(', ');
			return `${formatRecordId(error.record)}: referenced records do not exist: ${missing}`;
		}

		case 'still_referenced': {
			return `${formatRecordId(error.record)} is referenced by ${error.referencedBy.map(id => formatRecordId(id)).join(', ')}`;
		}

		case 'guarantees_do_not_pack': {
			return `the guarantees of failure domain ${error.failureDomain} do not pack on its declared racks: ${error.reason}`;
		}

		case 'ambiguous_policy': {
			const target = error.failureDomain === undefined ? 'are both the default' : `both apply to failure domain ${error.failureDomain}`;
			return `policies ${error.policies.join(', ')} ${target}`;
		}

		case 'record_not_found': {
			return `${formatRecordId(error.record)} does not exist`;
		}

		case 'contention': {
			return `other changes were accepted first in each of ${error.attempts} attempts; submit again`;
		}

		case 'store_unavailable': {
			return error.message;
		}

		case 'outcome_unknown': {
			return `the change may have been accepted as revision ${error.revision}; submit again to find out: ${error.message}`;
		}
	}
}
