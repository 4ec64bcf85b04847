import type {LogFields, Logger} from '@amaranthsail/core';
import {POOL_EVENTS} from '@amaranthsail/pool';
import type {ProcessMetrics} from '@amaranthsail/pool-runtime';

/**
 * Makes the log of a leader's decisions, which also counts them.
 *
 * @param epoch - Epoch of the leader.
 * @param logger - Receives a line for each decision.
 * @param metrics - Receives counters.
 * @returns Logs one decision.
 */
export function createDecisionLog(epoch: number, logger: Logger, metrics: ProcessMetrics): (event: string, fields: LogFields) => void {
	return (event, fields) => {
		logger.info(event, {epoch, ...fields});
		metrics.count('decisions', {event: event.replaceAll(' ', '_')});
		if (event === POOL_EVENTS.rowUnreadable) {
			metrics.count('unreadable_rows', {table: String(fields.table)});
		} else if (event === POOL_EVENTS.startWithdrawn) {
			metrics.count('withdrawn_starts', {reason: String(fields.reason).replaceAll(' ', '_')});
		}
	};
}
