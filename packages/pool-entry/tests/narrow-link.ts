import {setImmediate as nextTurn} from 'node:timers/promises';
import {ok, type ManualClock, type Result} from '@amaranthsail/core';
import type {
	KeyRange, RowPage, StoredRow, StoreError,
} from '@amaranthsail/pool';
import {MemoryPoolStore} from './support.js';

/** Time by which the virtual clock advances at once. */
const STEP_MS = 10;

/** Turns of the event loop after which everything that an answer has caused has run. */
const TURNS_PER_STEP = 4;

type Transfer = {bytesLeft: number; receivedBytes: number; readonly onProgress: ((receivedBytes: number) => void) | undefined; readonly end: () => void};

/** A store at the other end of a link whose transfers share its bandwidth, on a virtual clock. */
export class NarrowLinkStore extends MemoryPoolStore {
	/** Transfers of a row that have begun. */
	transfers = 0;
	readonly #clock: ManualClock;
	readonly #bytesPerMs: number;
	readonly #rowBytes = new Map<number, number>();
	#active: Transfer[] = [];
	readonly #waiting: Array<() => void> = [];

	constructor(clock: ManualClock, bytesPerMs: number) {
		super();
		this.#clock = clock;
		this.#bytesPerMs = bytesPerMs;
	}

	/** Writes a row whose transfer takes this many bytes. */
	putLarge(table: string, key: string, bytes: number): StoredRow {
		const row = this.put(table, key, {});
		this.#rowBytes.set(row.version, bytes);
		for (const resolve of this.#waiting.splice(0)) {
			resolve();
		}

		return row;
	}

	override async read(table: string, range: KeyRange): Promise<Result<RowPage, StoreError>> {
		const page = await super.read(table, range);
		return page.ok ? this.#transfer(page.value) : page;
	}

	override async follow(table: string, afterVersion = 0, waitMs = 0, onProgress?: (receivedBytes: number) => void): Promise<Result<RowPage, StoreError>> {
		const endMs = this.#clock.monotonicMs() + waitMs;
		while (this.version <= afterVersion && this.#clock.monotonicMs() < endMs) {
			await new Promise<void>(resolve => {
				this.#waiting.push(resolve);
			});
		}

		const rows = [...this.rows.values()].filter(row => row.table === table && row.version > afterVersion);
		return this.#transfer({rows, version: this.version, hasMore: false}, onProgress);
	}

	/** Lets time pass for the clock, the transfers and the calls that wait. */
	async advance(ms: number): Promise<void> {
		for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
			this.#clock.advance(STEP_MS);
			const share = this.#bytesPerMs * STEP_MS / Math.max(1, this.#active.length);
			for (const transfer of this.#active) {
				transfer.bytesLeft -= share;
				transfer.receivedBytes += share;
				transfer.onProgress?.(transfer.receivedBytes);
			}

			const ended = this.#active.filter(({bytesLeft}) => bytesLeft <= 0);
			this.#active = this.#active.filter(({bytesLeft}) => bytesLeft > 0);
			for (const resolve of [...ended.map(({end}) => end), ...this.#waiting.splice(0)]) {
				resolve();
			}

			for (let turn = 0; turn < TURNS_PER_STEP; turn++) {
				await nextTurn();
			}
		}
	}

	async #transfer(page: RowPage, onProgress?: (receivedBytes: number) => void): Promise<Result<RowPage, StoreError>> {
		let bytes = 0;
		for (const {version} of page.rows) {
			bytes += this.#rowBytes.get(version) ?? 0;
		}

		if (bytes > 0) {
			this.transfers++;
			await new Promise<void>(resolve => {
				this.#active.push({
					bytesLeft: bytes, receivedBytes: 0, onProgress, end: resolve,
				});
			});
		}

		return ok(page);
	}
}
