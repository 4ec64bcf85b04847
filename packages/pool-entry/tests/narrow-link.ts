import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	err, ok, type ManualClock, type Result,
} from '@amaranthsail/core';
import type {
	KeyRange, RowPage, StoredRow, StoreError,
} from '@amaranthsail/pool';
import {MemoryPoolStore} from './support.js';

/** Time by which the virtual clock advances at once. */
const STEP_MS = 10;

/** Turns of the event loop after which everything that an answer has caused has run. */
const TURNS_PER_STEP = 4;

type Progress = ((receivedBytes: number) => boolean) | undefined;

type Transfer = {bytesLeft: number; receivedBytes: number; isCancelled: boolean; readonly onProgress: Progress; readonly end: () => void};

/** A store at the other end of a link whose transfers share its bandwidth, on a virtual clock. */
export class NarrowLinkStore extends MemoryPoolStore {
	/** Bytes of rows that have crossed the link. */
	transferredBytes = 0;
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

	override async follow(table: string, afterVersion = 0, waitMs = 0, onProgress?: Progress): Promise<Result<RowPage, StoreError>> {
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
				transfer.isCancelled = transfer.onProgress?.(transfer.receivedBytes) === false;
				this.transferredBytes += share;
			}

			const ended = this.#active.filter(({bytesLeft, isCancelled}) => bytesLeft <= 0 || isCancelled);
			this.#active = this.#active.filter(transfer => !ended.includes(transfer));
			for (const resolve of [...ended.map(({end}) => end), ...this.#waiting.splice(0)]) {
				resolve();
			}

			for (let turn = 0; turn < TURNS_PER_STEP; turn++) {
				await nextTurn();
			}
		}
	}

	async #transfer(page: RowPage, onProgress?: Progress): Promise<Result<RowPage, StoreError>> {
		let bytes = 0;
		for (const {version} of page.rows) {
			bytes += this.#rowBytes.get(version) ?? 0;
		}

		if (bytes === 0) {
			return ok(page);
		}

		const transfer: Transfer = await new Promise(resolve => {
			const active: Transfer = {
				bytesLeft: bytes, receivedBytes: 0, isCancelled: false, onProgress, end() {
					resolve(active);
				},
			};
			this.#active.push(active);
		});
		return transfer.isCancelled ? err({kind: 'outcome_unknown', message: 'cancelled'}) : ok(page);
	}
}
