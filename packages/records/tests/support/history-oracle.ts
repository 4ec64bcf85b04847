import {isDeepStrictEqual} from 'node:util';
import type {Result} from '@amaranthsail/core';
import {
	flattenSpec, formatRecordId, type Accepted, type ConfigError, type FieldState, type LogRow, type RecordDocument, type RecordId,
} from '@amaranthsail/records';

/** What an operator asked for. */
export type Operation = {
	readonly operator: string;
	readonly takeOwnership: readonly string[];
	/** Absent for a withdrawal. */
	readonly document?: RecordDocument;
	readonly record: RecordId;
};

/** What an operator was told. */
export type Told = {readonly operation: Operation; readonly result: Result<Accepted, ConfigError>};

type FieldModel = {readonly value: unknown; readonly owner: string};

/**
 * Replays the log against what operators asked for and were told. It knows nothing of plans or merges: it only checks
 * that each change was asked for by an accepted submit that named or owned the field, and that none is missing.
 */
export class HistoryOracle {
	/** Values by `kind/name`, then field path, after each revision. */
	readonly valuesByRevision: Array<ReadonlyMap<string, unknown>> = [new Map()];
	readonly #fields = new Map<string, FieldModel>();

	/**
	 * Replays the log.
	 *
	 * @param log - All rows in order.
	 * @param told - All operations and their results.
	 * @returns Sentences about what is wrong; empty when all is well.
	 */
	replay(log: readonly LogRow[], told: readonly Told[]): readonly string[] {
		const faults: string[] = [];
		const accepted = told.filter(({result}) => result.ok && result.value.changed);
		for (const [index, row] of log.entries()) {
			if (row.revision !== index + 1) {
				faults.push(`log row ${index + 1} has revision ${row.revision}`);
			}

			const operation = operationOf(row, told);
			faults.push(...(operation ? this.#applyRow(row, operation) : [`revision ${row.revision} was accepted without being reported`]));
			this.valuesByRevision.push(new Map([...this.#fields].map(([key, {value}]) => [key, value])));
		}

		const revisions = accepted.map(({result}) => result.ok ? result.value.revision : 0);
		const missing = revisions.filter(revision => !log.some(row => row.revision === revision));
		if (missing.length > 0 || new Set(revisions).size < revisions.length) {
			faults.push(`reported revisions ${revisions.join(', ')} do not match the log`);
		}

		return faults;
	}

	#applyRow(row: LogRow, operation: Operation): readonly string[] {
		const faults: string[] = [];
		const named = new Map(operation.document ? flattenSpec(operation.document.spec) : []);
		for (const [field, state] of Object.entries(row.after.fields)) {
			const key = `${formatRecordId(row.record)}:${field}`;
			const before = this.#fields.get(key);
			const isChanged = !isDeepStrictEqual(before?.value, state.value) || before?.owner !== state.owner;
			if (isChanged) {
				faults.push(...faultsOf(`revision ${row.revision}, ${key}`, {field, state, before, named, operation}));
			}

			this.#fields.set(key, {value: state.value, owner: state.owner});
		}

		// Whatever the document named is in force after its revision.
		for (const [field, value] of named) {
			if (!isDeepStrictEqual(row.after.fields[field]?.value, value)) {
				faults.push(`revision ${row.revision} does not have ${field} as submitted`);
			}
		}

		const lost = [...this.#fields.keys()].filter(key => key.startsWith(`${formatRecordId(row.record)}:`) && !Object.hasOwn(row.after.fields, key.split(':')[1]!));
		return [...faults, ...lost.map(key => `revision ${row.revision} lost ${key}`)];
	}
}

type Change = {
	readonly field: string;
	readonly state: FieldState;
	readonly before: FieldModel | undefined;
	readonly named: ReadonlyMap<string, unknown>;
	readonly operation: Operation;
};

function faultsOf(title: string, {field, state, before, named, operation}: Change): readonly string[] {
	const isOwned = before === undefined || before.owner === operation.operator;
	const isTaken = operation.takeOwnership.includes(field);
	const isNamed = named.has(field) || isTaken || operation.document === undefined;
	return [
		...(isOwned || isTaken ? [] : [`${title}: changed by ${operation.operator} against owner ${before.owner}`]),
		...(isOwned || isNamed ? [] : [`${title}: changed without being named or owned`]),
		...(state.owner === operation.operator ? [] : [`${title}: has owner ${state.owner} after a change by ${operation.operator}`]),
		...(operation.document?.schemaVersion === 1 && ['adjacency', 'survivesRackLoss'].includes(field) && !isDeepStrictEqual(before?.value, state.value)
			? [`${title}: changed by a version 1 writer`]
			: []),
	];
}

function operationOf(row: LogRow, told: readonly Told[]): Operation | undefined {
	const candidates = told.filter(({operation, result}) => operation.operator === row.operator
		&& formatRecordId(operation.record) === formatRecordId(row.record)
		&& (result.ok ? result.value.changed && result.value.revision === row.revision : result.error.kind === 'outcome_unknown' && result.error.writeId === row.writeId));
	return candidates.length === 1 ? candidates[0]!.operation : undefined;
}
