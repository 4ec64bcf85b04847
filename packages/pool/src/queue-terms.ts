import type {Queue} from './model.js';

/** What of a queue decides how its accepted jobs are run. */
export type QueueTerms = Pick<Queue, 'service' | 'priority' | 'maxAttempts' | 'stretch' | 'targetLatencyMs'>;

/** @returns The terms under which the queue accepts jobs. */
export function termsOf({service, priority, maxAttempts, stretch, targetLatencyMs}: Queue): QueueTerms {
	return {
		service, priority, maxAttempts, stretch, targetLatencyMs,
	};
}
