import type {PlacedTask} from '@amaranthsail/scheduler';

/** Tracks which accelerators are in use, independently of the scheduler, to detect a double allocation. */
export class Occupancy {
	readonly #jobIdByAccelerator = new Map<string, string>();

	/** Number of accelerators in use. */
	get usedCount(): number {
		return this.#jobIdByAccelerator.size;
	}

	/**
	 * Marks the accelerators of a placement as used.
	 *
	 * @param jobId - The job.
	 * @param tasks - Its tasks.
	 * @throws Error when the scheduler has placed a task on an accelerator that is in use.
	 */
	allocate(jobId: string, tasks: readonly PlacedTask[]): void {
		for (const {workerId, accelerators} of tasks) {
			for (const number of accelerators) {
				const key = `${workerId}/${number}`;
				const otherJobId = this.#jobIdByAccelerator.get(key);
				if (otherJobId !== undefined) {
					throw new Error(`accelerator ${key} was allocated to ${jobId} while ${otherJobId} uses it`);
				}

				this.#jobIdByAccelerator.set(key, jobId);
			}
		}
	}

	/**
	 * Marks the accelerators of a placement as free.
	 *
	 * @param tasks - The tasks.
	 */
	release(tasks: readonly PlacedTask[]): void {
		for (const {workerId, accelerators} of tasks) {
			for (const number of accelerators) {
				this.#jobIdByAccelerator.delete(`${workerId}/${number}`);
			}
		}
	}
}
