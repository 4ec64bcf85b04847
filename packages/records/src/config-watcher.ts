import {newId, ok, type Result} from '@amaranthsail/core';
import type {RowValue, TableError, TableStore} from '@amaranthsail/backing-services';
import {HEAD_ROW, LOG_TABLE, logKeyOf, MEMBERS_TABLE, type LogRow} from './config-rows.js';
import {buildSnapshot, type ConfigSnapshot} from './config-snapshot.js';
import {loadConfig, readHead, type Head, type LoadError} from './load-config.js';
import {formatRecordId} from './record-document.js';
import type {StoredRecord} from './stored-record.js';

/** Log rows of one read; the same poll reads further pages. */
const MAX_LOG_PAGE_ROWS = 200;

/** Dependencies of a {@link ConfigWatcher}. */
export type ConfigWatcherOptions = {
	readonly store: TableStore;
	/** Id of this process; the key of its member row. */
	readonly processId: string;
	/**
	 * Returns the content of the member row.
	 *
	 * @param revision - Revision in force in this process.
	 * @returns The row without `writeId`, which the watcher adds.
	 */
	readonly memberRow: (revision: number) => RowValue;
};

/** Numbers of unsuccessful polls, by reason. */
export type WatcherCounters = {
	/** Reads of the head that returned a revision below the current one. */
	readonly staleHeads: number;
	/** Polls in which the log ended, or lacked a row, before the revision of the head. */
	readonly gaps: number;
	/** Confirmations refused because the head or the member row had changed. */
	readonly refusedConfirmations: number;
	/** Polls that returned an error. */
	readonly failedCalls: number;
};

/** State after a poll. */
export type PollOutcome = {
	/** Whether the poll found a newer revision. */
	readonly hasChanged: boolean;
	readonly revision: number;
	readonly isConfirmed: boolean;
};

/** Called with each new snapshot once the watcher is confirmed. */
export type ConfigListener = (snapshot: ConfigSnapshot) => void;

/**
 * Polls the configuration for one process. The revision never decreases: stale reads are ignored and counted.
 * Until a conditional write confirms the head, the snapshot may come from a stale read, and listeners are not called.
 */
export class ConfigWatcher {
	readonly #options: ConfigWatcherOptions;
	readonly #listeners = new Set<ConfigListener>();
	#records = new Map<string, StoredRecord>();
	#snapshot: ConfigSnapshot | undefined;
	#isConfirmed = false;
	#activePoll: Promise<Result<PollOutcome, LoadError>> | undefined;
	#counters: WatcherCounters = {
		staleHeads: 0, gaps: 0, refusedConfirmations: 0, failedCalls: 0,
	};

	/**
	 * @param options - Table service and member row.
	 */
	constructor(options: ConfigWatcherOptions) {
		this.#options = options;
	}

	/** The newest configuration that was read; undefined before the first load. */
	get snapshot(): ConfigSnapshot | undefined {
		return this.#snapshot;
	}

	/** Whether the head was confirmed, so that the snapshot cannot be older than the start of this process. */
	get isConfirmed(): boolean {
		return this.#isConfirmed;
	}

	/** Numbers of unsuccessful polls. */
	get counters(): WatcherCounters {
		return this.#counters;
	}

	/**
	 * Adds a listener and calls it at once if the snapshot is confirmed.
	 *
	 * @param listener - Called with each new snapshot.
	 * @returns A function that removes the listener.
	 */
	onChange(listener: ConfigListener): () => void {
		this.#listeners.add(listener);
		if (this.#isConfirmed) {
			listener(this.#snapshot!);
		}

		return () => {
			this.#listeners.delete(listener);
		};
	}

	/**
	 * Reads the head and applies new log rows. Before confirmation it loads all records and confirms the head instead.
	 * A call during a poll returns the result of that poll.
	 *
	 * @returns The state after the poll, or why the table service could not be read; the snapshot then stays as it is.
	 */
	async poll(): Promise<Result<PollOutcome, LoadError>> {
		this.#activePoll ??= this.#poll().finally(() => {
			this.#activePoll = undefined;
		});
		return this.#activePoll;
	}

	async #poll(): Promise<Result<PollOutcome, LoadError>> {
		const previousRevision = this.#snapshot?.revision ?? -1;
		const wasConfirmed = this.#isConfirmed;
		const result = wasConfirmed ? await this.#pollLog() : await this.#loadAndConfirm();
		if (!result.ok) {
			this.#increment('failedCalls');
		}

		const revision = this.#snapshot?.revision ?? 0;
		const hasChanged = revision > previousRevision;
		if (this.#isConfirmed && (hasChanged || !wasConfirmed)) {
			for (const listener of this.#listeners) {
				listener(this.#snapshot!);
			}
		}

		return result.ok ? ok({hasChanged, revision, isConfirmed: this.#isConfirmed}) : result;
	}

	async #loadAndConfirm(): Promise<Result<void, LoadError>> {
		const loaded = await loadConfig(this.#options.store);
		if (!loaded.ok) {
			return loaded;
		}

		const {head, rows} = loaded.value;
		if (head.revision < (this.#snapshot?.revision ?? 0)) {
			this.#increment('staleHeads');
			return ok(undefined);
		}

		this.#records = new Map([...rows].map(([key, {record}]) => [key, record]));
		this.#snapshot = buildSnapshot(head.revision, this.#records.values());
		return this.#confirm(head);
	}

	/** Writes the member row on condition that the head is still at the version that was loaded. */
	async #confirm(head: Head): Promise<Result<void, TableError>> {
		const {store, processId, memberRow} = this.#options;
		const member = await store.get(MEMBERS_TABLE, processId);
		if (!member.ok) {
			return member;
		}

		const writeId = newId();
		const written = await store.transact({
			writeId,
			conditions: [
				{...HEAD_ROW, version: head.version},
				{table: MEMBERS_TABLE, key: processId, version: member.value?.version ?? 0},
			],
			writes: [{table: MEMBERS_TABLE, key: processId, value: {...memberRow(head.revision), writeId}}],
		});
		if (written.ok) {
			this.#isConfirmed = true;
			return ok(undefined);
		}

		if (written.error.kind !== 'outcome_unknown' && written.error.kind !== 'condition_failed') {
			return written;
		}

		// The member row has this write id only if the transaction took effect, which confirms the head. A request that the network
		// delivers twice fails its conditions the second time, so the row is read back after a failed condition too.
		const readBack = await store.get(MEMBERS_TABLE, processId);
		if (readBack.ok && readBack.value?.value.writeId === writeId) {
			this.#isConfirmed = true;
			return ok(undefined);
		}

		if (written.error.kind === 'outcome_unknown') {
			return written;
		}

		this.#increment('refusedConfirmations');
		return ok(undefined);
	}

	async #pollLog(): Promise<Result<void, TableError>> {
		const head = await readHead(this.#options.store);
		if (!head.ok) {
			return head;
		}

		if (head.value.revision < this.#snapshot!.revision) {
			this.#increment('staleHeads');
			return ok(undefined);
		}

		let {revision} = this.#snapshot!;
		while (revision < head.value.revision) {
			const page = await this.#options.store.scan(LOG_TABLE, {after: logKeyOf(revision), limit: MAX_LOG_PAGE_ROWS});
			if (!page.ok) {
				return page;
			}

			const appliedRevision = this.#applyLogRows(page.value.map(row => row.value as LogRow), revision);
			if (appliedRevision === revision) {
				this.#increment('gaps');
				return ok(undefined);
			}

			revision = appliedRevision;
		}

		return ok(undefined);
	}

	/**
	 * Applies consecutive log rows up to the first gap.
	 *
	 * @param logRows - Log rows in key order.
	 * @param currentRevision - The current revision, which the first row must follow.
	 * @returns The revision of the last applied row, or `currentRevision` when none was applied.
	 */
	#applyLogRows(logRows: readonly LogRow[], currentRevision: number): number {
		let revision = currentRevision;
		for (const logRow of logRows) {
			if (logRow.revision !== revision + 1) {
				break;
			}

			this.#records.set(formatRecordId(logRow.record), logRow.after);
			revision = logRow.revision;
		}

		if (revision > currentRevision) {
			this.#snapshot = buildSnapshot(revision, this.#records.values());
		}

		return revision;
	}

	#increment(counter: keyof WatcherCounters): void {
		this.#counters = {...this.#counters, [counter]: this.#counters[counter] + 1};
	}
}
