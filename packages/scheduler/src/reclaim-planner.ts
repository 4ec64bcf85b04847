import type {JobSpec} from '@amaranthsail/core';
import type {ClusterState} from './cluster-state.js';
import type {FitStrategy, PlacementView} from './gang-placement.js';
import type {GuaranteeGuard} from './guarantee-guard.js';
import type {JobPlacer} from './job-placer.js';
import {addScaled, fitsWithin, scalarAmountsOf} from './scalar-resources.js';
import type {PlacedTask} from './scheduler.js';
import type {Allocation, WorkerState} from './worker-state.js';

/** A placement for a job and the jobs that have to be preempted for it, by a reclaim or a migration. */
export type PreemptionPlan = {readonly tasks: readonly PlacedTask[]; readonly victims: ReadonlySet<string>};

/** Selects the jobs to preempt for a job within its account's guarantee. */
export class ReclaimPlanner {
	readonly #cluster: ClusterState;
	readonly #guard: GuaranteeGuard;
	readonly #placer: JobPlacer;

	/**
	 * @param cluster - The workers.
	 * @param guard - The guarantees.
	 * @param placer - Finds placements.
	 */
	constructor(cluster: ClusterState, guard: GuaranteeGuard, placer: JobPlacer) {
		this.#cluster = cluster;
		this.#guard = guard;
		this.#placer = placer;
	}

	/**
	 * Plans a reclaim. Jobs within other guarantees are moved only if there is no other way.
	 *
	 * @param spec - The job.
	 * @param isEligible - Whether a worker may be used.
	 * @param isHeldByReclaim - Whether a job holds a placement by another reclaim.
	 * @param fit - How to choose among workers that fit.
	 * @returns The plan, or undefined if no preemption makes the job fit.
	 */
	plan(
		spec: JobSpec,
		isEligible: (worker: WorkerState) => boolean,
		isHeldByReclaim: (jobId: string) => boolean,
		fit: FitStrategy,
	): PreemptionPlan | undefined {
		for (const canMoveGuaranteedJobs of [false, true]) {
			const isKept = (allocation: Allocation): boolean => allocation.isPinned
				|| isHeldByReclaim(allocation.jobId)
				|| (allocation.isWithinGuarantee && (!canMoveGuaranteedJobs || allocation.account === spec.account));
			const views = this.#cluster.placementViews(spec, isEligible, isKept);
			const packing = this.#guard.packAroundGuaranteedJobs(canMoveGuaranteedJobs);
			const ownBlockViews = this.#placer.ownBlockViews(spec.account, views, packing);
			const tasks = this.#placeOnLeastUsedWorker(spec, ownBlockViews, fit)
				?? this.#placeOnLeastUsedWorker(spec, views, fit)
				?? this.#placer.place(spec, views, fit, packing);
			if (tasks) {
				return {tasks, victims: this.#findVictims(spec, tasks, isKept)};
			}
		}

		return undefined;
	}

	/** Prefers the workers with the fewest accelerators in use, which keeps the preempted work small. */
	#placeOnLeastUsedWorker(spec: JobSpec, views: readonly PlacementView[], fit: FitStrategy): readonly PlacedTask[] | undefined {
		if (spec.taskCount > 1) {
			return this.#placer.place(spec, views, fit);
		}

		const usedAccelerators = new Map(views.map(view => [view.workerId, this.#cluster.workers.get(view.workerId)!.freeAccelerators.filter(free => !free).length]));
		return this.#placer.place(spec, views.toSorted((left, right) => usedAccelerators.get(left.workerId)! - usedAccelerators.get(right.workerId)!), 'first');
	}

	#findVictims(spec: JobSpec, tasks: readonly PlacedTask[], isKept: (allocation: Allocation) => boolean): ReadonlySet<string> {
		const victims = new Set<string>();
		for (const workerId of new Set(tasks.map(task => task.workerId))) {
			const worker = this.#cluster.workers.get(workerId)!;
			const tasksOnWorker = tasks.filter(task => task.workerId === workerId);
			const requested = scalarAmountsOf(spec.shape).map(amount => amount * tasksOnWorker.length);
			const accelerators = new Set(tasksOnWorker.flatMap(task => task.accelerators));
			const freeAmounts = [...worker.freeAmounts];
			for (const allocation of worker.allocations.values()) {
				if (victims.has(allocation.jobId) || (!isKept(allocation) && allocation.accelerators.some(number => accelerators.has(number)))) {
					victims.add(allocation.jobId);
					addScaled(freeAmounts, allocation.chargedAmounts);
				}
			}

			// The scalar resources may require further victims; the largest come first, to keep their number low.
			const furtherCandidates = [...worker.allocations.values()]
				.filter(allocation => !victims.has(allocation.jobId) && !isKept(allocation))
				.toSorted((left, right) => right.chargedAmounts[0]! - left.chargedAmounts[0]!);
			for (const allocation of furtherCandidates) {
				if (fitsWithin(requested, freeAmounts)) {
					break;
				}

				victims.add(allocation.jobId);
				addScaled(freeAmounts, allocation.chargedAmounts);
			}
		}

		return victims;
	}
}
