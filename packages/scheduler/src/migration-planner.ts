import type {ClusterState} from './cluster-state.js';
import {placeGang, type PlacementView} from './gang-placement.js';
import type {JobEntry} from './job-entry.js';
import type {JobPlacer} from './job-placer.js';
import {addScaled, scalarAmountsOf} from './scalar-resources.js';
import type {PreemptionPlan} from './reclaim-planner.js';
import type {PlacedTask} from './scheduler.js';
import type {Allocation, WorkerState} from './worker-state.js';

/** Largest number of racks that are tried one by one; more would take too long in one decision. */
const MAX_RACKS_TRIED = 8;

/** Largest number of jobs moved for one waiting job; each move costs a checkpoint. */
const MAX_MOVED_JOBS = 4;

/** Plans migrations: moves of running jobs (defragmentation) so that a waiting job can use idle accelerators that are scattered. */
export class MigrationPlanner {
	readonly #cluster: ClusterState;
	readonly #placer: JobPlacer;

	/**
	 * @param cluster - The workers.
	 * @param placer - Finds placements.
	 */
	constructor(cluster: ClusterState, placer: JobPlacer) {
		this.#cluster = cluster;
		this.#placer = placer;
	}

	/**
	 * Plans moves. Every moved job has another placement at once, so no running work is delayed for the waiting job.
	 *
	 * @param entry - The waiting job.
	 * @param jobs - All jobs by id.
	 * @param isMovable - Whether a running job may be moved.
	 * @param isEligible - Whether a worker may be used for a job.
	 * @returns The plan with the fewest moved accelerators, or undefined.
	 */
	plan(
		entry: JobEntry,
		jobs: ReadonlyMap<string, JobEntry>,
		isMovable: (job: JobEntry) => boolean,
		isEligible: (job: JobEntry, worker: WorkerState) => boolean,
	): PreemptionPlan | undefined {
		if (this.#cluster.idleAccelerators().accelerators < entry.accelerators) {
			return undefined;
		}

		const isKept = (allocation: Allocation): boolean => {
			const job = jobs.get(allocation.jobId);
			return allocation.isPinned || !job || !isMovable(job);
		};

		const views = this.#cluster.placementViews(entry.spec, worker => isEligible(entry, worker), isKept)
			.toSorted((left, right) => this.#usedAccelerators(left) - this.#usedAccelerators(right));
		const racks = [...new Set(views.map(view => view.rack))];
		const viewGroups = racks.length > 1 && racks.length <= MAX_RACKS_TRIED
			? racks.map(rack => views.filter(view => view.rack === rack))
			: [views];
		let best: {readonly plan: PreemptionPlan; readonly movedAccelerators: number} | undefined;
		for (const viewGroup of viewGroups) {
			const tasks = this.#placer.place(entry.spec, viewGroup, 'first');
			const victims = tasks && this.#findVictims(tasks, isKept);
			if (!victims || victims.size === 0 || victims.size > MAX_MOVED_JOBS) {
				continue;
			}

			let movedAccelerators = 0;
			for (const jobId of victims) {
				movedAccelerators += jobs.get(jobId)!.accelerators;
			}

			if ((!best || movedAccelerators < best.movedAccelerators) && this.#canMoveAll(entry, tasks, [...victims].map(jobId => jobs.get(jobId)!), isEligible)) {
				best = {plan: {tasks, victims}, movedAccelerators};
			}
		}

		return best?.plan;
	}

	#usedAccelerators(view: PlacementView): number {
		return this.#cluster.workers.get(view.workerId)!.freeAccelerators.filter(free => !free).length;
	}

	/** Only jobs on the chosen accelerators are moved; a placement that lacks another resource is discarded later. */
	#findVictims(tasks: readonly PlacedTask[], isKept: (allocation: Allocation) => boolean): ReadonlySet<string> {
		const victims = new Set<string>();
		for (const task of tasks) {
			for (const allocation of this.#cluster.workers.get(task.workerId)!.allocations.values()) {
				if (!isKept(allocation) && allocation.accelerators.some(number => task.accelerators.includes(number))) {
					victims.add(allocation.jobId);
				}
			}
		}

		return victims;
	}

	/** Checks whether the moved jobs, largest first, fit into the capacity that is idle once the waiting job is placed. */
	#canMoveAll(
		entry: JobEntry,
		tasks: readonly PlacedTask[],
		movedJobs: readonly JobEntry[],
		isEligible: (job: JobEntry, worker: WorkerState) => boolean,
	): boolean {
		const movedIds = new Set(movedJobs.map(job => job.job.jobId));
		const placements: Array<readonly [JobEntry, readonly PlacedTask[]]> = [[entry, tasks]];
		for (const job of movedJobs.toSorted((left, right) => right.accelerators - left.accelerators)) {
			const views = this.#cluster.placementViews(job.spec, worker => isEligible(job, worker), allocation => !movedIds.has(allocation.jobId));
			const found = placeGang(job.spec, views.map(view => excludePlacements(view, placements)), 'best');
			if (!found) {
				return false;
			}

			placements.push([job, found]);
		}

		// Each worker also needs the scalar amounts for the waiting job's tasks.
		return placements[0]![1].every(task => this.#hasFreeAmounts(entry, task.workerId, tasks, movedIds));
	}

	#hasFreeAmounts(entry: JobEntry, workerId: string, tasks: readonly PlacedTask[], movedIds: ReadonlySet<string>): boolean {
		const worker = this.#cluster.workers.get(workerId)!;
		const freeAmounts = [...worker.freeAmounts];
		for (const allocation of worker.allocations.values()) {
			if (movedIds.has(allocation.jobId)) {
				addScaled(freeAmounts, allocation.chargedAmounts);
			}
		}

		addScaled(freeAmounts, scalarAmountsOf(entry.spec.shape), -tasks.filter(task => task.workerId === workerId).length);
		return freeAmounts.every(amount => amount >= 0);
	}
}

function excludePlacements(view: PlacementView, placements: ReadonlyArray<readonly [JobEntry, readonly PlacedTask[]]>): PlacementView {
	const freeAccelerators = [...view.freeAccelerators];
	const freeAmounts = [...view.freeAmounts];
	for (const [job, tasks] of placements) {
		for (const task of tasks) {
			if (task.workerId !== view.workerId) {
				continue;
			}

			addScaled(freeAmounts, scalarAmountsOf(job.spec.shape), -1);
			for (const number of task.accelerators) {
				freeAccelerators[number] = false;
			}
		}
	}

	return {...view, freeAccelerators, freeAmounts};
}
