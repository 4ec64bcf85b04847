import type {Clock} from '@amaranthsail/core';

/** Time before the end of its bound at which a configuration is not used any more; covers the transit of a request. */
const MARGIN_MS = 300;

/** Longest time until an entry hears of a version that another one has: the interval of its calls to the leader, and the call. */
const MAX_ANNOUNCEMENT_DELAY_MS = 1000;

/** The feed sends something at least every 700 ms while the store is reached. */
const MAX_FEED_INTERVAL_MS = 900;

/** Replacements that are remembered; of more, the later ones are heard of again. */
const MAX_REPLACEMENTS = 16;

/** Ages before the first confirmation are infinite, which JSON cannot express. */
const MAX_LOGGED_AGE_MS = 1e6;

/** @returns An age as a log line states it. */
export function loggedAgeMs(ageMs: number): number {
	return Math.round(Math.min(ageMs, MAX_LOGGED_AGE_MS));
}

/** Knowledge that all versions of the configuration row up to this one have been replaced, and since when that is known. */
type Replacement = {readonly rowVersion: number; readonly sinceMs: number};

/** What is known of the newest configuration: when the known one was the newest, and since when it is known not to be. */
export class ConfigFreshness {
	readonly #clock: Clock;
	#knownRowVersion = 0;
	#confirmedAtMs = Number.NEGATIVE_INFINITY;
	#storeReceivedAtMs = Number.NEGATIVE_INFINITY;
	/** In the order of their times, which is that of their versions. */
	#replacements: readonly Replacement[] = [];
	/** The same by a change that the store is sending, whose version is not known yet. */
	#receiving: Replacement | undefined;
	/** The same by the last answer of the leader. */
	#reportedByLeader: Replacement | undefined;

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
		return this.#longestMs(this.#receiving, this.#replacements[0], this.#reportedByLeader);
	}

	/** The same without what the leader has reported, so that two entries do not confirm each other what neither knows. */
	get ownBehindMs(): number {
		return this.#longestMs(this.#receiving, this.#replacements[0]);
	}

	/**
	 * Whether requests may be answered by the known configuration. The store decides that for as long as it sends anything.
	 * Without it a leader that answers is enough: it names the newest version that any entry has.
	 *
	 * @param boundMs - Time after which a change has to be in force.
	 * @param leaderSilentMs - Time since a leader has answered; 0 in a leader.
	 * @returns Whether the known configuration was the newest within the bound, as far as is known.
	 */
	isUsable(boundMs: number, leaderSilentMs: number): boolean {
		const limitMs = boundMs - MARGIN_MS;
		const isConfirmed = this.ageMs < limitMs || (leaderSilentMs < limitMs && this.storeSilentMs >= MAX_FEED_INTERVAL_MS);
		return isConfirmed && this.behindMs < limitMs - MAX_ANNOUNCEMENT_DELAY_MS;
	}

	/** Records that a part of an answer of the store has arrived. */
	recordReceived(): void {
		this.#storeReceivedAtMs = this.#clock.monotonicMs();
	}

	/** Records that the store has begun to send a change. */
	recordChangeBegun(): void {
		this.#receiving ??= {rowVersion: this.#knownRowVersion, sinceMs: this.#clock.monotonicMs()};
	}

	/** Records that a change has arrived whole. */
	recordChangeReceived(): void {
		this.#receiving = undefined;
	}

	/** @param rowVersion - Version of the configuration row that is known from now on. */
	recordKnown(rowVersion: number): void {
		this.#knownRowVersion = rowVersion;
		this.#dropIrrelevant();
	}

	/** @param asOfMs - Time at which the known configuration was the newest; what was heard up to then has proved wrong. */
	recordConfirmed(asOfMs: number): void {
		this.#confirmedAtMs = Math.max(this.#confirmedAtMs, asOfMs);
		this.#dropIrrelevant();
	}

	/** @param rowVersion - Version of the configuration row that another entry has. */
	recordAnnounced(rowVersion: number): void {
		const replaced: Replacement = {rowVersion: rowVersion - 1, sinceMs: this.#clock.monotonicMs()};
		const isCovered = replaced.rowVersion <= (this.#replacements.at(-1)?.rowVersion ?? Number.NEGATIVE_INFINITY);
		if (replaced.rowVersion >= this.#knownRowVersion && !isCovered && this.#replacements.length < MAX_REPLACEMENTS) {
			this.#replacements = [...this.#replacements, replaced];
		}
	}

	/**
	 * Records what the leader has answered about its configuration.
	 *
	 * @param rowVersion - Version of the configuration row that the leader has.
	 * @param behindMs - Time for which the leader has known that this version is replaced; 0 if it does not know that.
	 */
	recordLeader(rowVersion: number, behindMs: number): void {
		const replacement = {rowVersion, sinceMs: this.#clock.monotonicMs() - behindMs};
		this.#reportedByLeader = behindMs > 0 && this.#isRelevant(replacement) ? replacement : undefined;
	}

	/**
	 * Withdraws an announcement that has proved wrong. Announcements come from other processes and may be malformed.
	 *
	 * @param rowVersion - The version that was announced.
	 */
	withdrawAnnounced(rowVersion: number): void {
		this.#replacements = this.#replacements.filter(replacement => replacement.rowVersion !== rowVersion - 1);
	}

	/** Whether a replacement concerns the known configuration, and has not been refuted by the store since. */
	#isRelevant({rowVersion, sinceMs}: Replacement): boolean {
		return rowVersion >= this.#knownRowVersion && sinceMs > this.#confirmedAtMs;
	}

	#dropIrrelevant(): void {
		const keep = (replacement: Replacement | undefined): Replacement | undefined => replacement && this.#isRelevant(replacement) ? replacement : undefined;
		this.#replacements = this.#replacements.filter(replacement => this.#isRelevant(replacement));
		this.#receiving = keep(this.#receiving);
		this.#reportedByLeader = keep(this.#reportedByLeader);
	}

	#longestMs(...replacements: ReadonlyArray<Replacement | undefined>): number {
		return Math.max(0, ...replacements.map(replacement => replacement ? this.#clock.monotonicMs() - replacement.sinceMs : 0));
	}
}
