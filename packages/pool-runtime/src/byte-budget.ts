/** Time without progress after which a connection may be closed while the budget is short; a client that sends or reads pauses for less. */
export const STALL_MS = 500;

/** Connections that hold at most this much may use the whole budget, so that ordinary requests are served beside large ones. */
const SMALL_HOLDING_BYTES = 32 * 1024;

/** Share of the budget for all other connections. */
const LARGE_HOLDING_SHARE = 0.75;

/** What a budget knows of a connection. */
export interface BudgetHolder {
	/** Bytes reserved for the connection. */
	readonly heldBytes: number;
	/** Whether the connection has carried calls of the system itself. */
	readonly isTrusted: boolean;
	/** Time without progress; undefined while a request is being handled, so that the connection must stay. */
	readonly stalledMs: number | undefined;
	/** Closes the connection and releases what it holds. */
	closeFor(reason: string): void;
}

/** Bytes that the connections of one listener may hold together, for requests being read and answers not yet taken. */
export class ByteBudget {
	readonly #limitBytes: number;
	readonly #holders: Iterable<BudgetHolder>;
	#heldBytes = 0;

	/**
	 * @param limitBytes - Largest sum.
	 * @param holders - The connections that are open now.
	 */
	constructor(limitBytes: number, holders: Iterable<BudgetHolder>) {
		this.#limitBytes = limitBytes;
		this.#holders = holders;
	}

	/** Bytes that are reserved. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/**
	 * Reserves bytes, and closes stalled connections if there are not enough.
	 *
	 * @param holder - The connection that needs them.
	 * @param bytes - How many more it needs.
	 * @returns Whether they are reserved.
	 */
	reserve(holder: BudgetHolder, bytes: number): boolean {
		const mayUseAll = holder.isTrusted || holder.heldBytes + bytes <= SMALL_HOLDING_BYTES;
		const limitBytes = mayUseAll ? this.#limitBytes : this.#limitBytes * LARGE_HOLDING_SHARE;
		this.#closeStalled(holder, limitBytes - bytes);
		if (this.#heldBytes + bytes > limitBytes) {
			return false;
		}

		this.#heldBytes += bytes;
		return true;
	}

	/** Counts bytes that are already in memory, such as an answer, and closes stalled connections if the sum is too large. */
	add(holder: BudgetHolder, bytes: number): void {
		this.#heldBytes += bytes;
		this.#closeStalled(holder, this.#limitBytes);
	}

	/** @param bytes - Reserved bytes that are no longer needed. */
	release(bytes: number): void {
		this.#heldBytes -= bytes;
	}

	/** Closes the connections that hold most for longest until the sum is small enough or none is stalled. */
	#closeStalled(except: BudgetHolder, targetBytes: number): void {
		if (this.#heldBytes <= targetBytes) {
			return;
		}

		const weighted: Array<{readonly holder: BudgetHolder; readonly weight: number}> = [];
		for (const holder of this.#holders) {
			const {heldBytes, stalledMs} = holder;
			if (holder !== except && stalledMs !== undefined && stalledMs >= STALL_MS && heldBytes > 0) {
				weighted.push({holder, weight: heldBytes * stalledMs});
			}
		}

		weighted.sort((left, right) => right.weight - left.weight);
		for (const {holder} of weighted) {
			if (this.#heldBytes <= targetBytes) {
				return;
			}

			holder.closeFor('budget');
		}
	}
}
