import {addShapes, EMPTY_SHAPE} from './capacity.js';
import {type Guarantees, URGENT_PRIORITY} from './guarantees.js';
import {type Run, RUN_PHASES} from './job-model.js';
import type {TaskShape} from './model.js';
import type {PendingUnit} from './pending-units.js';
import {lostCoreSeconds} from './lost-work.js';
import type {PoolContext} from './pool-context.js';
import type {Victim} from './preemption.js';

/** Core-seconds added to the cost of urgent work, so that all less urgent work is preempted first. */
const URGENT_VICTIM_PENALTY = 1e5;

/** Work that may be stopped, and one of its runs by which to stop it. */
export type StoppableUnit = {readonly victim: Victim; readonly run: Run};

/**
 * Lists the work that may be stopped for an urgent unit: less urgent work and, if the unit is covered by its account's
 * guarantee, urgent work of other accounts beyond theirs.
 *
 * @param unit - The unit to place.
 * @param context - State of the pool.
 * @param guarantees - Guarantees of the accounts and their use.
 * @returns The candidates; the cost of each is the work that is lost if it is stopped.
 */
export function listVictims(unit: PendingUnit, context: PoolContext, guarantees: Guarantees): readonly StoppableUnit[] {
	const nowMs = context.nowMs();
	const excess = unit.isCoveredByGuarantee ? guarantees.excessOfOtherAccounts(unit.step.job.account) : new Map<string, number>();
	const stoppable: StoppableUnit[] = [];
	for (const runs of stoppableUnits(unit.service, context)) {
		const [run] = runs;
		const {job, spec} = run!.task.step;
		const isUrgent = context.queueOf(job)?.priority === URGENT_PRIORITY;
		if (isUrgent) {
			// Guarantees are about accelerators: stopping work without any brings no account back within its guarantee.
			const accelerators = runs.length * spec.shape.accelerators;
			const excessLeft = (excess.get(job.account) ?? 0) - accelerators;
			if (accelerators === 0 || excessLeft < 0) {
				continue;
			}

			excess.set(job.account, excessLeft);
		}

		const shapes = new Map<string, TaskShape>();
		let cost = isUrgent ? URGENT_VICTIM_PENALTY : 0;
		for (const member of runs) {
			shapes.set(member.incarnation, addShapes(shapes.get(member.incarnation) ?? EMPTY_SHAPE, spec.shape));
			cost += lostCoreSeconds(member, nowMs);
		}

		stoppable.push({victim: {id: unitIdOf(run!), shapes, lostCoreSeconds: cost}, run: run!});
	}

	return stoppable;
}

/**
 * Lists the runs of a service that are not being stopped, the members of a gang together, the newest jobs first. Work with
 * a run in an evacuated failure domain is left out, as what runs there continues to its end.
 */
function stoppableUnits(service: string, context: PoolContext): ReadonlyArray<readonly Run[]> {
	const units = new Map<string, Run[]>();
	const evacuated = new Set<string>();
	for (const worker of context.workers.values()) {
		if (worker.facts.service !== service) {
			continue;
		}

		for (const run of worker.runs.values()) {
			if (run.phase !== RUN_PHASES.stopping && !run.task.isDone) {
				const id = unitIdOf(run);
				const members = units.get(id) ?? [];
				members.push(run);
				units.set(id, members);
				if (context.evacuations.has(worker.facts.failureDomain)) {
					evacuated.add(id);
				}
			}
		}
	}

	const stoppable = [...units].filter(([id]) => !evacuated.has(id)).map(([, runs]) => runs);
	return stoppable.toSorted((left, right) => right[0]!.task.step.job.acceptedAtLeaderClockMs - left[0]!.task.step.job.acceptedAtLeaderClockMs);
}

function unitIdOf(run: Run): string {
	const {step} = run.task;
	return step.spec.isGang ? `${step.job.id}.${step.occurrence}.${step.number}` : run.task.name;
}
