import type {Clock} from '@amaranthsail/core';

/** Knowledge that all versions of the configuration row up to this one have been replaced, and since when that is known. */
type Replacement = {readonly rowVersion: number; readonly sinceMs: number};

/** What is known of the newest configuration: when the known one was the newest, and since when it is known not to be. */
export class ConfigFreshness {
	readonly #clock: Clock;
	#knownRowVersion = 0;
	#confirmedAtMs = Number.NEGATIVE_INFINITY;
	#storeReceivedAtMs = Number.NEGATIVE_INFINITY;
	#replacements: readonly Replacement[] = [];

	/** @param clock - Source of time. */
	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Milliseconds since the known configuration was confirmed to be the newest. */
	get ageMs(): number {
		return this.#clock.monotonicMs() - this.#confirmedAtMs;
	}

	/** Milliseconds since the store last sent a part of an answer. */
	get storeSilentMs(): number {
		return this.#clock.monotonicMs() - this.#storeReceivedAtMs;
	}

	/** Milliseconds since the known configuration was first known to be replaced; 0 if it is not. */
	get behindMs(): number {
		const replacement = this.#replacements.find(({rowVersion}) => rowVersion >= this.#knownRowVersion);
		return replacement ? this.#clock.monotonicMs() - replacement.sinceMs : 0;
	}

	/** Records that a part of an answer of the store has arrived. */
	recordReceived(): void {
		this.#storeReceivedAtMs = this.#clock.monotonicMs();
	}

	/** @param rowVersion - Version of the configuration row that is known from now on. */
	recordKnown(rowVersion: number): void {
		this.#knownRowVersion = rowVersion;
		this.#replacements = this.#replacements.filter(replacement => replacement.rowVersion >= rowVersion);
	}

	/** @param asOfMs - Time at which the known configuration was the newest; what was heard up to then has proved wrong. */
	recordConfirmed(asOfMs: number): void {
		this.#confirmedAtMs = Math.max(this.#confirmedAtMs, asOfMs);
		this.#replacements = this.#replacements.filter(({sinceMs}) => sinceMs > this.#confirmedAtMs);
	}

	/** @param rowVersion - Version of the configuration row that another entry has. */
	recordAnnounced(rowVersion: number): void {
		this.#recordReplaced(rowVersion - 1);
	}

	/**
	 * Withdraws an announcement that has proved wrong. Announcements come from other processes and may be malformed.
	 *
	 * @param rowVersion - The version that was announced.
	 */
	withdrawAnnounced(rowVersion: number): void {
		this.#replacements = this.#replacements.filter(replacement => replacement.rowVersion !== rowVersion - 1);
	}

	#recordReplaced(rowVersion: number): void {
		if (rowVersion >= this.#knownRowVersion && this.#replacements.length === 0) {
			this.#replacements = [{rowVersion, sinceMs: this.#clock.monotonicMs()}];
		}
	}
}
