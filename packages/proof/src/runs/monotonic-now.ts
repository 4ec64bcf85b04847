import {SystemClock} from '@amaranthsail/core';

const clock = new SystemClock();

/**
 * Reads the clock that the times of executions are on.
 *
 * @returns Milliseconds of the machine's monotonic clock.
 */
export function monotonicNowMs(): number {
	return clock.monotonicMs();
}
