import type {JobSpec} from '@amaranthsail/core';
import type {ClusterState} from './cluster-state.js';
import type {Fit, PlacementView} from './gang-placement.js';
import type {GuaranteeGuard} from './guarantee-guard.js';
import type {JobPlacer} from './job-placer.js';
import {addTo, fitsWithin, limitsOf} from './scalar-resources.js';
import type {PlacedTask} from './scheduler.js';
import type {Grant, WorkerState} from './worker-state.js';

/** A place for a job and the jobs that have to stop for it. */
export type ReclaimPlan = {readonly tasks: readonly PlacedTask[]; readonly victims: ReadonlySet<string>};

/** Finds out which jobs to stop for a job that is inside its account's guarantee. */
export class ReclaimPlanner {
	readonly #cluster: ClusterState;
	readonly #guard: GuaranteeGuard;
	readonly #placer: JobPlacer;

	/**
	 * @param cluster - The workers.
	 * @param guard - The guarantees.
	 * @param placer - Finds places.
	 */
	constructor(cluster: ClusterState, guard: GuaranteeGuard, placer: JobPlacer) {
		this.#cluster = cluster;
		this.#guard = guard;
		this.#placer = placer;
	}

	/**
	 * Plans a reclaim. Work inside other guarantees is moved only when there is no other way.
	 *
	 * @param spec - The job.
	 * @param accepts - Whether a worker may be used.
	 * @param isPlanned - Whether a job holds space of another reclaim.
	 * @param fit - How to choose among places.
	 * @returns The plan, or undefined when nothing helps.
	 */
	plan(
		spec: JobSpec,
		accepts: (worker: WorkerState) => boolean,
		isPlanned: (jobId: string) => boolean,
		fit: Fit,
	): ReclaimPlan | undefined {
		for (const mayMove of [false, true]) {
			const keeps = (grant: Grant): boolean => grant.fixed
				|| isPlanned(grant.jobId)
				|| (grant.inside && (!mayMove || grant.account === spec.account));
			const views = this.#cluster.views(spec, accepts, keeps);
			const packing = this.#guard.packAroundInsideWork(mayMove);
			const own = this.#placer.ownBlocks(spec.account, views, packing);
			const tasks = this.#placeCheaply(spec, own, fit)
				?? this.#placeCheaply(spec, views, fit)
				?? this.#placer.place(spec, views, fit, packing);
			if (tasks) {
				return {tasks, victims: this.#victims(spec, tasks, keeps)};
			}
		}

		return undefined;
	}

	/** Prefers the workers where the fewest accelerators are in use. */
	#placeCheaply(spec: JobSpec, views: readonly PlacementView[], fit: Fit): readonly PlacedTask[] | undefined {
		if (spec.taskCount > 1) {
			return this.#placer.place(spec, views, fit);
		}

		const busy = new Map(views.map(view => [view.workerId, this.#cluster.workers.get(view.workerId)!.free.filter(free => !free).length]));
		return this.#placer.place(spec, views.toSorted((left, right) => busy.get(left.workerId)! - busy.get(right.workerId)!), 'first');
	}

	#victims(spec: JobSpec, tasks: readonly PlacedTask[], keeps: (grant: Grant) => boolean): ReadonlySet<string> {
		const victims = new Set<string>();
		for (const workerId of new Set(tasks.map(task => task.workerId))) {
			const worker = this.#cluster.workers.get(workerId)!;
			const here = tasks.filter(task => task.workerId === workerId);
			const wanted = limitsOf(spec.shape).map(amount => amount * here.length);
			const accelerators = new Set(here.flatMap(task => task.accelerators));
			const room = [...worker.room];
			for (const grant of worker.grants.values()) {
				if (victims.has(grant.jobId) || (!keeps(grant) && grant.accelerators.some(number => accelerators.has(number)))) {
					victims.add(grant.jobId);
					addTo(room, grant.charge);
				}
			}

			// The other limits may need further jobs to stop; the largest first, so that few do.
			const further = [...worker.grants.values()]
				.filter(grant => !victims.has(grant.jobId) && !keeps(grant))
				.toSorted((left, right) => right.charge[0]! - left.charge[0]!);
			for (const grant of further) {
				if (fitsWithin(wanted, room)) {
					break;
				}

				victims.add(grant.jobId);
				addTo(room, grant.charge);
			}
		}

		return victims;
	}
}
