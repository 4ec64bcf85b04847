import {setTimeout} from 'node:timers/promises';
import {err, newId, ok, type Clock, type Result} from '@amaranthsail/core';
import type {CommitOptions, TableStore} from '@amaranthsail/backing-services';
import PQueue from 'p-queue';
import {commitChange, formatTableError, type CommitError} from './commit-change.js';
import type {ConfigError} from './config-error.js';
import {RECORDS_TABLE, type LogRow} from './config-rows.js';
import {checkPlan} from './check-plan.js';
import type {GuaranteeCheck} from './cross-checks.js';
import {diffDocuments, type RecordDiff} from './diff-documents.js';
import {loadConfig, type LoadedConfig, type LoadError} from './load-config.js';
import {planSubmit, planWithdraw, type ChangePlan, type ChangeOptions} from './plan-change.js';
import {formatRecordId, type RecordDocument, type RecordId, type RecordKind} from './record-document.js';
import {viewOf, type RecordView} from './record-view.js';
import type {StoredRecord} from './stored-record.js';
import {validateRecord} from './validate-record.js';

/** Attempts to check and write a change; a further attempt follows when another change was accepted first. */
const MAX_CHANGE_ATTEMPTS = 10;

/** Dependencies of a {@link ConfigStore}. */
export type ConfigStoreOptions = {
	readonly store: TableStore;
	/** Clock of the retries; its wall-clock time is stored with each change, for display only. */
	readonly clock: Clock;
	readonly checkGuarantees: GuaranteeCheck;
	/** Waits for a number of milliseconds between retries; a real timer when absent. */
	readonly wait?: (delayMs: number) => Promise<void>;
	/** Returns a number from 0 up to but not including 1, for the jitter of the waits; `Math.random` when absent. */
	readonly random?: () => number;
};

/** A record to submit; `record` may be any decoded value and is validated by the store. */
export type SubmitRequest = {readonly record: unknown} & Omit<ChangeOptions, 'operator'>;

/** A record to withdraw. */
export type WithdrawRequest = RecordId & Omit<ChangeOptions, 'operator'>;

/** An accepted submit or withdrawal. */
export type AcceptedChange = {
	/** Revision at which the record has the submitted content. */
	readonly revision: number;
	/** False when the submit or withdrawal changed nothing, so that no revision was added. */
	readonly changed: boolean;
};

/** Plans a change of the stored record; fails when the change needs a record and there is none. */
type ChangePlanner = (current: StoredRecord | undefined, revision: number) => Result<ChangePlan, ConfigError>;

/** Reads and changes the records. Every change is one transaction on head, log and record. */
export class ConfigStore {
	readonly #options: ConfigStoreOptions;
	readonly #commitOptions: CommitOptions;
	/** Runs the changes of one process one at a time, so that they do not invalidate one another's conditions. */
	readonly #queue = new PQueue({concurrency: 1});

	/**
	 * @param options - Table service, clock and the packing check of guarantees.
	 */
	constructor(options: ConfigStoreOptions) {
		this.#options = options;
		this.#commitOptions = {
			clock: options.clock,
			wait: options.wait ?? (async delayMs => {
				await setTimeout(delayMs);
			}),
			random: options.random ?? Math.random,
		};
	}

	/**
	 * Submits a record.
	 *
	 * @param request - The document, the base revision, and fields to take over.
	 * @param operator - The operator who submits.
	 * @returns The revision, or the error.
	 */
	async submit(request: SubmitRequest, operator: string): Promise<Result<AcceptedChange, ConfigError>> {
		const document = validateRecord(request.record);
		if (!document.ok) {
			return err({kind: 'invalid_record', problems: document.error});
		}

		const options = {baseRevision: request.baseRevision, takeOwnership: request.takeOwnership, operator};
		return this.#enqueue('submit', document.value, operator, (current, revision) => ok(planSubmit(current, document.value, options, revision)));
	}

	/**
	 * Withdraws a record. A second withdrawal changes nothing, so the request can be repeated safely.
	 *
	 * @param request - The record, the base revision, and fields to take over.
	 * @param operator - The operator who withdraws.
	 * @returns The revision, or the error.
	 */
	async withdraw(request: WithdrawRequest, operator: string): Promise<Result<AcceptedChange, ConfigError>> {
		const {kind, name, ...options} = request;
		return this.#enqueue('withdraw', {kind, name}, operator, (current, revision) => current === undefined
			? err({kind: 'record_not_found', record: {kind, name}})
			: ok(planWithdraw(current, {...options, operator}, revision)));
	}

	/**
	 * Reads one record.
	 *
	 * @param kind - The kind.
	 * @param name - The name.
	 * @returns The record with owner and revision of each field, or `record_not_found`.
	 */
	async get(kind: RecordKind, name: string): Promise<Result<RecordView, ConfigError>> {
		const row = await this.#options.store.get(RECORDS_TABLE, formatRecordId({kind, name}));
		if (!row.ok) {
			return err({kind: 'store_unavailable', message: formatTableError(row.error)});
		}

		const record = row.value?.value as StoredRecord | undefined;
		return record && !record.withdrawn ? ok(viewOf(record)) : err({kind: 'record_not_found', record: {kind, name}});
	}

	/**
	 * Reads all records at one revision.
	 *
	 * @param kind - Lists only records of this kind; all kinds when absent.
	 * @returns The revision and the records that are not withdrawn, in key order.
	 */
	async list(kind?: RecordKind): Promise<Result<{readonly revision: number; readonly records: readonly RecordView[]}, ConfigError>> {
		const loaded = await this.#load();
		if (!loaded.ok) {
			return loaded;
		}

		const records = [...loaded.value.rows.values()]
			.map(({record}) => record)
			.filter(record => !record.withdrawn && (kind === undefined || record.kind === kind))
			.map(record => viewOf(record));
		return ok({revision: loaded.value.head.revision, records});
	}

	/**
	 * Computes what submits would change or conflict with, each applied after the ones before it. Nothing is written.
	 *
	 * @param records - Decoded documents.
	 * @param operator - The operator who would submit.
	 * @returns The changes or the refusal of each document.
	 */
	async diff(records: readonly unknown[], operator: string): Promise<Result<readonly RecordDiff[], ConfigError>> {
		const loaded = await this.#load();
		return loaded.ok ? ok(diffDocuments(loaded.value, records, operator, this.#options.checkGuarantees)) : loaded;
	}

	async #load(): Promise<Result<LoadedConfig, ConfigError>> {
		const loaded = await loadConfig(this.#options.store);
		return loaded.ok ? loaded : err(convertLoadError(loaded.error));
	}

	async #enqueue(action: LogRow['action'], id: RecordId, operator: string, planner: ChangePlanner): Promise<Result<AcceptedChange, ConfigError>> {
		return this.#queue.add(async () => this.#change(action, {kind: id.kind, name: id.name}, operator, planner));
	}

	async #change(action: LogRow['action'], id: RecordId, operator: string, planner: ChangePlanner): Promise<Result<AcceptedChange, ConfigError>> {
		for (let attempt = 0; attempt < MAX_CHANGE_ATTEMPTS; attempt++) {
			const loaded = await this.#load();
			if (!loaded.ok) {
				return loaded;
			}

			const {head, rows} = loaded.value;
			const row = rows.get(formatRecordId(id));
			const revision = head.revision + 1;
			const plan = planner(row?.record, revision);
			if (!plan.ok) {
				return plan;
			}

			const checked = checkPlan(loaded.value, plan.value, this.#options.checkGuarantees);
			if (!checked.ok) {
				return checked;
			}

			const {changes, after} = plan.value;
			if (changes.length === 0) {
				return ok({revision: head.revision, changed: false});
			}

			const writeId = newId();
			const logRow: LogRow = {
				revision, writeId, operator, atMs: this.#options.clock.wallMs(), action, record: id, changes, after: {...after, writeId},
			};
			const committed = await commitChange(this.#options.store, {head, row}, logRow, this.#commitOptions);
			if (!committed.ok) {
				return err(convertCommitError(committed.error, revision, writeId));
			}

			if (committed.value === 'committed') {
				return ok({revision, changed: true});
			}
		}

		return err({kind: 'contention', attempts: MAX_CHANGE_ATTEMPTS});
	}
}

function convertLoadError(error: LoadError): ConfigError {
	return error.kind === 'moving'
		? {kind: 'contention', attempts: error.attempts}
		: {kind: 'store_unavailable', message: formatTableError(error)};
}

function convertCommitError({kind, message}: CommitError, revision: number, writeId: string): ConfigError {
	switch (kind) {
		case 'unavailable': {
			return {kind: 'store_unavailable', message};
		}

		case 'rejected': {
			// The service rejects a transaction of this form only if a row is too long.
			return {kind: 'invalid_record', problems: [{path: '', expectation: `expected a record that the table service accepts: ${message}`}]};
		}

		case 'outcome_unknown': {
			return {
				kind: 'outcome_unknown', revision, writeId, message,
			};
		}
	}
}
