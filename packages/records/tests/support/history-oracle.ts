import {isDeepStrictEqual} from 'node:util';
import type {Result} from '@amaranthsail/core';
import {
	flattenSpec, formatRecordId, type AcceptedChange, type ConfigError, type FieldState, type LogRow, type RecordDocument, type RecordId,
} from '@amaranthsail/records';

/** An operation that an operator requested. */
export type Operation = {
	readonly operator: string;
	readonly takeOwnership: readonly string[];
	/** Absent for a withdrawal. */
	readonly document?: RecordDocument;
	readonly record: RecordId;
};

/** An operation and the result that was reported to the operator. */
export type ReportedResult = {readonly operation: Operation; readonly result: Result<AcceptedChange, ConfigError>};

type ExpectedField = {readonly value: unknown; readonly owner: string};

/**
 * Compares the log with the operations that operators requested and the results reported to them. It does not repeat the planning
 * or merging: it only checks that an accepted operation requested each change and named or owned the field, and that no change is missing.
 */
export class HistoryOracle {
	/** Values after each revision, by `kind/name:field`. */
	readonly valuesByRevision: Array<ReadonlyMap<string, unknown>> = [new Map()];
	readonly #fields = new Map<string, ExpectedField>();

	/**
	 * Replays the log.
	 *
	 * @param log - All rows in order.
	 * @param reportedResults - All operations and their results.
	 * @returns One message for each violation; empty when there is none.
	 */
	replay(log: readonly LogRow[], reportedResults: readonly ReportedResult[]): readonly string[] {
		const violations: string[] = [];
		const acceptedResults = reportedResults.filter(({result}) => result.ok && result.value.changed);
		for (const [index, row] of log.entries()) {
			if (row.revision !== index + 1) {
				violations.push(`log row ${index + 1} has revision ${row.revision}`);
			}

			const operation = operationOf(row, reportedResults);
			violations.push(...(operation ? this.#applyRow(row, operation) : [`revision ${row.revision} was accepted without being reported`]));
			this.valuesByRevision.push(new Map([...this.#fields].map(([key, {value}]) => [key, value])));
		}

		const revisions = acceptedResults.map(({result}) => result.ok ? result.value.revision : 0);
		const missingRevisions = revisions.filter(revision => !log.some(row => row.revision === revision));
		if (missingRevisions.length > 0 || new Set(revisions).size < revisions.length) {
			violations.push(`reported revisions ${revisions.join(', ')} do not match the log`);
		}

		return violations;
	}

	#applyRow(row: LogRow, operation: Operation): readonly string[] {
		const violations: string[] = [];
		const submittedValues = new Map(operation.document ? flattenSpec(operation.document.spec) : []);
		for (const [field, state] of Object.entries(row.after.fields)) {
			const key = `${formatRecordId(row.record)}:${field}`;
			const before = this.#fields.get(key);
			const isChanged = !isDeepStrictEqual(before?.value, state.value) || before?.owner !== state.owner;
			if (isChanged) {
				violations.push(...findViolations(`revision ${row.revision}, ${key}`, {field, state, before, submittedValues, operation}));
			}

			this.#fields.set(key, {value: state.value, owner: state.owner});
		}

		// All values of the document must be stored at its revision.
		for (const [field, value] of submittedValues) {
			if (!isDeepStrictEqual(row.after.fields[field]?.value, value)) {
				violations.push(`revision ${row.revision} does not have ${field} as submitted`);
			}
		}

		const missingKeys = [...this.#fields.keys()].filter(key => key.startsWith(`${formatRecordId(row.record)}:`) && !Object.hasOwn(row.after.fields, key.split(':')[1]!));
		return [...violations, ...missingKeys.map(key => `revision ${row.revision} lost ${key}`)];
	}
}

type Change = {
	readonly field: string;
	readonly state: FieldState;
	readonly before: ExpectedField | undefined;
	readonly submittedValues: ReadonlyMap<string, unknown>;
	readonly operation: Operation;
};

function findViolations(title: string, {field, state, before, submittedValues, operation}: Change): readonly string[] {
	const isOwned = before === undefined || before.owner === operation.operator;
	const isTakenOver = operation.takeOwnership.includes(field);
	const isNamed = submittedValues.has(field) || isTakenOver || operation.document === undefined;
	return [
		...(isOwned || isTakenOver ? [] : [`${title}: changed by ${operation.operator} against owner ${before.owner}`]),
		...(isOwned || isNamed ? [] : [`${title}: changed without being named or owned`]),
		...(state.owner === operation.operator ? [] : [`${title}: has owner ${state.owner} after a change by ${operation.operator}`]),
		...(operation.document?.schemaVersion === 1 && ['adjacency', 'survivesRackLoss'].includes(field) && !isDeepStrictEqual(before?.value, state.value)
			? [`${title}: changed by a version 1 writer`]
			: []),
	];
}

function operationOf(row: LogRow, reportedResults: readonly ReportedResult[]): Operation | undefined {
	const candidates = reportedResults.filter(({operation, result}) => operation.operator === row.operator
		&& formatRecordId(operation.record) === formatRecordId(row.record)
		&& (result.ok ? result.value.changed && result.value.revision === row.revision : result.error.kind === 'outcome_unknown' && result.error.writeId === row.writeId));
	return candidates.length === 1 ? candidates[0]!.operation : undefined;
}
