import type {ClusterState} from './cluster-state.js';
import {placeGang, type Fit, type PlacementView} from './gang-placement.js';
import type {JobEntry} from './job-entry.js';
import {addTo, limitsOf} from './scalar-resources.js';
import type {PlacedTask} from './scheduler.js';
import type {WorkerState} from './worker-state.js';

/** A running job and when it is expected to end. */
export type ExpectedEnd = {readonly jobId: string; readonly atMs: number};

/** Space kept for a large job; work that ends before `atMs` may still use it. */
export type Reservation = {readonly entry: JobEntry; readonly tasks: readonly PlacedTask[]; readonly atMs: number};

/**
 * Finds the earliest time at which a job is expected to fit.
 *
 * @param entry - The waiting job.
 * @param cluster - The workers.
 * @param ends - The running jobs, earliest end first.
 * @param options - Which workers may be used and how to choose among places.
 * @returns The place and time, or undefined when the job does not fit even without the running jobs.
 */
export function reserve(
	entry: JobEntry,
	cluster: ClusterState,
	ends: readonly ExpectedEnd[],
	options: {readonly accepts: (worker: WorkerState) => boolean; readonly fit: Fit},
): Reservation | undefined {
	const endOrder = new Map(ends.map((end, index) => [end.jobId, index]));
	const tasksAfter = (endedCount: number): readonly PlacedTask[] | undefined => {
		const views = cluster.views(entry.spec, options.accepts, grant => (endOrder.get(grant.jobId) ?? Infinity) >= endedCount);
		return placeGang(entry.spec, views, options.fit);
	};

	let low = 0;
	let high = ends.length;
	let tasks = tasksAfter(high);
	if (!tasks) {
		return undefined;
	}

	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		const found = tasksAfter(middle);
		if (found) {
			tasks = found;
			high = middle;
		} else {
			low = middle + 1;
		}
	}

	return {entry, tasks, atMs: high === 0 ? 0 : ends[high - 1]!.atMs};
}

/**
 * Takes reserved space out of views for work that would end too late.
 *
 * @param views - The views.
 * @param reservations - The reservations in force.
 * @param endsAtMs - When the work is expected to end.
 * @returns The views without the space of reservations that begin earlier.
 */
export function withoutReserved(
	views: readonly PlacementView[],
	reservations: readonly Reservation[],
	endsAtMs: number,
): readonly PlacementView[] {
	const inForce = reservations.filter(reservation => reservation.atMs < endsAtMs);
	if (inForce.length === 0) {
		return views;
	}

	return views.map(view => {
		const free = [...view.free];
		const room = [...view.room];
		for (const {entry, tasks} of inForce) {
			for (const task of tasks.filter(candidate => candidate.workerId === view.workerId)) {
				addTo(room, limitsOf(entry.spec.shape), -1);
				for (const number of task.accelerators) {
					free[number] = false;
				}
			}
		}

		return {...view, free, room};
	});
}
