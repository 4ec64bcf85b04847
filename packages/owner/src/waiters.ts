import type {JobRow} from '@amaranthsail/core';

/** Someone who waits for a job. */
type Waiter = {
	readonly waiterId: string;
	readonly untilMs: number;
	/** Satisfied once the cancellation is durable, not only by a final state. */
	readonly forCancel: boolean;
};

/** An answer for one waiter; undefined when the time is over or the job is unknown. */
export type WaiterAnswer = {readonly waiterId: string; readonly row: JobRow | undefined};

/** Callers that wait for jobs. */
export class Waiters {
	readonly #byJob = new Map<string, Waiter[]>();

	/**
	 * Adds a waiter.
	 *
	 * @param jobId - The job.
	 * @param waiter - Who waits and until when, in monotonic milliseconds.
	 */
	add(jobId: string, waiter: Waiter): void {
		this.#byJob.set(jobId, [...this.#byJob.get(jobId) ?? [], waiter]);
	}

	/**
	 * Takes the waiters that a row satisfies.
	 *
	 * @param jobId - The job.
	 * @param row - The confirmed row, or undefined when there is no such job.
	 * @param onlyForCancel - Whether the row is not final and only records a cancellation.
	 * @returns The answers to give.
	 */
	answer(jobId: string, row: JobRow | undefined, onlyForCancel = false): readonly WaiterAnswer[] {
		const waiters = this.#byJob.get(jobId) ?? [];
		this.#keep(jobId, waiters.filter(waiter => onlyForCancel && !waiter.forCancel));
		return waiters.filter(waiter => !onlyForCancel || waiter.forCancel).map(({waiterId}) => ({waiterId, row}));
	}

	/**
	 * Takes the waiters whose time is over.
	 *
	 * @param nowMs - Monotonic milliseconds; infinity takes all.
	 * @returns Answers without a row.
	 */
	expire(nowMs: number): readonly WaiterAnswer[] {
		const answers: WaiterAnswer[] = [];
		for (const [jobId, waiters] of this.#byJob) {
			const expired = waiters.filter(waiter => waiter.untilMs <= nowMs);
			if (expired.length === 0) {
				continue;
			}

			answers.push(...expired.map(({waiterId}) => ({waiterId, row: undefined})));
			this.#keep(jobId, waiters.filter(waiter => waiter.untilMs > nowMs));
		}

		return answers;
	}

	#keep(jobId: string, waiters: Waiter[]): void {
		if (waiters.length === 0) {
			this.#byJob.delete(jobId);
			return;
		}

		this.#byJob.set(jobId, waiters);
	}
}
