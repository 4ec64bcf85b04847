import {type Guarantees, URGENT_PRIORITY} from './guarantees.js';
import {
	FINAL_STATES, isStepDone, isStepReady, type Job, objectiveAtMs, remainingCriticalPathMs, type StepState, type Task,
} from './job-model.js';
import type {PoolContext} from './pool-context.js';

/**
 * How late a job ends even if it starts at once. Jobs that can still meet their objective are placed before jobs
 * that cannot.
 */
export const PUNCTUALITY = {onTime: 0, late: 1, tooLate: 2} as const;

/** One of {@link PUNCTUALITY}. */
export type Punctuality = (typeof PUNCTUALITY)[keyof typeof PUNCTUALITY];

/** A job that ends after this multiple of the time to its objective is of little use to its caller. */
const TOO_LATE_FACTOR = 3;

/**
 * Time for which a step that preempted other work goes before others. The longest stop takes 0.9 s, so capacity that
 * is not free after this time will not come from the preemption.
 */
const PREEMPTION_CLAIM_MS = 2000;

/** A task, or all members of a gang, waiting for free capacity. */
export type PendingUnit = {
	readonly step: StepState;
	readonly tasks: readonly Task[];
	readonly priority: number;
	readonly service: string;
	/** Time by which the job has to end to be on time, on the leader's clock. */
	readonly objectiveMs: number;
	readonly punctuality: Punctuality;
	/** Leader's clock from which this leader could have placed it. */
	readonly waitingSinceMs: number;
	/** Other work has recently been stopped for its step. */
	readonly hasPreempted: boolean;
	/** It fits into the account's guarantee together with the account's urgent work that runs or is placed before it. */
	isCoveredByGuarantee: boolean;
};

/**
 * Lists the units that wait for free capacity, in the order in which they are placed.
 *
 * The order matters under peak load, when not all jobs can be on time: by priority, then units covered by a
 * guarantee, then units for which other work has been stopped (if another unit took that capacity, more work would
 * have to be stopped), then by punctuality, then by the time at which the job has to end.
 *
 * @param context - State of the pool.
 * @param guarantees - Guarantees of the accounts and their use.
 * @param nowMs - Leader's clock.
 * @returns The units.
 */
export function listPendingUnits(context: PoolContext, guarantees: Guarantees, nowMs: number): readonly PendingUnit[] {
	const units: PendingUnit[] = [];
	for (const job of context.jobs.values()) {
		const queue = context.queueOf(job);
		if (job.isEnding || job.isCancelled || job.hasUnreadableRows || FINAL_STATES.has(job.state) || !queue) {
			continue;
		}

		const objectiveMs = objectiveAtMs(job, queue);
		const common = {
			priority: queue.priority, service: queue.service, objectiveMs, punctuality: punctualityOf(job, objectiveMs, nowMs), isCoveredByGuarantee: false,
		};
		for (const step of pendingSteps(job, nowMs)) {
			const hasPreempted = step.lastPreemptionAtMs !== undefined && nowMs - step.lastPreemptionAtMs < PREEMPTION_CLAIM_MS;
			units.push(...waitingTasks(step).map(tasks => ({
				step, tasks, waitingSinceMs: Math.max(context.takenOverAtMs, step.readyAtMs ?? nowMs, ...tasks.map(task => task.endedAtMs ?? 0)), hasPreempted, ...common,
			})));
		}
	}

	const byUrgency = units.toSorted((left, right) => left.priority - right.priority || left.objectiveMs - right.objectiveMs);
	markCoveredByGuarantee(byUrgency, guarantees);
	return byUrgency.toSorted((left, right) => left.priority - right.priority
		|| Number(right.isCoveredByGuarantee) - Number(left.isCoveredByGuarantee)
		|| Number(right.hasPreempted) - Number(left.hasPreempted)
		|| left.punctuality - right.punctuality
		|| left.objectiveMs - right.objectiveMs);
}

function punctualityOf(job: Job, objectiveMs: number, nowMs: number): Punctuality {
	const endMs = nowMs + remainingCriticalPathMs(job);
	if (endMs <= objectiveMs) {
		return PUNCTUALITY.onTime;
	}

	return endMs <= job.acceptedAtLeaderClockMs + (TOO_LATE_FACTOR * (objectiveMs - job.acceptedAtLeaderClockMs)) ? PUNCTUALITY.late : PUNCTUALITY.tooLate;
}

function markCoveredByGuarantee(units: readonly PendingUnit[], guarantees: Guarantees): void {
	const usedByAccount = new Map<string, number>();
	for (const unit of units) {
		if (unit.priority !== URGENT_PRIORITY) {
			return;
		}

		const {account} = unit.step.job;
		const usedWithUnit = (usedByAccount.get(account) ?? guarantees.inUseBy(account)) + (unit.tasks.length * unit.step.spec.shape.accelerators);
		unit.isCoveredByGuarantee = usedWithUnit <= guarantees.guaranteeOf(account);
		if (unit.isCoveredByGuarantee) {
			usedByAccount.set(account, usedWithUnit);
		}
	}
}

function pendingSteps(job: Job, nowMs: number): readonly StepState[] {
	const steps: StepState[] = [];
	for (const occurrence of job.occurrences) {
		for (const step of occurrence.steps) {
			if (!isStepDone(step) && isStepReady(step, occurrence)) {
				step.readyAtMs ??= nowMs;
				steps.push(step);
			}
		}
	}

	return steps;
}

/** @returns The groups of tasks to place together: the whole gang, or each waiting task alone. */
function waitingTasks(step: StepState): ReadonlyArray<readonly Task[]> {
	if (step.spec.isGang) {
		return step.tasks.every(task => !task.run) ? [step.tasks] : [];
	}

	return step.tasks.filter(task => !task.isDone && !task.run).map(task => [task]);
}
