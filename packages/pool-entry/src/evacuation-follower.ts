import type {Clock, Logger} from '@amaranthsail/core';
import {
	type KeyRange, type PoolCore, type PoolStore, prefixRange, type StoredRow,
} from '@amaranthsail/pool';
import {sleep} from '@amaranthsail/pool-runtime';
import type {TableListener} from './config-follower.js';

/** Where the requests are stored and how they are decoded. */
export type EvacuationSource = {
	readonly table: string;
	readonly prefix: string;
	readonly decode: (row: StoredRow) => {readonly failureDomain: string; readonly isRequested: boolean; readonly isReadable: boolean} | undefined;
};

const READ_TIMEOUT_MS = 800;

/** Interval of the check whether the requests have to be read. */
const CHECK_INTERVAL_MS = 150;

/**
 * Age of the last confirmation from which the requests are read. The feed confirms them every 0.7 s, counted from the call,
 * but its answer may be delayed by the transfer of a large configuration.
 */
const MAX_CONFIRMATION_AGE_MS = 1800;

/** A row and the failure domain that it requests to evacuate, if any. Kept for removed rows, as a late answer may have an older version. */
type KnownRow = {readonly version: number; readonly failureDomain: string | undefined};

/** Keeps the set of the failure domains whose evacuation is requested. */
export class EvacuationFollower implements TableListener {
	readonly #store: PoolStore;
	readonly #source: EvacuationSource;
	readonly #clock: Clock;
	readonly #logger: Logger;
	readonly #rows = new Map<string, KnownRow>();
	#failureDomains: ReadonlySet<string> = new Set();
	#confirmedAtMs = Number.NEGATIVE_INFINITY;
	/** Number of times that the feed began again; changes before that may be missing. */
	#gapCount = 0;
	/** Value of {@link EvacuationFollower.#gapCount} up to which the range has been read. */
	#closedGapCount = -1;
	#listener: (() => void) | undefined;
	#isStopped = false;

	/**
	 * @param store - Store that holds the rows.
	 * @param source - Range and decoder of the rows.
	 * @param clock - Source of time.
	 * @param logger - Receives a line for each request and each withdrawal.
	 */
	constructor(store: PoolStore, source: EvacuationSource, clock: Clock, logger: Logger) {
		this.#store = store;
		this.#source = source;
		this.#clock = clock;
		this.#logger = logger;
	}

	/** The failure domains whose evacuation is requested. */
	get failureDomains(): ReadonlySet<string> {
		return this.#failureDomains;
	}

	/** @param listener - Called after each confirmation and each change. */
	onChange(listener: () => void): void {
		this.#listener = listener;
	}

	/** @param core - Gets the requests, and when the store was last asked for an answer that showed all of them. */
	applyTo(core: Pick<PoolCore, 'setEvacuations'>): void {
		core.setEvacuations(this.#failureDomains, this.#confirmedAtMs);
	}

	onRows(rows: readonly StoredRow[], askedAtMs: number): void {
		for (const row of rows) {
			this.#applyIfNewer(row, 'feed');
		}

		this.#update(this.#closedGapCount === this.#gapCount ? askedAtMs : undefined);
	}

	onGap(): void {
		this.#gapCount++;
	}

	/**
	 * Reads all requests now.
	 *
	 * @returns Whether the store has answered.
	 */
	async read(): Promise<boolean> {
		const gapCount = this.#gapCount;
		const askedAtMs = this.#clock.monotonicMs();
		const range = prefixRange(this.#source.prefix);
		const rows: StoredRow[] = [];
		let version: number | undefined;
		let rest: KeyRange | undefined = range;
		while (rest) {
			const page = await this.#store.read(this.#source.table, rest, READ_TIMEOUT_MS);
			if (!page.ok) {
				return false;
			}

			rows.push(...page.value.rows);
			// A row that is written between two pages may be missing in the later ones.
			version ??= page.value.version;
			rest = page.value.hasMore ? {...range, from: `${page.value.rows.at(-1)!.key}\0`} : undefined;
		}

		this.#applyRange(rows, version!);
		this.#closedGapCount = Math.max(this.#closedGapCount, gapCount);
		this.#update(askedAtMs);
		return true;
	}

	/**
	 * Reads all requests, and repeats a read that fails.
	 *
	 * @param isNeeded - Whether to go on.
	 */
	async readWhile(isNeeded: () => boolean): Promise<void> {
		while (isNeeded() && !await this.read()) {
			await sleep(CHECK_INTERVAL_MS);
		}
	}

	/** Reads the requests at the start and whenever the feed does not show all of them, until {@link EvacuationFollower.stop} is called. */
	async run(): Promise<void> {
		while (!this.#isStopped) {
			if (this.#closedGapCount !== this.#gapCount || this.#clock.monotonicMs() - this.#confirmedAtMs >= MAX_CONFIRMATION_AGE_MS) {
				await this.read();
			}

			await sleep(CHECK_INTERVAL_MS);
		}
	}

	/** Stops {@link EvacuationFollower.run}. */
	stop(): void {
		this.#isStopped = true;
	}

	#applyRange(rows: readonly StoredRow[], version: number): void {
		for (const row of rows) {
			this.#applyIfNewer(row, 'read');
		}

		const present = new Set(rows.map(row => row.key));
		for (const [key, known] of this.#rows) {
			if (!present.has(key) && known.version < version) {
				this.#applyIfNewer({table: this.#source.table, key, value: undefined, version, isRemoved: true}, 'read');
			}
		}
	}

	#applyIfNewer(row: StoredRow, origin: string): void {
		const {table, prefix, decode} = this.#source;
		const known = this.#rows.get(row.key);
		if (row.table !== table || !row.key.startsWith(prefix) || row.version <= (known?.version ?? 0)) {
			return;
		}

		const evacuation = decode(row);
		const isRequested = evacuation?.isRequested ?? false;
		this.#rows.set(row.key, {version: row.version, failureDomain: isRequested ? evacuation?.failureDomain : undefined});
		const fields = {failureDomain: evacuation?.failureDomain ?? 'none', rowVersion: row.version, origin};
		if (!evacuation?.isReadable) {
			this.#logger.warn('evacuation unreadable', fields);
		}

		if (isRequested !== (known?.failureDomain !== undefined)) {
			this.#logger.info(isRequested ? 'evacuation requested' : 'evacuation ended', fields);
		}
	}

	#update(confirmedAtMs: number | undefined): void {
		this.#confirmedAtMs = Math.max(this.#confirmedAtMs, confirmedAtMs ?? this.#confirmedAtMs);
		this.#failureDomains = new Set([...this.#rows.values()].map(({failureDomain}) => failureDomain).filter(failureDomain => failureDomain !== undefined));
		this.#listener?.();
	}
}
