import type {JobRow} from '@amaranthsail/core';

/** A caller that waits for a job. */
type Waiter = {
	readonly waiterId: string;
	readonly expiresAtMs: number;
	/** Whether a durable cancellation satisfies the waiter as well as a final state. */
	readonly isForCancellation: boolean;
};

/** The answer to one waiter; `row` is undefined when the wait timed out or the job is unknown. */
export type WaiterAnswer = {readonly waiterId: string; readonly row: JobRow | undefined};

/** Registry of callers that wait for jobs. */
export class Waiters {
	readonly #byJob = new Map<string, Waiter[]>();

	/**
	 * Adds a waiter.
	 *
	 * @param jobId - The job.
	 * @param waiter - The waiter; its expiry is in monotonic milliseconds.
	 */
	add(jobId: string, waiter: Waiter): void {
		this.#byJob.set(jobId, [...this.#byJob.get(jobId) ?? [], waiter]);
	}

	/**
	 * Removes and answers the waiters that a row satisfies.
	 *
	 * @param jobId - The job.
	 * @param row - The confirmed row, or undefined when there is no such job.
	 * @param isCancellationOnly - Whether the row is not final and only records a cancellation.
	 * @returns The answers to send.
	 */
	takeSatisfied(jobId: string, row: JobRow | undefined, isCancellationOnly = false): readonly WaiterAnswer[] {
		const waiters = this.#byJob.get(jobId) ?? [];
		this.#setWaiters(jobId, waiters.filter(waiter => isCancellationOnly && !waiter.isForCancellation));
		return waiters.filter(waiter => !isCancellationOnly || waiter.isForCancellation).map(({waiterId}) => ({waiterId, row}));
	}

	/**
	 * Removes and answers the waiters that have expired.
	 *
	 * @param nowMs - Monotonic milliseconds; infinity expires all waiters.
	 * @returns Answers without a row.
	 */
	takeExpired(nowMs: number): readonly WaiterAnswer[] {
		const answers: WaiterAnswer[] = [];
		for (const [jobId, waiters] of this.#byJob) {
			const expired = waiters.filter(waiter => waiter.expiresAtMs <= nowMs);
			if (expired.length === 0) {
				continue;
			}

			answers.push(...expired.map(({waiterId}) => ({waiterId, row: undefined})));
			this.#setWaiters(jobId, waiters.filter(waiter => waiter.expiresAtMs > nowMs));
		}

		return answers;
	}

	#setWaiters(jobId: string, waiters: Waiter[]): void {
		if (waiters.length === 0) {
			this.#byJob.delete(jobId);
			return;
		}

		this.#byJob.set(jobId, waiters);
	}
}
