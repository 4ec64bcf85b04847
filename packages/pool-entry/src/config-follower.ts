import type {Clock, Logger} from '@amaranthsail/core';
import type {PoolConfig, PoolStore, StoredRow} from '@amaranthsail/pool';
import {sleep} from '@amaranthsail/pool-runtime';

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

/** Longest wait of a feed call; also bounds how late a silent connection is noticed. */
const FEED_WAIT_MS = 700;

/** Delay before the next call after a failed call to the store. */
const RETRY_DELAY_MS = 150;

const READ_TIMEOUT_MS = 800;

/** Keeps the newest configuration. It never returns to an older version, whatever the store's feed or a peer sends. */
export class ConfigFollower {
	readonly #store: PoolStore;
	readonly #source: ConfigSource;
	readonly #clock: Clock;
	readonly #logger: Logger;
	#known: KnownConfig | undefined;
	#confirmedAtMs = Number.NEGATIVE_INFINITY;
	#listener: ((config: PoolConfig) => void) | undefined;
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

	/** Milliseconds since the store or a peer confirmed that the known configuration is the newest. */
	get ageMs(): number {
		return this.#clock.monotonicMs() - this.#confirmedAtMs;
	}

	/** @param listener - Called with each new configuration. */
	onChange(listener: (config: PoolConfig) => void): void {
		this.#listener = listener;
		if (this.#known) {
			listener(this.#known.config);
		}
	}

	/**
	 * Makes a configuration row current if it is newer than the known one.
	 *
	 * @param row - The row, from any source.
	 * @param origin - Where it comes from, for the log.
	 */
	applyIfNewer(row: StoredRow, origin: string): void {
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
		});
		this.#known = {config, row};
		this.#listener?.(config);
	}

	/** Records that the known configuration is the newest one at present. */
	markConfirmed(): void {
		this.#confirmedAtMs = this.#clock.monotonicMs();
	}

	/**
	 * Reads the configuration now.
	 *
	 * @param timeoutMs - Timeout of the read.
	 * @returns Version of the store at the read, or undefined when the read failed.
	 */
	async refresh(timeoutMs = READ_TIMEOUT_MS): Promise<number | undefined> {
		const {table, key} = this.#source;
		const sentAtMs = this.#clock.monotonicMs();
		const page = await this.#store.read(table, {from: key, to: `${key}\0`}, timeoutMs);
		if (!page.ok) {
			return undefined;
		}

		for (const row of page.value.rows) {
			this.applyIfNewer(row, 'read');
		}

		this.#confirmedAtMs = Math.max(this.#confirmedAtMs, sentAtMs);
		return page.value.version;
	}

	/** Follows the store's change feed until {@link ConfigFollower.stop} is called. */
	async run(): Promise<void> {
		let version: number | undefined;
		let isStoreReached = true;
		while (!this.#isStopped) {
			if (version === undefined) {
				version = await this.refresh();
			} else {
				const page = await this.#store.follow(this.#source.table, version, FEED_WAIT_MS);
				if (page.ok) {
					for (const row of page.value.rows) {
						this.applyIfNewer(row, 'feed');
					}

					version = Math.max(version, page.value.version);
					this.markConfirmed();
				} else {
					version = page.error.kind === 'history_lost' ? await this.refresh() : undefined;
				}
			}

			if ((version !== undefined) !== isStoreReached) {
				isStoreReached = version !== undefined;
				this.#logger.info(isStoreReached ? 'store reached again' : 'store not reached', {purpose: 'configuration', version: this.#known?.config.version ?? 'none', ageMs: Math.round(this.ageMs)});
			}

			if (version === undefined) {
				await sleep(RETRY_DELAY_MS);
			}
		}
	}

	/** Stops {@link ConfigFollower.run}. */
	stop(): void {
		this.#isStopped = true;
	}
}
