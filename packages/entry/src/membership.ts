import {newId, type Address, type Clock, type Logger} from '@amaranthsail/core';
import type {TableStore} from '@amaranthsail/backing-services';

/** Table with one row for each entry process. */
export const MEMBERS_TABLE = 'members';

/** Interval at which an entry writes its row and reads those of the others. */
export const MEMBER_REFRESH_INTERVAL_MS = 2000;

/** Time without a change after which the process of a row is treated as ended. */
const MEMBER_TIMEOUT_MS = 10_000;

/** Time without a change after which any entry deletes a row. */
const MEMBER_REMOVAL_DELAY_MS = 60_000;

const MAX_MEMBERS = 200;

/** The row of an entry process. */
export type EntryMember = {
	readonly processId: string;
	readonly host: string;
	readonly port: number;
	readonly region: string;
	readonly failureDomain: string;
	readonly revision: number;
	readonly ready: boolean;
};

type ObservedMember = {readonly member: EntryMember; readonly version: number; readonly unchangedSinceMs: number};

/** Dependencies of {@link Membership}. */
export type MembershipOptions = {
	readonly tables: TableStore;
	readonly clock: Clock;
	readonly logger: Logger;
	/** Returns the current row of this process. */
	readonly describe: () => EntryMember;
};

/** Membership of the entries: writes the row of this process and reads those of the others. */
export class Membership {
	readonly #options: MembershipOptions;
	#observedMembers = new Map<string, ObservedMember>();

	/**
	 * @param options - The dependencies.
	 */
	constructor(options: MembershipOptions) {
		this.#options = options;
	}

	/** The other entries whose row changed within the timeout. */
	get others(): readonly EntryMember[] {
		const {clock, describe} = this.#options;
		const ownId = describe().processId;
		return [...this.#observedMembers.values()]
			.filter(observed => clock.monotonicMs() - observed.unchangedSinceMs < MEMBER_TIMEOUT_MS && observed.member.processId !== ownId)
			.map(observed => observed.member);
	}

	/**
	 * Finds the HTTP address of an entry.
	 *
	 * @param processId - The id of the entry process.
	 * @returns Its address, or undefined when it is not known.
	 */
	addressOf(processId: string): Address | undefined {
		const member = this.#observedMembers.get(processId)?.member;
		return member && {host: member.host, port: member.port};
	}

	/** Writes the row of this process, reads all rows and deletes those of ended processes. */
	async refresh(): Promise<void> {
		const {tables, logger, describe} = this.#options;
		const self = describe();
		const writeResult = await tables.transact({
			writeId: newId(),
			conditions: [],
			writes: [{table: MEMBERS_TABLE, key: self.processId, value: {...self}}],
		});
		if (!writeResult.ok) {
			logger.warn('member row not written', {error: writeResult.error});
		}

		const rows = await tables.scan(MEMBERS_TABLE, {limit: MAX_MEMBERS});
		if (!rows.ok) {
			logger.warn('member rows not read', {error: rows.error});
			return;
		}

		const nowMs = this.#options.clock.monotonicMs();
		const previous = this.#observedMembers;
		this.#observedMembers = new Map(rows.value.map(row => {
			const observed = previous.get(row.key);
			const unchangedSinceMs = observed?.version === row.version ? observed.unchangedSinceMs : nowMs;
			return [row.key, {member: row.value as EntryMember, version: row.version, unchangedSinceMs}];
		}));
		await this.#removeStaleRows(nowMs);
	}

	/** Deletes the row of this process at the end of a graceful shutdown. */
	async leave(): Promise<void> {
		const key = this.#options.describe().processId;
		await this.#options.tables.transact({writeId: newId(), conditions: [], writes: [{table: MEMBERS_TABLE, key, value: undefined}]});
	}

	async #removeStaleRows(nowMs: number): Promise<void> {
		for (const [key, observed] of this.#observedMembers) {
			if (nowMs - observed.unchangedSinceMs < MEMBER_REMOVAL_DELAY_MS) {
				continue;
			}

			await this.#options.tables.transact({
				writeId: newId(),
				conditions: [{table: MEMBERS_TABLE, key, version: observed.version}],
				writes: [{table: MEMBERS_TABLE, key, value: undefined}],
			});
		}
	}
}
