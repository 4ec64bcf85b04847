import {addShapes, EMPTY_SHAPE} from './capacity.js';
import {type Guarantees, URGENT_PRIORITY} from './guarantees.js';
import {type Run, RUN_PHASES} from './job-model.js';
import type {TaskShape} from './model.js';
import type {PendingUnit} from './pending-units.js';
import {lostCoreSeconds} from './lost-work.js';
import type {PoolContext} from './pool-context.js';
import type {Victim} from './preemption.js';

/** Core-seconds that put urgent work behind all less urgent work as a victim. */
const URGENT_VICTIM_PENALTY = 1e5;

/** Work that may be stopped, and a run through which to stop it. */
export type StoppableUnit = {readonly victim: Victim; readonly run: Run};

/**
 * Lists what may be stopped for an urgent unit: less urgent work, and urgent work beyond its account's guarantee.
 *
 * @param unit - What is to be placed.
 * @param context - State of the pool.
 * @param guarantees - What the accounts are owed and use.
 * @returns The candidates; the work that a stop loses is their cost.
 */
export function listVictims(unit: PendingUnit, context: PoolContext, guarantees: Guarantees): readonly StoppableUnit[] {
	const nowMs = context.nowMs();
	const excess = unit.isOwed ? guarantees.excessOfOthers(unit.step.job.account) : new Map<string, number>();
	const found: StoppableUnit[] = [];
	for (const runs of stoppableUnits(unit.service, context)) {
		const [run] = runs;
		const {job, spec} = run!.task.step;
		const isUrgent = context.queueOf(job)?.priority === URGENT_PRIORITY;
		if (isUrgent) {
			const left = (excess.get(job.account) ?? 0) - (runs.length * spec.shape.accelerators);
			if (left < 0) {
				continue;
			}

			excess.set(job.account, left);
		}

		const shapes = new Map<string, TaskShape>();
		let lost = isUrgent ? URGENT_VICTIM_PENALTY : 0;
		for (const member of runs) {
			shapes.set(member.life, addShapes(shapes.get(member.life) ?? EMPTY_SHAPE, spec.shape));
			lost += lostCoreSeconds(member, nowMs);
		}

		found.push({victim: {id: unitIdOf(run!), shapes, lostCoreSeconds: lost}, run: run!});
	}

	return found;
}

/** Runs of a service that are not being stopped, the members of a gang together, the newest job first. */
function stoppableUnits(service: string, context: PoolContext): ReadonlyArray<readonly Run[]> {
	const units = new Map<string, Run[]>();
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
			}
		}
	}

	return [...units.values()].toSorted((left, right) => right[0]!.task.step.job.knownAtMs - left[0]!.task.step.job.knownAtMs);
}

function unitIdOf(run: Run): string {
	const {step} = run.task;
	return step.spec.isGang ? `${step.job.id}.${step.occurrence}.${step.number}` : run.task.name;
}
