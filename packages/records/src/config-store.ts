import {setTimeout} from 'node:timers/promises';
import {err, newId, ok, type Clock, type Result} from '@amaranthsail/core';
import type {CommitOptions, TableStore} from '@amaranthsail/backing-services';
import PQueue from 'p-queue';
import {commitChange, messageOfTableError, type CommitError} from './commit-change.js';
import type {ConfigError} from './config-error.js';
import {RECORDS_TABLE, type LogRow} from './config-rows.js';
import {checkPlan} from './check-plan.js';
import type {GuaranteeCheck} from './cross-checks.js';
import {diffDocuments, type RecordDiff} from './diff-documents.js';
import {loadConfig, type LoadedConfig, type LoadError} from './load-config.js';
import {planSubmit, planWithdraw, type ChangePlan, type ChangeTerms} from './plan-change.js';
import {formatRecordId, type RecordDocument, type RecordId, type RecordKind} from './record-document.js';
import {viewOf, type RecordView} from './record-view.js';
import type {StoredRecord} from './stored-record.js';
import {validateRecord} from './validate-record.js';

/** Times that a submit is checked anew after another change came first. */
const MAX_SUBMIT_ATTEMPTS = 10;

/** What a configuration store needs. */
export type ConfigStoreOptions = {
	readonly store: TableStore;
	/** Gives the wall-clock time of changes, for display. */
	readonly clock: Clock;
	readonly checkGuarantees: GuaranteeCheck;
	/** Waits for a number of milliseconds between attempts; a real timer when absent. */
	readonly wait?: (delayMs: number) => Promise<void>;
	/** Gives a number from 0 up to but not including 1, for the jitter of the waits; `Math.random` when absent. */
	readonly random?: () => number;
};

/** A record to submit; `record` is checked here and may be any decoded value. */
export type SubmitRequest = {readonly record: unknown} & Omit<ChangeTerms, 'operator'>;

/** A record to withdraw. */
export type WithdrawRequest = RecordId & Omit<ChangeTerms, 'operator'>;

/** An accepted submit or withdrawal. */
export type Accepted = {
	/** Revision in which the record is as submitted. */
	readonly revision: number;
	/** False when nothing differed; then no revision was added. */
	readonly changed: boolean;
};

/** Plans a change against the stored record; fails when there is nothing to change. */
type Planner = (current: StoredRecord | undefined, revision: number) => Result<ChangePlan, ConfigError>;

/** Reads and changes the records. Every change is one transaction on head, log and record. */
export class ConfigStore {
	readonly #options: ConfigStoreOptions;
	readonly #commitOptions: CommitOptions;
	/** Changes of one process run in turn, so that they do not make one another fail. */
	readonly #queue = new PQueue({concurrency: 1});

	/**
	 * @param options - Table service, clock and the check of guarantees.
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
	 * @param operator - Who submits.
	 * @returns The revision, or why nothing was changed.
	 */
	async submit(request: SubmitRequest, operator: string): Promise<Result<Accepted, ConfigError>> {
		const document = validateRecord(request.record);
		if (!document.ok) {
			return err({kind: 'invalid_record', problems: document.error});
		}

		const terms = {baseRevision: request.baseRevision, takeOwnership: request.takeOwnership, operator};
		return this.#enqueue('submit', document.value, operator, (current, revision) => ok(planSubmit(current, document.value, terms, revision)));
	}

	/**
	 * Withdraws a record. Withdrawing it again changes nothing, so that a repeated request is safe.
	 *
	 * @param request - The record, the base revision, and fields to take over.
	 * @param operator - Who withdraws.
	 * @returns The revision, or why nothing was changed.
	 */
	async withdraw(request: WithdrawRequest, operator: string): Promise<Result<Accepted, ConfigError>> {
		const {kind, name, ...terms} = request;
		return this.#enqueue('withdraw', {kind, name}, operator, (current, revision) => current === undefined
			? err({kind: 'record_not_found', record: {kind, name}})
			: ok(planWithdraw(current, {...terms, operator}, revision)));
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
			return err({kind: 'store_unavailable', message: messageOfTableError(row.error)});
		}

		const record = row.value?.value as StoredRecord | undefined;
		return record && !record.withdrawn ? ok(viewOf(record)) : err({kind: 'record_not_found', record: {kind, name}});
	}

	/**
	 * Reads all records at one revision.
	 *
	 * @param kind - Only records of this kind.
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
	 * Tells what submits would change or conflict with, each on top of the ones before it. Nothing is written.
	 *
	 * @param records - Decoded documents.
	 * @param operator - Who would submit.
	 * @returns For each document its changes, conflicts or error.
	 */
	async diff(records: readonly unknown[], operator: string): Promise<Result<readonly RecordDiff[], ConfigError>> {
		const loaded = await this.#load();
		return loaded.ok ? ok(diffDocuments(loaded.value, records, operator, this.#options.checkGuarantees)) : loaded;
	}

	async #load(): Promise<Result<LoadedConfig, ConfigError>> {
		const loaded = await loadConfig(this.#options.store);
		return loaded.ok ? loaded : err(configErrorOf(loaded.error));
	}

	async #enqueue(action: LogRow['action'], id: RecordId, operator: string, planner: Planner): Promise<Result<Accepted, ConfigError>> {
		return this.#queue.add(async () => this.#change(action, {kind: id.kind, name: id.name}, operator, planner));
	}

	async #change(action: LogRow['action'], id: RecordId, operator: string, planner: Planner): Promise<Result<Accepted, ConfigError>> {
		for (let attempt = 0; attempt < MAX_SUBMIT_ATTEMPTS; attempt++) {
			const loaded = await this.#load();
			if (!loaded.ok) {
				return loaded;
			}

			const {head, rows} = loaded.value;
			const row = rows.get(formatRecordId(id));
			const revision = head.revision + 1;
			const planned = planner(row?.record, revision);
			if (!planned.ok) {
				return planned;
			}

			const checked = checkPlan(loaded.value, planned.value, this.#options.checkGuarantees);
			if (!checked.ok) {
				return checked;
			}

			const {changes, after} = planned.value;
			if (changes.length === 0) {
				return ok({revision: head.revision, changed: false});
			}

			const writeId = newId();
			const entry: LogRow = {
				revision, writeId, operator, atMs: this.#options.clock.wallMs(), action, record: id, changes, after: {...after, writeId},
			};
			const committed = await commitChange(this.#options.store, {head, row}, entry, this.#commitOptions);
			if (!committed.ok) {
				return err(commitErrorOf(committed.error, revision, writeId));
			}

			if (committed.value === 'committed') {
				return ok({revision, changed: true});
			}
		}

		return err({kind: 'contention', attempts: MAX_SUBMIT_ATTEMPTS});
	}
}

function configErrorOf(error: LoadError): ConfigError {
	return error.kind === 'moving'
		? {kind: 'contention', attempts: error.attempts}
		: {kind: 'store_unavailable', message: messageOfTableError(error)};
}

function commitErrorOf({kind, message}: CommitError, revision: number, writeId: string): ConfigError {
	switch (kind) {
		case 'unavailable': {
			return {kind: 'store_unavailable', message};
		}

		case 'rejected': {
			// The service accepts every transaction of this form unless a row is too long.
			return {kind: 'invalid_record', problems: [{path: '', expectation: `expected a record that the table service accepts: ${message}`}]};
		}

		case 'outcome_unknown': {
			return {
				kind: 'outcome_unknown', revision, writeId, message,
			};
		}
	}
}
