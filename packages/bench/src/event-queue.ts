type Event = {readonly atMs: number; readonly order: number; readonly run: () => void};

function isBefore(left: Event, right: Event): boolean {
	return left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);
}

/** Events of a virtual clock in order of time, equal times in order of scheduling. */
export class EventQueue {
	readonly #heap: Event[] = [];
	#scheduled = 0;

	/**
	 * Schedules an event.
	 *
	 * @param atMs - Its time.
	 * @param run - What happens.
	 */
	schedule(atMs: number, run: () => void): void {
		const event = {atMs, order: this.#scheduled++, run};
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
	 * Takes the next event.
	 *
	 * @returns The event, or undefined when there is none.
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
