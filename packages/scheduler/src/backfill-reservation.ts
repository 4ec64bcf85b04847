import type {ClusterState} from './cluster-state.js';
import {placeGang, type FitStrategy, type PlacementView} from './gang-placement.js';
import type {JobEntry} from './job-entry.js';
import {addScaled, scalarAmountsOf} from './scalar-resources.js';
import type {PlacedTask} from './scheduler.js';
import type {WorkerState} from './worker-state.js';

/** The expected end of a running job. */
export type ExpectedEnd = {readonly jobId: string; readonly endsAtMs: number};

/** Capacity reserved for a waiting job. Backfill may use it for work that ends by `startsAtMs`. */
export type Reservation = {readonly entry: JobEntry; readonly tasks: readonly PlacedTask[]; readonly startsAtMs: number};

/**
 * Finds the earliest time at which a job is expected to fit.
 *
 * @param entry - The waiting job.
 * @param cluster - The workers.
 * @param ends - The running jobs, earliest end first.
 * @param options - Which workers may be used and how to choose among those that fit.
 * @returns The reservation, or undefined if the job does not fit even without the running jobs.
 */
export function findReservation(
	entry: JobEntry,
	cluster: ClusterState,
	ends: readonly ExpectedEnd[],
	options: {readonly isEligible: (worker: WorkerState) => boolean; readonly fit: FitStrategy},
): Reservation | undefined {
	const endOrder = new Map(ends.map((end, index) => [end.jobId, index]));
	const placeAfter = (endedCount: number): readonly PlacedTask[] | undefined => {
		const views = cluster.placementViews(entry.spec, options.isEligible, allocation => (endOrder.get(allocation.jobId) ?? Infinity) >= endedCount);
		return placeGang(entry.spec, views, options.fit);
	};

	let low = 0;
	let high = ends.length;
	let tasks = placeAfter(high);
	if (!tasks) {
		return undefined;
	}

	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		const found = placeAfter(middle);
		if (found) {
			tasks = found;
			high = middle;
		} else {
			low = middle + 1;
		}
	}

	return {entry, tasks, startsAtMs: high === 0 ? 0 : ends[high - 1]!.endsAtMs};
}

/**
 * Removes reserved capacity from views for work that would end too late.
 *
 * @param views - The views.
 * @param reservations - The active reservations.
 * @param endsAtMs - When the work is expected to end.
 * @returns The views without the capacity of reservations that start before that time.
 */
export function excludeReserved(
	views: readonly PlacementView[],
	reservations: readonly Reservation[],
	endsAtMs: number,
): readonly PlacementView[] {
	const conflicting = reservations.filter(reservation => reservation.startsAtMs < endsAtMs);
	if (conflicting.length === 0) {
		return views;
	}

	return views.map(view => {
		const freeAccelerators = [...view.freeAccelerators];
		const freeAmounts = [...view.freeAmounts];
		for (const {entry, tasks} of conflicting) {
			for (const task of tasks.filter(candidate => candidate.workerId === view.workerId)) {
				addScaled(freeAmounts, scalarAmountsOf(entry.spec.shape), -1);
				for (const number of task.accelerators) {
					freeAccelerators[number] = false;
				}
			}
		}

		return {...view, freeAccelerators, freeAmounts};
	});
}
