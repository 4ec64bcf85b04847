/** Longest time for which a worker holds a poll unless a run ends earlier; also bounds the age of its lists. */
const WORKER_POLL_WAIT_MS = 1000;

/** Wait of a poll while answers get lost, so that a lost renewal is repeated sooner. */
const UNRELIABLE_POLL_WAIT_MS = 200;

/** Delay before the next poll after one that failed. */
export const WORKER_RETRY_DELAY_MS = 150;

/** Time after an unanswered poll for which further ones are expected. */
const UNANSWERED_POLL_MEMORY_MS = 3000;

/**
 * @param sinceUnansweredMs - Time since the last poll without an answer.
 * @returns Time for which the worker may hold the next poll.
 */
export function pollWaitMs(sinceUnansweredMs: number): number {
	return sinceUnansweredMs < UNANSWERED_POLL_MEMORY_MS ? UNRELIABLE_POLL_WAIT_MS : WORKER_POLL_WAIT_MS;
}
