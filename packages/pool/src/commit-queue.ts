import type {RowWrite} from './ports.js';

/** Writes of one transaction, and what follows once they are stored. */
export type Commit = {
	readonly writes: readonly RowWrite[];
	/** Tells the parts that enqueued the writes that they are stored. */
	complete(): void;
};

type Group = {readonly writes: readonly RowWrite[]; readonly onStored: () => void};

/** Most writes of one transaction; the store takes 100 entries, conditions included. */
const MAX_WRITES = 90;

/** Queue of the leader's writes: groups are stored whole and in order, many in one transaction. */
export class CommitLog {
	readonly #groups: Group[] = [];

	/** Whether anything waits to be stored. */
	get isEmpty(): boolean {
		return this.#groups.length === 0;
	}

	/**
	 * Adds writes that take effect together.
	 *
	 * @param writes - At most 90 writes; none for a step that only has to follow the earlier ones.
	 * @param onStored - Called once they are stored.
	 */
	enqueue(writes: readonly RowWrite[], onStored: () => void): void {
		this.#groups.push({writes, onStored});
	}

	/**
	 * Adds removals of any number; they need not take effect together.
	 *
	 * @param rows - The rows.
	 * @param onStored - Called once for each part that is stored.
	 */
	enqueueRemovals(rows: ReadonlyArray<{readonly table: string; readonly key: string}>, onStored: () => void): void {
		for (let start = 0; start < rows.length; start += MAX_WRITES) {
			this.enqueue(rows.slice(start, start + MAX_WRITES).map(({table, key}) => ({table, key, value: undefined})), onStored);
		}
	}

	/**
	 * Takes the next transaction.
	 *
	 * @returns The commit, or undefined when nothing waits.
	 */
	next(): Commit | undefined {
		const taken: Group[] = [];
		const writes = new Map<string, RowWrite>();
		while (this.#groups.length > 0) {
			const group = this.#groups[0]!;
			if (taken.length > 0 && writes.size + group.writes.length > MAX_WRITES) {
				break;
			}

			this.#groups.shift();
			taken.push(group);
			for (const write of group.writes) {
				writes.set(`${write.table}/${write.key}`, write);
			}
		}

		if (taken.length === 0) {
			return undefined;
		}

		return {
			writes: [...writes.values()],
			complete() {
				for (const group of taken) {
					group.onStored();
				}
			},
		};
	}
}
