import {setImmediate} from 'node:timers/promises';
import {ManualClock} from '@amaranthsail/core';

type Entry = {readonly atMs: number; readonly order: number; readonly run: () => void};

/** Runs callbacks on virtual time. Promises that need no timer settle between two callbacks. */
export class VirtualTime {
	readonly clock = new ManualClock(1_000_000);
	/** A binary heap by time, then by order of insertion. */
	readonly #heap: Entry[] = [];
	#order = 0;

	/** Virtual monotonic milliseconds. */
	get nowMs(): number {
		return this.clock.monotonicMs();
	}

	/**
	 * Schedules a callback.
	 *
	 * @param delayMs - Time from now.
	 * @param run - The callback.
	 */
	after(delayMs: number, run: () => void): void {
		const entry = {atMs: this.nowMs + delayMs, order: this.#order++, run};
		const heap = this.#heap;
		heap.push(entry);
		let index = heap.length - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(entry, heap[parent]!)) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = entry;
	}

	/**
	 * Moves time forward and runs everything that is due.
	 *
	 * @param durationMs - How far.
	 */
	async advance(durationMs: number): Promise<void> {
		const untilMs = this.nowMs + durationMs;
		await setImmediate();
		for (let next = this.#heap[0]; next && next.atMs <= untilMs; next = this.#heap[0]) {
			this.#pop();
			this.clock.advance(Math.max(0, next.atMs - this.nowMs));
			next.run();
			// Calls to the in-memory services settle in microtasks; one turn lets all of them finish.
			await setImmediate();
		}

		this.clock.advance(untilMs - this.nowMs);
	}

	#pop(): void {
		const heap = this.#heap;
		const last = heap.pop()!;
		if (heap.length === 0) {
			return;
		}

		let index = 0;
		for (;;) {
			let child = (2 * index) + 1;
			if (child >= heap.length) {
				break;
			}

			if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
				child += 1;
			}

			if (!isBefore(heap[child]!, last)) {
				break;
			}

			heap[index] = heap[child]!;
			index = child;
		}

		heap[index] = last;
	}
}

function isBefore(left: Entry, right: Entry): boolean {
	return left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);
}
