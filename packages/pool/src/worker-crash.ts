import type {Run} from './job-model.js';
import type {OrderOutcome} from './model.js';
import type {TrackedWorker} from './tracked-worker.js';

/** What is known of a run on a worker that crashed. */
export const CRASH_EVIDENCE = {
	/** The run is known to have started shortly before. */
	atStart: 'atStart',
	/** The run had been at work for longer. */
	duringWork: 'duringWork',
	/** A start was sent and not answered, so the run may never have started. */
	possible: 'possible',
} as const;

/** One of {@link CRASH_EVIDENCE}. */
export type CrashEvidence = (typeof CRASH_EVIDENCE)[keyof typeof CRASH_EVIDENCE];

/** A run that its worker is known to have had for less than this time crashed it at its start; lists are up to 1.8 s old. */
const MAX_START_CRASH_MS = 2000;

/** A lasting task that has worked for this long is not blamed for the crash of its worker, as every worker crashes at some time. */
const MAX_LASTING_CRASH_MS = 60_000;

/**
 * Judges whether a run may have crashed its worker.
 *
 * @param run - A run on a worker that has crashed.
 * @param worker - The worker.
 * @returns What is known of the run, or undefined when it cannot have been the cause.
 */
export function crashEvidenceOf(run: Run, worker: TrackedWorker): CrashEvidence | undefined {
	if (run.knownSinceMs === undefined) {
		return run.unansweredStarts > 0 ? CRASH_EVIDENCE.possible : undefined;
	}

	const workedMs = worker.listsAsOfMs - run.knownSinceMs;
	if (run.task.step.spec.isLasting && workedMs >= MAX_LASTING_CRASH_MS) {
		return undefined;
	}

	return workedMs < MAX_START_CRASH_MS ? CRASH_EVIDENCE.atStart : CRASH_EVIDENCE.duringWork;
}

/**
 * Records the answer to a start order, for {@link crashEvidenceOf}.
 *
 * @param run - The run.
 * @param outcome - Outcome of the order.
 * @param nowMs - Leader's clock.
 */
export function recordStartAnswer(run: Run, outcome: OrderOutcome, nowMs: number): void {
	if (outcome.kind === 'unknown') {
		return;
	}

	run.unansweredStarts--;
	if (outcome.kind === 'done') {
		run.knownSinceMs ??= nowMs;
	}
}
