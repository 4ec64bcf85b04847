type ScheduledEvent = {readonly atMs: number; readonly sequence: number; readonly run: () => void};

function isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
	return left.atMs < right.atMs || (left.atMs === right.atMs && left.sequence < right.sequence);
}

/** Priority queue of the events of a virtual clock: ordered by time, and by order of scheduling at equal times. */
export class EventQueue {
	readonly #heap: ScheduledEvent[] = [];
	#scheduledCount = 0;

	/**
	 * Schedules an event.
	 *
	 * @param atMs - Time of the event.
	 * @param run - Callback of the event.
	 */
	schedule(atMs: number, run: () => void): void {
		const event = {atMs, sequence: this.#scheduledCount++, run};
		let index = this.#heap.push(event) - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(event, this.#heap[parent]!)) {
				break;
			}

			this.#heap[index] = this.#heap[parent]!;
			index = parent;
		}

		this.#heap[index] = event;
	}

	/**
	 * Removes the next event.
	 *
	 * @returns The event; undefined if the queue is empty.
	 */
	next(): {readonly atMs: number; readonly run: () => void} | undefined {
		const first = this.#heap[0];
		const last = this.#heap.pop();
		if (!first || !last || first === last) {
			return first;
		}

		let index = 0;
		for (;;) {
			let child = (2 * index) + 1;
			if (child >= this.#heap.length) {
				break;
			}

			if (child + 1 < this.#heap.length && isBefore(this.#heap[child + 1]!, this.#heap[child]!)) {
				child++;
			}

			if (!isBefore(this.#heap[child]!, last)) {
				break;
			}

			this.#heap[index] = this.#heap[child]!;
			index = child;
		}

		this.#heap[index] = last;
		return first;
	}
}
