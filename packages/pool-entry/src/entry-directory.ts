import type {Clock} from '@amaranthsail/core';
import {chooseDeputies, type KnownEntry} from './deputies.js';

/** An entry that has not called the leader for this time is not chosen as a deputy: three calls at the longest interval. */
const MAX_DEPUTY_SILENCE_MS = 2700;

/** Entries that nothing has mentioned for this time are forgotten; their addresses may belong to other VMs by then. */
const MAX_ENTRY_SILENCE_MS = 60_000;

/** How long a choice of deputies is kept. */
const DEPUTY_CHOICE_INTERVAL_MS = 1000;

type SeenEntry = {readonly entry: KnownEntry; readonly atMs: number};

/** The other entries of the region: those that have called this one, and those that others have mentioned. */
export class EntryDirectory {
	readonly #self: KnownEntry;
	readonly #clock: Clock;
	readonly #mentionedAtMs = new Map<string, number>();
	readonly #callers = new Map<string, SeenEntry>();
	#deputies: ReadonlySet<string> = new Set();
	#deputiesChosenAtMs = Number.NEGATIVE_INFINITY;
	#callersAtChoice = 0;

	/**
	 * @param self - This entry.
	 * @param clock - Source of time.
	 */
	constructor(self: KnownEntry, clock: Clock) {
		this.#self = self;
		this.#clock = clock;
	}

	/** Addresses of the other entries, those heard from most recently first. */
	get addresses(): readonly string[] {
		this.#forgetSilent();
		return [...this.#mentionedAtMs].toSorted((left, right) => right[1] - left[1]).map(([address]) => address);
	}

	/** Processor capacity of the largest known entry, this one included. */
	get largestCores(): number {
		return Math.max(this.#self.cores, ...this.#listRecentCallers().map(entry => entry.cores));
	}

	/** @param entry - An entry that has called this one. */
	recordCall({address, failureDomain, cores}: KnownEntry): void {
		const atMs = this.#clock.monotonicMs();
		this.#mentionedAtMs.set(address, atMs);
		this.#callers.set(address, {entry: {address, failureDomain, cores}, atMs});
	}

	/** @param addresses - Entries that have answered, or that an answer names. */
	recordMentioned(addresses: readonly string[]): void {
		for (const address of addresses) {
			this.#mentionedAtMs.set(address, this.#clock.monotonicMs());
		}
	}

	/** @returns Whether an entry is to monitor the leader closely; see {@link chooseDeputies}. */
	isDeputy(address: string): boolean {
		const nowMs = this.#clock.monotonicMs();
		if (nowMs - this.#deputiesChosenAtMs >= DEPUTY_CHOICE_INTERVAL_MS || this.#callers.size !== this.#callersAtChoice) {
			this.#deputies = chooseDeputies(this.#listRecentCallers());
			this.#deputiesChosenAtMs = nowMs;
			this.#callersAtChoice = this.#callers.size;
		}

		return this.#deputies.has(address);
	}

	#listRecentCallers(): readonly KnownEntry[] {
		const sinceMs = this.#clock.monotonicMs() - MAX_DEPUTY_SILENCE_MS;
		return [...this.#callers.values()].filter(seen => seen.atMs >= sinceMs).map(seen => seen.entry);
	}

	#forgetSilent(): void {
		const sinceMs = this.#clock.monotonicMs() - MAX_ENTRY_SILENCE_MS;
		for (const [address, atMs] of this.#mentionedAtMs) {
			if (atMs < sinceMs) {
				this.#mentionedAtMs.delete(address);
				this.#callers.delete(address);
			}
		}
	}
}
