import {newId, ok, type Result} from '@amaranthsail/core';
import type {RowValue, TableError, TableStore} from '@amaranthsail/backing-services';
import {HEAD, LOG_TABLE, logKeyOf, MEMBERS_TABLE, type LogRow} from './config-rows.js';
import {buildSnapshot, type ConfigSnapshot} from './config-snapshot.js';
import {loadConfig, readHead, type Head, type LoadError} from './load-config.js';
import {formatRecordId} from './record-document.js';
import type {StoredRecord} from './stored-record.js';

/** Most log entries of one poll; more follow with the next read in the same poll. */
const LOG_PAGE_ROWS = 200;

/** What a watcher needs. */
export type ConfigWatcherOptions = {
	readonly store: TableStore;
	/** Id of this process; names its member row. */
	readonly processId: string;
	/**
	 * Gives the content of the member row.
	 *
	 * @param revision - Revision in force in this process.
	 * @returns The row without `writeId`, which the watcher adds.
	 */
	readonly memberRow: (revision: number) => RowValue;
};

/** Reads that were not used, by reason. */
export type WatcherCounters = {
	/** Heads below the revision in force. */
	readonly staleHeads: number;
	/** Polls in which the log did not reach the head that was read before it. */
	readonly gaps: number;
	/** Confirmations refused because the head or the member row had changed. */
	readonly refusedConfirmations: number;
	/** Reads and writes that failed. */
	readonly failedCalls: number;
};

/** Result of a poll. */
export type PollOutcome = {
	/** Whether the snapshot moved forward. */
	readonly changed: boolean;
	readonly revision: number;
	readonly confirmed: boolean;
};

/** Called with each new snapshot once the watcher is confirmed. */
export type ConfigListener = (snapshot: ConfigSnapshot) => void;

/**
 * Follows the configuration in one process. It never goes back: what a stale read returns is ignored and counted.
 * Until the head is confirmed by a conditional write, the snapshot may come from a stale read, and listeners are not called.
 */
export class ConfigWatcher {
	readonly #options: ConfigWatcherOptions;
	readonly #listeners = new Set<ConfigListener>();
	#records = new Map<string, StoredRecord>();
	#snapshot: ConfigSnapshot | undefined;
	#confirmed = false;
	#polling: Promise<Result<PollOutcome, LoadError>> | undefined;
	#counters: WatcherCounters = {
		staleHeads: 0, gaps: 0, refusedConfirmations: 0, failedCalls: 0,
	};

	/**
	 * @param options - Table service and member row.
	 */
	constructor(options: ConfigWatcherOptions) {
		this.#options = options;
	}

	/** Newest configuration read; undefined before the first load. */
	get snapshot(): ConfigSnapshot | undefined {
		return this.#snapshot;
	}

	/** Whether the head was confirmed, so that the snapshot cannot be older than the start of this process. */
	get confirmed(): boolean {
		return this.#confirmed;
	}

	/** Numbers of reads that were not used. */
	get counters(): WatcherCounters {
		return this.#counters;
	}

	/**
	 * Adds a listener. It is called at once when a confirmed snapshot is there.
	 *
	 * @param listener - Called with each new snapshot.
	 * @returns Removes the listener.
	 */
	onChange(listener: ConfigListener): () => void {
		this.#listeners.add(listener);
		if (this.#confirmed) {
			listener(this.#snapshot!);
		}

		return () => {
			this.#listeners.delete(listener);
		};
	}

	/**
	 * Reads the head and takes over what is new. Before confirmation it loads all records and confirms the head.
	 * A call during a poll joins it.
	 *
	 * @returns What the poll led to, or why the store could not be read; the snapshot then stays as it is.
	 */
	async poll(): Promise<Result<PollOutcome, LoadError>> {
		this.#polling ??= this.#poll().finally(() => {
			this.#polling = undefined;
		});
		return this.#polling;
	}

	async #poll(): Promise<Result<PollOutcome, LoadError>> {
		const before = this.#snapshot?.revision ?? -1;
		const wasConfirmed = this.#confirmed;
		const done = wasConfirmed ? await this.#follow() : await this.#loadAndConfirm();
		if (!done.ok) {
			this.#count('failedCalls');
		}

		const revision = this.#snapshot?.revision ?? 0;
		const changed = revision > before;
		if (this.#confirmed && (changed || !wasConfirmed)) {
			for (const listener of this.#listeners) {
				listener(this.#snapshot!);
			}
		}

		return done.ok ? ok({changed, revision, confirmed: this.#confirmed}) : done;
	}

	async #loadAndConfirm(): Promise<Result<void, LoadError>> {
		const loaded = await loadConfig(this.#options.store);
		if (!loaded.ok) {
			return loaded;
		}

		const {head, rows} = loaded.value;
		if (head.revision < (this.#snapshot?.revision ?? 0)) {
			this.#count('staleHeads');
			return ok(undefined);
		}

		this.#records = new Map([...rows].map(([key, {record}]) => [key, record]));
		this.#snapshot = buildSnapshot(head.revision, this.#records.values());
		return this.#confirm(head);
	}

	/** Writes the member row on condition that the head is the one that was loaded. */
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
				{...HEAD, version: head.version},
				{table: MEMBERS_TABLE, key: processId, version: member.value?.version ?? 0},
			],
			writes: [{table: MEMBERS_TABLE, key: processId, value: {...memberRow(head.revision), writeId}}],
		});
		if (written.ok) {
			this.#confirmed = true;
			return ok(undefined);
		}

		if (written.error.kind !== 'outcome_unknown' && written.error.kind !== 'condition_failed') {
			return written;
		}

		// The row carries the id only if the transaction took effect, which proves the head. A request that the network
		// delivered twice is refused the second time, so a refused condition is read back too.
		const readBack = await store.get(MEMBERS_TABLE, processId);
		if (readBack.ok && readBack.value?.value.writeId === writeId) {
			this.#confirmed = true;
			return ok(undefined);
		}

		if (written.error.kind === 'outcome_unknown') {
			return written;
		}

		this.#count('refusedConfirmations');
		return ok(undefined);
	}

	async #follow(): Promise<Result<void, TableError>> {
		const head = await readHead(this.#options.store);
		if (!head.ok) {
			return head;
		}

		if (head.value.revision < this.#snapshot!.revision) {
			this.#count('staleHeads');
			return ok(undefined);
		}

		let {revision} = this.#snapshot!;
		while (revision < head.value.revision) {
			const page = await this.#options.store.scan(LOG_TABLE, {after: logKeyOf(revision), limit: LOG_PAGE_ROWS});
			if (!page.ok) {
				return page;
			}

			const reached = this.#apply(page.value.map(row => row.value as LogRow), revision);
			if (reached === revision) {
				this.#count('gaps');
				return ok(undefined);
			}

			revision = reached;
		}

		return ok(undefined);
	}

	/**
	 * Applies log entries as far as they follow one another.
	 *
	 * @param entries - Entries in key order.
	 * @param from - Revision in force.
	 * @returns The revision reached.
	 */
	#apply(entries: readonly LogRow[], from: number): number {
		let revision = from;
		for (const entry of entries) {
			if (entry.revision !== revision + 1) {
				break;
			}

			this.#records.set(formatRecordId(entry.record), entry.after);
			revision = entry.revision;
		}

		if (revision > from) {
			this.#snapshot = buildSnapshot(revision, this.#records.values());
		}

		return revision;
	}

	#count(counter: keyof WatcherCounters): void {
		this.#counters = {...this.#counters, [counter]: this.#counters[counter] + 1};
	}
}
