import type {RowWrite} from './ports.js';

/** The writes of one transaction. */
export type Commit = {
	readonly writes: readonly RowWrite[];
	/** The groups of writes in this transaction, each as a commit of its own. */
	readonly groups: readonly Commit[];
	/** Runs the callbacks of the writes; called once they are stored. */
	complete(): void;
	/** Keeps the callbacks that depend on these writes from being called; called when the store has rejected them. */
	drop(): void;
};

/** Groups that a callback depends on. */
type Scope = {isDropped: boolean};

/** `scope` holds all groups that `onStored` depends on; `outerScope` the groups of a call of {@link CommitQueue.enqueueAll}. */
type WriteGroup = {readonly writes: readonly RowWrite[]; readonly onStored: () => void; readonly scope: Scope; readonly outerScope: Scope | undefined};

/** Largest number of writes in one transaction; the store accepts 100 entries, including conditions. */
const MAX_TRANSACTION_WRITES = 90;

/** Queue of the leader's pending writes: groups are stored whole and in order, several in one transaction. */
export class CommitQueue {
	readonly #groups: WriteGroup[] = [];
	#outerScope: Scope | undefined;

	/** Whether no writes are pending. */
	get isEmpty(): boolean {
		return this.#groups.length === 0;
	}

	/** Number of pending writes. */
	get length(): number {
		return this.#groups.reduce((sum, {writes}) => sum + writes.length, 0);
	}

	/**
	 * Adds a group of writes. Up to 90 take effect together; a larger group is stored in several transactions, in order.
	 *
	 * @param writes - The writes; none to only have `onStored` called after the earlier groups, stored or not.
	 * @param onStored - Called once all writes are stored.
	 */
	enqueue(writes: readonly RowWrite[], onStored: () => void): void {
		const scope: Scope = {isDropped: false};
		const outerScope = this.#outerScope;
		let start = 0;
		for (; writes.length - start > MAX_TRANSACTION_WRITES; start += MAX_TRANSACTION_WRITES) {
			this.#groups.push({
				writes: writes.slice(start, start + MAX_TRANSACTION_WRITES), onStored: () => undefined, scope, outerScope,
			});
		}

		this.#groups.push({
			writes: writes.slice(start), onStored, scope, outerScope,
		});
	}

	/**
	 * Has a callback depend on all groups that a function adds.
	 *
	 * @param addGroups - Adds the groups.
	 * @param onStored - Called once all of them are stored; never if the store rejects one.
	 */
	enqueueAll(addGroups: () => void, onStored: () => void): void {
		const scope: Scope = {isDropped: false};
		this.#outerScope = scope;
		try {
			addGroups();
		} finally {
			this.#outerScope = undefined;
		}

		this.#groups.push({
			writes: [], onStored, scope, outerScope: undefined,
		});
	}

	/**
	 * Adds any number of removals; they need not take effect together.
	 *
	 * @param rows - The rows to remove.
	 * @param onStored - Called once for each group of removals that is stored.
	 */
	enqueueRemovals(rows: ReadonlyArray<{readonly table: string; readonly key: string}>, onStored: () => void): void {
		for (let start = 0; start < rows.length; start += MAX_TRANSACTION_WRITES) {
			this.enqueue(rows.slice(start, start + MAX_TRANSACTION_WRITES).map(({table, key}) => ({table, key, value: undefined})), onStored);
		}
	}

	/**
	 * Takes the next transaction.
	 *
	 * @returns The commit, or undefined when no writes are pending.
	 */
	takeNext(): Commit | undefined {
		const takenGroups: WriteGroup[] = [];
		const writes = new Map<string, RowWrite>();
		while (this.#groups.length > 0) {
			const group = this.#groups[0]!;
			if (takenGroups.length > 0 && writes.size + group.writes.length > MAX_TRANSACTION_WRITES) {
				break;
			}

			this.#groups.shift();
			takenGroups.push(group);
			for (const write of group.writes) {
				writes.set(`${write.table}/${write.key}`, write);
			}
		}

		if (takenGroups.length === 0) {
			return undefined;
		}

		return createCommit([...writes.values()], takenGroups);
	}
}

function createCommit(writes: readonly RowWrite[], groups: readonly WriteGroup[]): Commit {
	return {
		writes,
		get groups() {
			return groups.map(group => createCommit(group.writes, [group]));
		},
		complete() {
			for (const {scope, onStored} of groups) {
				if (!scope.isDropped) {
					onStored();
				}
			}
		},
		drop() {
			for (const {scope, outerScope} of groups) {
				scope.isDropped = true;
				if (outerScope) {
					outerScope.isDropped = true;
				}
			}
		},
	};
}
