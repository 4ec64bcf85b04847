import {FaultPlan, MemoryTableStore, type FaultKind} from '@amaranthsail/backing-services';

type Hooks = {beforeTransact?: () => Promise<void>};

/** In-memory table store with scripted faults. */
export class FaultyTableStore extends MemoryTableStore {
	/** Faults of the next transactions, in order. */
	readonly transactFaults: FaultKind[] = [];
	/** Faults of the first reads after a transaction, in order. */
	readonly readBackFaults: FaultKind[] = [];
	/** Fault of all other reads. */
	readFault: FaultKind = 'none';
	readonly #hooks: Hooks;
	#hasTransacted = false;

	constructor() {
		const hooks: Hooks = {};
		super(new FaultPlan(undefined, async () => {
			const {beforeTransact} = hooks;
			hooks.beforeTransact = undefined;
			await beforeTransact?.();
		}));
		this.#hooks = hooks;
		this.faults.use(({operation}) => {
			if (operation === 'transact') {
				this.#hasTransacted = true;
				return {kind: this.transactFaults.shift() ?? 'none', delayMs: hooks.beforeTransact ? 1 : 0};
			}

			return {kind: (this.#hasTransacted ? this.readBackFaults.shift() : undefined) ?? this.readFault};
		});
	}

	/** Runs a hook once before the next transaction takes effect, to simulate a change by another process. */
	beforeNextTransact(hook: () => Promise<void>): void {
		this.#hooks.beforeTransact = hook;
	}

	/** Deletes a row, which the code under test never does. */
	async deleteRow(table: string, key: string): Promise<void> {
		await this.transact({writeId: 'drop', conditions: [], writes: [{table, key, value: undefined}]});
	}
}
