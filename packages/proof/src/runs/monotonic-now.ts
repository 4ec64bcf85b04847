import {SystemClock} from '@amaranthsail/core';

const clock = new SystemClock();

/**
 * Reads the clock that workers use for the times of executions.
 *
 * @returns Milliseconds of the monotonic clock of the host.
 */
export function monotonicNowMs(): number {
	return clock.monotonicMs();
}
