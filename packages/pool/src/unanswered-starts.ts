import type {Run} from './job-model.js';
import type {TrackedWorker} from './tracked-worker.js';

/** A call without an answer is carried out within seconds, or never. */
export const MAX_CALL_DELAY_MS = 10_000;

/** An agent that has stood still relays the orders that it then finds, at most this long after they were sent. */
const MAX_RELAY_DELAY_MS = 10_000;

/**
 * Remembers a run that ends while a start of it remains unanswered.
 *
 * @param run - The run.
 * @param worker - Its worker.
 * @param nowMs - Leader's clock.
 */
export function recordEndedUnanswered(run: Run, worker: TrackedWorker, nowMs: number): void {
	for (const [task, {endedAtMs}] of worker.endedUnanswered) {
		if (endedAtMs >= nowMs - MAX_CALL_DELAY_MS) {
			break;
		}

		worker.endedUnanswered.delete(task);
	}

	if (mayStartLate(run, nowMs)) {
		worker.endedUnanswered.delete(run.task.name);
		worker.endedUnanswered.set(run.task.name, {run: run.number, endedAtMs: nowMs});
	}
}

/** @returns Whether a start of the run may still be carried out late. */
export function mayStartLate(run: Run, nowMs: number): boolean {
	const isStartDue = run.unansweredStarts > 0 && nowMs - run.startSentAtMs <= MAX_RELAY_DELAY_MS + MAX_CALL_DELAY_MS;
	return isStartDue || run.keptFor !== undefined;
}
