/** A worker lists 500 ends at a time, so those that stay listed must leave room for the ends of the runs that it still has. */
const MAX_PENDING_ENDS = 250;

type PendingEnd = {readonly task: string; isSettled: boolean};

/**
 * Decides which ends of a worker may be acknowledged. An acknowledgement covers all ends up to a number, so one that has
 * to stay listed also keeps the later ones.
 */
export class EndAcknowledgements {
	/** Ends that are not acknowledged, in the order of their numbers. */
	readonly #pending = new Map<number, PendingEnd>();
	#sequence = 0;

	/** Number of the highest end to acknowledge. */
	get sequence(): number {
		return this.#sequence;
	}

	/** Whether a processed end is not acknowledged yet. */
	get hasPending(): boolean {
		return this.#pending.size > 0;
	}

	/** Whether so many ends have to stay listed that the worker must not get new runs. */
	get isFull(): boolean {
		return this.#pending.size >= MAX_PENDING_ENDS;
	}

	/**
	 * Adds an end that has been processed.
	 *
	 * @param sequence - Its number; higher than those of all earlier ones.
	 * @param task - Name of its task; an empty string for an end that must never be acknowledged.
	 */
	add(sequence: number, task: string): void {
		this.#pending.set(sequence, {task, isSettled: false});
	}

	/** @param sequence - Number of an end whose outcome is stored, or is not needed. */
	settle(sequence: number): void {
		const end = this.#pending.get(sequence);
		if (end) {
			end.isSettled = true;
			this.#advance();
		}
	}

	/** @param hasEnded - Whether the job of a task is known to have ended, so that no end of the task matters. */
	settleEnded(hasEnded: (task: string) => boolean): void {
		for (const end of this.#pending.values()) {
			end.isSettled ||= hasEnded(end.task);
		}

		this.#advance();
	}

	#advance(): void {
		for (const [sequence, end] of this.#pending) {
			if (!end.isSettled) {
				return;
			}

			this.#pending.delete(sequence);
			this.#sequence = sequence;
		}
	}
}
