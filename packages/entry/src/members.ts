import {newId, type Address, type Clock, type Logger} from '@amaranthsail/core';
import type {TableStore} from '@amaranthsail/backing-services';

/** Table of the entries. */
export const MEMBERS_TABLE = 'members';

/** How often an entry writes its row and reads those of the others. */
export const MEMBER_INTERVAL_MS = 2000;

/** A row that has not changed for this long belongs to a process that has gone. */
const MEMBER_TIMEOUT_MS = 10_000;

/** A row that has not changed for this long is deleted by whoever sees it. */
const MEMBER_REMOVAL_MS = 60_000;

const MAX_MEMBERS = 200;

/** An entry process as its row describes it. */
export type Member = {
	readonly processId: string;
	readonly host: string;
	readonly port: number;
	readonly region: string;
	readonly failureDomain: string;
	readonly revision: number;
	readonly ready: boolean;
};

type Seen = {readonly member: Member; readonly version: number; readonly sinceMs: number};

/** What {@link Members} needs. */
export type MembersOptions = {
	readonly tables: TableStore;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Describes this process now. */
	readonly describe: () => Member;
};

/** Keeps the row of this process and knows the other entries. */
export class Members {
	readonly #options: MembersOptions;
	#seen = new Map<string, Seen>();

	/**
	 * @param options - What it needs.
	 */
	constructor(options: MembersOptions) {
		this.#options = options;
	}

	/** The other entries that have written their row lately. */
	get others(): readonly Member[] {
		const {clock, describe} = this.#options;
		const self = describe().processId;
		return [...this.#seen.values()]
			.filter(seen => clock.monotonicMs() - seen.sinceMs < MEMBER_TIMEOUT_MS && seen.member.processId !== self)
			.map(seen => seen.member);
	}

	/**
	 * Finds the HTTP address of an entry.
	 *
	 * @param processId - The entry.
	 * @returns Its address, or undefined when it is not known.
	 */
	addressOf(processId: string): Address | undefined {
		const member = this.#seen.get(processId)?.member;
		return member && {host: member.host, port: member.port};
	}

	/** Writes the row of this process, reads all rows and deletes those of processes that have gone. */
	async refresh(): Promise<void> {
		const {tables, logger, describe} = this.#options;
		const self = describe();
		const written = await tables.transact({
			writeId: newId(),
			conditions: [],
			writes: [{table: MEMBERS_TABLE, key: self.processId, value: {...self}}],
		});
		if (!written.ok) {
			logger.warn('member row not written', {error: written.error});
		}

		const rows = await tables.scan(MEMBERS_TABLE, {limit: MAX_MEMBERS});
		if (!rows.ok) {
			logger.warn('members not read', {error: rows.error});
			return;
		}

		const nowMs = this.#options.clock.monotonicMs();
		const previous = this.#seen;
		this.#seen = new Map(rows.value.map(row => {
			const known = previous.get(row.key);
			const sinceMs = known?.version === row.version ? known.sinceMs : nowMs;
			return [row.key, {member: row.value as Member, version: row.version, sinceMs}];
		}));
		await this.#removeGone(nowMs);
	}

	/** Deletes the row of this process, at the end of a graceful shutdown. */
	async leave(): Promise<void> {
		const key = this.#options.describe().processId;
		await this.#options.tables.transact({writeId: newId(), conditions: [], writes: [{table: MEMBERS_TABLE, key, value: undefined}]});
	}

	async #removeGone(nowMs: number): Promise<void> {
		for (const [key, seen] of this.#seen) {
			if (nowMs - seen.sinceMs < MEMBER_REMOVAL_MS) {
				continue;
			}

			await this.#options.tables.transact({
				writeId: newId(),
				conditions: [{table: MEMBERS_TABLE, key, version: seen.version}],
				writes: [{table: MEMBERS_TABLE, key, value: undefined}],
			});
		}
	}
}
