/** Requests served by the platform since its start or the last reset of the counters. */
export type Counters = {
	/** Reads of one row, and scans. */
	reads: number;
	/** Rows returned by reads and scans. */
	rowsRead: number;
	/** Transactions received. */
	transactions: number;
	/** Rows written by transactions that were answered with success. */
	writes: number;
	/** Transactions refused by a condition. */
	conditionsFailed: number;
	/** Objects received, read and deleted. */
	objects: number;
};

/**
 * Creates counters at zero.
 *
 * @returns The counters.
 */
export function createCounters(): Counters {
	return {
		reads: 0, rowsRead: 0, transactions: 0, writes: 0, conditionsFailed: 0, objects: 0,
	};
}
