import {type Guarantees, URGENT_PRIORITY} from './guarantees.js';
import {
	FINAL_STATES, isStepDone, isStepReady, type Job, objectiveAtMs, remainingChainMs, type StepState, type Task,
} from './job-model.js';
import type {PoolContext} from './pool-context.js';

/** How late a job ends even if it starts at once; a job that cannot be on time any more leaves room to one that can. */
export const PROSPECTS = {onTime: 0, late: 1, hopeless: 2} as const;

/** One of {@link PROSPECTS}. */
export type Prospect = (typeof PROSPECTS)[keyof typeof PROSPECTS];

/** A job that ends after this multiple of its objective is of little use to its caller. */
const HOPELESS_FACTOR = 3;

/** The longest stop takes 0.9 s; room that is not there by then will not come from it. */
const MADE_ROOM_MS = 2000;

/** A task, or all members of a gang, that wait for room. */
export type PendingUnit = {
	readonly step: StepState;
	readonly tasks: readonly Task[];
	readonly priority: number;
	readonly service: string;
	/** Time by which the job is on time, on the leader's clock. */
	readonly objectiveMs: number;
	readonly prospect: Prospect;
	/** Leader's clock since which this leader could have placed it. */
	readonly waitingSinceMs: number;
	/** Other work has been stopped for it. */
	readonly hasMadeRoom: boolean;
	/** The account's guarantee covers it together with what the account's urgent work uses. */
	isOwed: boolean;
};

/**
 * Lists what waits for room, in the order in which it is served.
 *
 * Answers the crest, at which not all jobs can be on time: priority first, then what an account is owed,
 * then jobs for which other work has been stopped, as that would have to be done again if another took the room,
 * then jobs that can still be on time before those that cannot, each by the time at which it has to end.
 *
 * @param context - State of the pool.
 * @param guarantees - What the accounts are owed and use.
 * @param nowMs - Leader's clock.
 * @returns The units.
 */
export function listPendingUnits(context: PoolContext, guarantees: Guarantees, nowMs: number): readonly PendingUnit[] {
	const units: PendingUnit[] = [];
	for (const job of context.jobs.values()) {
		const queue = context.queueOf(job);
		if (job.isEnding || job.isCancelled || FINAL_STATES.has(job.state) || !queue) {
			continue;
		}

		const objectiveMs = objectiveAtMs(job, queue);
		const common = {
			priority: queue.priority, service: queue.service, objectiveMs, prospect: prospectOf(job, objectiveMs, nowMs), isOwed: false,
		};
		for (const step of pendingSteps(job, nowMs)) {
			const hasMadeRoom = step.roomMadeSinceMs !== undefined && nowMs - step.roomMadeSinceMs < MADE_ROOM_MS;
			units.push(...waitingTasks(step).map(tasks => ({
				step, tasks, waitingSinceMs: Math.max(context.sinceMs, step.readyAtMs ?? nowMs, ...tasks.map(task => task.endedAtMs ?? 0)), hasMadeRoom, ...common,
			})));
		}
	}

	const byUrgency = units.toSorted((left, right) => left.priority - right.priority || left.objectiveMs - right.objectiveMs);
	markOwed(byUrgency, guarantees);
	return byUrgency.toSorted((left, right) => left.priority - right.priority
		|| Number(right.isOwed) - Number(left.isOwed)
		|| Number(right.hasMadeRoom) - Number(left.hasMadeRoom)
		|| left.prospect - right.prospect
		|| left.objectiveMs - right.objectiveMs);
}

function prospectOf(job: Job, objectiveMs: number, nowMs: number): Prospect {
	const endMs = nowMs + remainingChainMs(job);
	if (endMs <= objectiveMs) {
		return PROSPECTS.onTime;
	}

	return endMs <= job.knownAtMs + (HOPELESS_FACTOR * (objectiveMs - job.knownAtMs)) ? PROSPECTS.late : PROSPECTS.hopeless;
}

function markOwed(units: readonly PendingUnit[], guarantees: Guarantees): void {
	const granted = new Map<string, number>();
	for (const unit of units) {
		if (unit.priority !== URGENT_PRIORITY) {
			return;
		}

		const {account} = unit.step.job;
		const wanted = (granted.get(account) ?? guarantees.inUseBy(account)) + (unit.tasks.length * unit.step.spec.shape.accelerators);
		unit.isOwed = wanted <= guarantees.guaranteeOf(account);
		if (unit.isOwed) {
			granted.set(account, wanted);
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

/** @returns What may be placed at once: the whole gang, or each waiting task. */
function waitingTasks(step: StepState): ReadonlyArray<readonly Task[]> {
	if (step.spec.isGang) {
		return step.tasks.every(task => !task.run) ? [step.tasks] : [];
	}

	return step.tasks.filter(task => !task.isDone && !task.run).map(task => [task]);
}
