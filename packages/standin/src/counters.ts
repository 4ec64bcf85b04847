/** What the platform has served since it started or the counters were reset. */
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
 * Makes counters at zero.
 *
 * @returns The counters.
 */
export function newCounters(): Counters {
	return {
		reads: 0, rowsRead: 0, transactions: 0, writes: 0, conditionsFailed: 0, objects: 0,
	};
}
