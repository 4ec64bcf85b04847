import type {Clock, Logger} from '@amaranthsail/core';
import type {PoolConfig, PoolStore, StoredRow} from '@amaranthsail/pool';
import {sleep} from '@amaranthsail/pool-runtime';
import {ConfigFreshness, loggedAgeMs} from './config-freshness.js';

/** Where the configuration is stored and how it is decoded. */
export type ConfigSource = {
	readonly table: string;
	readonly key: string;
	readonly decode: (row: StoredRow) => PoolConfig | undefined;
};

/** The configuration that this process uses. */
export type KnownConfig = {
	readonly config: PoolConfig;
	/** The row that it was decoded from; jobs are accepted on condition that its version is unchanged. */
	readonly row: StoredRow;
};

/** Receives all rows of the configuration's table from the feed. */
export type TableListener = {
	/**
	 * @param rows - Rows that have changed.
	 * @param askedAtMs - Time at which the store was asked for them.
	 */
	onRows(rows: readonly StoredRow[], askedAtMs: number): void;
	/** The feed begins, or begins again: earlier changes of rows other than the configuration will not be delivered. */
	onGap(): void;
};

/** Longest wait of a feed call; also bounds how late a silent connection is noticed. */
const FEED_WAIT_MS = 700;

/** Delay before the next call after a failed call to the store. */
const RETRY_DELAY_MS = 150;

const READ_TIMEOUT_MS = 800;

/** The store answers at once whether there is a change. */
const SHORTEST_FEED_WAIT_MS = 1;

/** An answer of the feed without a change is shorter. */
const MIN_CHANGE_BYTES = 1024;

/** Keeps the newest configuration. It never returns to an older version, whatever the store's feed or a peer sends. */
export class ConfigFollower {
	readonly #store: PoolStore;
	readonly #source: ConfigSource;
	readonly #clock: Clock;
	readonly #logger: Logger;
	#known: KnownConfig | undefined;
	readonly #freshness: ConfigFreshness;
	/** Position in the store's change feed. */
	#feedVersion: number | undefined;
	#refreshing: Promise<number | undefined> | undefined;
	/** Whether the last answer of the feed had a change; then the store is asked at once whether that is the newest one. */
	#hasChanged = false;
	/** An answer of the feed with a change that has begun to arrive. */
	#transfer: Promise<boolean> | undefined;
	#listener: ((config: PoolConfig) => void) | undefined;
	#tableListener: TableListener | undefined;
	#isStopped = false;

	/**
	 * @param store - Store that holds the configuration.
	 * @param source - Row and decoder.
	 * @param clock - Source of time.
	 * @param logger - Receives a line for each version.
	 */
	constructor(store: PoolStore, source: ConfigSource, clock: Clock, logger: Logger) {
		this.#store = store;
		this.#source = source;
		this.#clock = clock;
		this.#logger = logger;
		this.#freshness = new ConfigFreshness(clock);
	}

	/** The current configuration, or undefined before the first one. */
	get known(): KnownConfig | undefined {
		return this.#known;
	}

	/** Table and key of the configuration row. */
	get location(): {readonly table: string; readonly key: string} {
		const {table, key} = this.#source;
		return {table, key};
	}

	/** Milliseconds since the known configuration was confirmed to be the newest. */
	get ageMs(): number {
		return this.#freshness.ageMs;
	}

	/** Milliseconds since the store last sent a part of an answer. */
	get storeSilentMs(): number {
		return this.#freshness.storeSilentMs;
	}

	/** Milliseconds since a newer configuration than the known one was first known to exist; 0 if none is. */
	get behindMs(): number {
		return this.#freshness.behindMs;
	}

	/** See {@link ConfigFreshness.ownBehindMs}. */
	get ownBehindMs(): number {
		return this.#freshness.ownBehindMs;
	}

	/** See {@link ConfigFreshness.isUsable}. */
	isUsable(boundMs: number, leaderSilentMs: number): boolean {
		return this.#freshness.isUsable(boundMs, leaderSilentMs);
	}

	/** Whether the store is sending a change. */
	get isReceiving(): boolean {
		return this.#transfer !== undefined;
	}

	/** @param rowVersion - Version of the configuration row that another entry has. */
	recordAnnounced(rowVersion: number): void {
		this.#freshness.recordAnnounced(rowVersion);
	}

	/**
	 * Withdraws an announcement that has proved wrong. Announcements come from other processes and may be malformed.
	 *
	 * @param rowVersion - The version that was announced.
	 */
	withdrawAnnounced(rowVersion: number): void {
		this.#freshness.withdrawAnnounced(rowVersion);
	}

	/** See {@link ConfigFreshness.recordLeader}. */
	recordLeader(rowVersion: number, behindMs: number): void {
		this.#freshness.recordLeader(rowVersion, behindMs);
	}

	/** @param listener - Called with each new configuration. */
	onChange(listener: (config: PoolConfig) => void): void {
		this.#listener = listener;
		if (this.#known) {
			listener(this.#known.config);
		}
	}

	/** @param listener - Receives the other rows of the table; set before the first request. */
	setTableListener(listener: TableListener): void {
		this.#tableListener = listener;
	}

	/**
	 * Makes a configuration row current if it is newer than the known one.
	 *
	 * @param row - The row, from any source.
	 * @param origin - Where it comes from, for the log.
	 * @param askedAtMs - Time at which it was asked for, for the log.
	 */
	applyIfNewer(row: StoredRow, origin: string, askedAtMs?: number): void {
		if (row.table !== this.#source.table || row.key !== this.#source.key || row.version <= (this.#known?.row.version ?? 0)) {
			return;
		}

		const config = this.#source.decode(row);
		if (!config) {
			this.#logger.error('configuration unreadable', {rowVersion: row.version, origin});
			return;
		}

		if (config.version <= (this.#known?.config.version ?? Number.NEGATIVE_INFINITY)) {
			return;
		}

		this.#logger.info('configuration in force', {
			version: config.version, previous: this.#known?.config.version ?? 'none', rowVersion: row.version, origin, queues: config.queues.length, accounts: config.accounts.length,
			ageMs: loggedAgeMs(this.ageMs), behindMs: Math.round(this.behindMs), ...(askedAtMs !== undefined && {askedMsAgo: Math.round(this.#clock.monotonicMs() - askedAtMs)}),
		});
		this.#known = {config, row};
		this.#freshness.recordKnown(row.version);
		this.#listener?.(config);
	}

	/** Records that the known configuration is the newest one at present. */
	markConfirmed(): void {
		this.#freshness.recordReceived();
		this.#freshness.recordConfirmed(this.#clock.monotonicMs());
	}

	/**
	 * Asks the store for a newer configuration. Calls share the request in progress: on a slow link, each further transfer
	 * of a large configuration would delay all of them beyond their timeouts.
	 *
	 * @param timeoutMs - Longest wait; the request itself may go on.
	 * @returns Version of the store at the request, or undefined when it failed or did not end in time.
	 */
	async refresh(timeoutMs = READ_TIMEOUT_MS): Promise<number | undefined> {
		this.#refreshing ??= this.#refreshAndRelease();
		return Promise.race([this.#refreshing, sleep(timeoutMs).then(() => undefined)]);
	}

	/** Follows the store's change feed until {@link ConfigFollower.stop} is called. */
	async run(): Promise<void> {
		let isStoreReached = true;
		while (!this.#isStopped) {
			const isReached = this.#feedVersion === undefined ? await this.refresh() !== undefined : await this.#follow(this.#hasChanged ? SHORTEST_FEED_WAIT_MS : FEED_WAIT_MS, 'feed');
			if (isReached !== isStoreReached) {
				isStoreReached = isReached;
				this.#logger.info(isStoreReached ? 'store reached again' : 'store not reached', {
					purpose: 'configuration', version: this.#known?.config.version ?? 'none', ageMs: loggedAgeMs(this.ageMs), behindMs: Math.round(this.behindMs), storeSilentMs: loggedAgeMs(this.storeSilentMs),
				});
			}

			if (!isReached) {
				this.#feedVersion = undefined;
				await sleep(RETRY_DELAY_MS);
			}
		}
	}

	/** Stops {@link ConfigFollower.run}. */
	stop(): void {
		this.#isStopped = true;
	}

	async #refreshAndRelease(): Promise<number | undefined> {
		try {
			await this.#transfer;
			// The feed returns the configuration only if it has changed.
			if (this.#feedVersion !== undefined && await this.#follow(SHORTEST_FEED_WAIT_MS, 'read')) {
				return this.#feedVersion;
			}

			return await this.#read();
		} finally {
			this.#refreshing = undefined;
		}
	}

	async #read(): Promise<number | undefined> {
		const {table, key} = this.#source;
		const sentAtMs = this.#clock.monotonicMs();
		const page = await this.#store.read(table, {from: key, to: `${key}\0`}, READ_TIMEOUT_MS);
		if (!page.ok) {
			return undefined;
		}

		this.#onRows(page.value.rows, 'read', {sentAtMs, asOfMs: sentAtMs});
		this.#tableListener?.onGap();
		this.#feedVersion = Math.max(this.#feedVersion ?? 0, page.value.version);
		return page.value.version;
	}

	/**
	 * Asks the feed for changes. Of two answers with the same change only the first one is received.
	 *
	 * @returns Whether the store has answered.
	 */
	async #follow(waitMs: number, origin: string): Promise<boolean> {
		let earlier: Promise<boolean> | undefined;
		const result = this.#followOnce(waitMs, origin, receivedBytes => {
			this.#freshness.recordReceived();
			if (receivedBytes < MIN_CHANGE_BYTES) {
				return true;
			}

			this.#transfer ??= result;
			this.#freshness.recordChangeBegun();
			earlier = this.#transfer === result ? undefined : this.#transfer;
			return earlier === undefined;
		});
		const isReached = await result;
		if (this.#transfer === result) {
			this.#transfer = undefined;
		}

		return earlier ?? isReached;
	}

	async #followOnce(waitMs: number, origin: string, onProgress: (receivedBytes: number) => boolean): Promise<boolean> {
		const sentAtMs = this.#clock.monotonicMs();
		const page = await this.#store.follow(this.#source.table, this.#feedVersion!, waitMs, onProgress);
		if (!page.ok) {
			return page.error.kind === 'history_lost' && await this.#read() !== undefined;
		}

		// A change is sent at once, and its transfer may take seconds, in which there may be another one.
		this.#hasChanged = page.value.rows.length > 0;
		const asOfMs = this.#hasChanged ? sentAtMs : Math.min(sentAtMs + waitMs, this.#clock.monotonicMs());
		this.#onRows(page.value.rows, origin, {sentAtMs, asOfMs});
		this.#freshness.recordChangeReceived();
		this.#tableListener?.onRows(page.value.rows, sentAtMs);
		this.#feedVersion = Math.max(this.#feedVersion ?? 0, page.value.version);
		return true;
	}

	/** @param asOfMs - Time at which the store had no newer rows. */
	#onRows(rows: readonly StoredRow[], origin: string, {sentAtMs, asOfMs}: {readonly sentAtMs: number; readonly asOfMs: number}): void {
		this.#freshness.recordReceived();
		for (const row of rows) {
			this.applyIfNewer(row, origin, sentAtMs);
		}

		this.#freshness.recordConfirmed(asOfMs);
	}
}
