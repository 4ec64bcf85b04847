import type {ClusterState} from './cluster-state.js';
import {placeGang, type PlacementView} from './gang-placement.js';
import type {JobEntry} from './job-entry.js';
import type {JobPlacer} from './job-placer.js';
import {addTo, limitsOf} from './scalar-resources.js';
import type {ReclaimPlan} from './reclaim-planner.js';
import type {PlacedTask} from './scheduler.js';
import type {Grant, WorkerState} from './worker-state.js';

/** Racks tried for one job; more would cost too much in one decision. */
const MAX_RACKS_TRIED = 8;

/** Jobs moved for one job; each move costs a checkpoint. */
const MAX_MOVED_JOBS = 4;

/** Plans moves of running jobs that let a waiting job use idle accelerators which do not lie together. */
export class MigrationPlanner {
	readonly #cluster: ClusterState;
	readonly #placer: JobPlacer;

	/**
	 * @param cluster - The workers.
	 * @param placer - Finds places.
	 */
	constructor(cluster: ClusterState, placer: JobPlacer) {
		this.#cluster = cluster;
		this.#placer = placer;
	}

	/**
	 * Plans moves. Every job that is moved has another place at once, so no work is put off for the waiting job.
	 *
	 * @param entry - The waiting job.
	 * @param jobs - All jobs by id.
	 * @param mayMove - Whether a running job may be moved.
	 * @param accepts - Whether a worker may be used for a job.
	 * @returns The plan with the fewest moved accelerators, or undefined.
	 */
	plan(
		entry: JobEntry,
		jobs: ReadonlyMap<string, JobEntry>,
		mayMove: (job: JobEntry) => boolean,
		accepts: (job: JobEntry, worker: WorkerState) => boolean,
	): ReclaimPlan | undefined {
		if (this.#cluster.idle().accelerators < entry.accelerators) {
			return undefined;
		}

		const keeps = (grant: Grant): boolean => {
			const job = jobs.get(grant.jobId);
			return grant.fixed || !job || !mayMove(job);
		};

		const views = this.#cluster.views(entry.spec, worker => accepts(entry, worker), keeps)
			.toSorted((left, right) => this.#busy(left) - this.#busy(right));
		const racks = [...new Set(views.map(view => view.rack))];
		const choices = racks.length > 1 && racks.length <= MAX_RACKS_TRIED
			? racks.map(rack => views.filter(view => view.rack === rack))
			: [views];
		let best: {readonly plan: ReclaimPlan; readonly moved: number} | undefined;
		for (const choice of choices) {
			const tasks = this.#placer.place(entry.spec, choice, 'first');
			const victims = tasks && this.#victims(tasks, keeps);
			if (!victims || victims.size === 0 || victims.size > MAX_MOVED_JOBS) {
				continue;
			}

			let moved = 0;
			for (const jobId of victims) {
				moved += jobs.get(jobId)!.accelerators;
			}

			if ((!best || moved < best.moved) && this.#canMoveAll(entry, tasks, [...victims].map(jobId => jobs.get(jobId)!), accepts)) {
				best = {plan: {tasks, victims}, moved};
			}
		}

		return best?.plan;
	}

	#busy(view: PlacementView): number {
		return this.#cluster.workers.get(view.workerId)!.free.filter(free => !free).length;
	}

	/** Only jobs on the accelerators themselves are moved; a place that lacks another limit is given up. */
	#victims(tasks: readonly PlacedTask[], keeps: (grant: Grant) => boolean): ReadonlySet<string> {
		const victims = new Set<string>();
		for (const task of tasks) {
			for (const grant of this.#cluster.workers.get(task.workerId)!.grants.values()) {
				if (!keeps(grant) && grant.accelerators.some(number => task.accelerators.includes(number))) {
					victims.add(grant.jobId);
				}
			}
		}

		return victims;
	}

	/** Tries to place the moved jobs, largest first, on what is idle once the waiting job has its place. */
	#canMoveAll(
		entry: JobEntry,
		tasks: readonly PlacedTask[],
		moved: readonly JobEntry[],
		accepts: (job: JobEntry, worker: WorkerState) => boolean,
	): boolean {
		const ids = new Set(moved.map(job => job.job.jobId));
		const taken: Array<readonly [JobEntry, readonly PlacedTask[]]> = [[entry, tasks]];
		for (const job of moved.toSorted((left, right) => right.accelerators - left.accelerators)) {
			const views = this.#cluster.views(job.spec, worker => accepts(job, worker), grant => !ids.has(grant.jobId));
			const found = placeGang(job.spec, views.map(view => without(view, taken)), 'best');
			if (!found) {
				return false;
			}

			taken.push([job, found]);
		}

		// The room of every worker has to suffice for what comes to it.
		return taken[0]![1].every(task => this.#hasRoom(entry, task.workerId, tasks, ids));
	}

	#hasRoom(entry: JobEntry, workerId: string, tasks: readonly PlacedTask[], moved: ReadonlySet<string>): boolean {
		const worker = this.#cluster.workers.get(workerId)!;
		const room = [...worker.room];
		for (const grant of worker.grants.values()) {
			if (moved.has(grant.jobId)) {
				addTo(room, grant.charge);
			}
		}

		addTo(room, limitsOf(entry.spec.shape), -tasks.filter(task => task.workerId === workerId).length);
		return room.every(amount => amount >= 0);
	}
}

function without(view: PlacementView, taken: ReadonlyArray<readonly [JobEntry, readonly PlacedTask[]]>): PlacementView {
	const free = [...view.free];
	const room = [...view.room];
	for (const [job, tasks] of taken) {
		for (const task of tasks) {
			if (task.workerId !== view.workerId) {
				continue;
			}

			addTo(room, limitsOf(job.spec.shape), -1);
			for (const number of task.accelerators) {
				free[number] = false;
			}
		}
	}

	return {...view, free, room};
}
