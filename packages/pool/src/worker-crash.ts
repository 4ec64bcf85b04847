import {CRASH_EVIDENCE, type CrashEvidence, type WorkerCrash} from './crash-record.js';
import type {Run} from './job-model.js';
import {type OrderOutcome, REFUSALS} from './model.js';
import {type TrackedWorker, workerIdOf} from './tracked-worker.js';

/** Weights of confirmed crashes; a task is given up at {@link GIVE_UP_WEIGHT}: after two crashes at its start, or three in its work. */
const CRASH_WEIGHTS: Readonly<Record<CrashEvidence, number>> = {
	atStart: 6, atSharedStart: 4, duringWork: 4, possible: 2,
};

/** Weight of a further crash of the same worker, which may be at fault itself. */
const REPEATED_WORKER_WEIGHT = 3;

const GIVE_UP_WEIGHT = 12;

/**
 * A task is given up after this many confirmed crashes, explained or not: the task given up for them may have been another
 * victim. One more if fewer than two of its starts are known.
 */
const MAX_CRASHES = 4;

/** A run that its worker is known to have had for less than this time crashed it at its start; lists are up to 1.8 s old. */
const MAX_START_CRASH_MS = 2000;

/** A lasting task that has worked for this long is not blamed for the crash of its worker, as every worker crashes at some time. */
const MAX_LASTING_CRASH_MS = 60_000;

/**
 * Lists the runs that may have crashed their worker.
 *
 * @param worker - A worker that has crashed.
 * @returns What is known of each run; runs that cannot have been the cause are left out.
 */
export function listCrashEvidence(worker: TrackedWorker): ReadonlyMap<Run, CrashEvidence> {
	const evidenceByRun = new Map<Run, CrashEvidence>();
	for (const run of worker.runs.values()) {
		const evidence = crashEvidenceOf(run, worker);
		if (evidence !== undefined) {
			evidenceByRun.set(run, evidence);
		}
	}

	const startedJobs = new Set([...evidenceByRun].filter(([, evidence]) => evidence !== CRASH_EVIDENCE.duringWork).map(([run]) => run.task.step.job));
	if (startedJobs.size > 1) {
		for (const [run, evidence] of evidenceByRun) {
			if (evidence === CRASH_EVIDENCE.atStart) {
				evidenceByRun.set(run, CRASH_EVIDENCE.atSharedStart);
			}
		}
	}

	return evidenceByRun;
}

/**
 * Records the answer to a start order.
 *
 * @param run - The run.
 * @param outcome - Outcome of the order.
 * @param nowMs - Leader's clock.
 */
export function recordStartAnswer(run: Run, outcome: OrderOutcome, nowMs: number): void {
	// A run that is superseded at its worker may have started and ended there.
	if (outcome.kind === 'unknown' || (outcome.kind === 'refused' && outcome.reason === REFUSALS.superseded)) {
		return;
	}

	run.unansweredStarts--;
	if (outcome.kind === 'done') {
		run.knownSinceMs ??= nowMs;
	}
}

/**
 * Judges whether a task crashes its workers, so that it must not be started again.
 *
 * @param crashes - The workers that crashed while it ran there.
 * @returns Whether the confirmed crashes suffice.
 */
export function isCrashingTask(crashes: readonly WorkerCrash[]): boolean {
	const confirmed = crashes.filter(crash => crash.isConfirmed);
	const knownStarts = confirmed.filter(crash => crash.evidence !== CRASH_EVIDENCE.possible).length;
	return crashWeightOf(crashes) >= GIVE_UP_WEIGHT || confirmed.length >= (knownStarts < 2 ? MAX_CRASHES + 1 : MAX_CRASHES);
}

/**
 * Sums up how strongly the crashes of its workers point to a task.
 *
 * @param crashes - The workers that crashed while it ran there.
 * @returns The weight of the confirmed crashes that no other task explains.
 */
export function crashWeightOf(crashes: readonly WorkerCrash[]): number {
	const workerIds = new Set<string>();
	let weight = 0;
	for (const {life, evidence, isConfirmed, isExplained} of crashes) {
		if (!isConfirmed || isExplained) {
			continue;
		}

		const workerId = workerIdOf(life);
		weight += Math.min(CRASH_WEIGHTS[evidence], workerIds.has(workerId) ? REPEATED_WORKER_WEIGHT : Number.POSITIVE_INFINITY);
		workerIds.add(workerId);
	}

	return weight;
}

function crashEvidenceOf(run: Run, worker: TrackedWorker): CrashEvidence | undefined {
	if (run.knownSinceMs === undefined) {
		return run.unansweredStarts > 0 ? CRASH_EVIDENCE.possible : undefined;
	}

	const workedMs = worker.listsAsOfMs - run.knownSinceMs;
	if (run.task.step.spec.isLasting && workedMs >= MAX_LASTING_CRASH_MS) {
		return undefined;
	}

	return workedMs < MAX_START_CRASH_MS && !run.isRestored ? CRASH_EVIDENCE.atStart : CRASH_EVIDENCE.duringWork;
}
