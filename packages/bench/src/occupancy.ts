import type {PlacedTask} from '@amaranthsail/scheduler';

/** The bench's own account of which accelerator is in use, kept apart from the scheduler's. */
export class Occupancy {
	readonly #holders = new Map<string, string>();

	/** Accelerators in use. */
	get inUse(): number {
		return this.#holders.size;
	}

	/**
	 * Takes the accelerators of a placement.
	 *
	 * @param jobId - The job.
	 * @param tasks - Its tasks.
	 * @throws Error when one is in use; the scheduler has given it twice.
	 */
	take(jobId: string, tasks: readonly PlacedTask[]): void {
		for (const {workerId, accelerators} of tasks) {
			for (const number of accelerators) {
				const key = `${workerId}/${number}`;
				const holder = this.#holders.get(key);
				if (holder !== undefined) {
					throw new Error(`accelerator ${key} was given to ${jobId} while ${holder} uses it`);
				}

				this.#holders.set(key, jobId);
			}
		}
	}

	/**
	 * Frees the accelerators of a placement.
	 *
	 * @param tasks - The tasks.
	 */
	free(tasks: readonly PlacedTask[]): void {
		for (const {workerId, accelerators} of tasks) {
			for (const number of accelerators) {
				this.#holders.delete(`${workerId}/${number}`);
			}
		}
	}
}
