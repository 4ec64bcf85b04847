import {setImmediate} from 'node:timers/promises';
import {ManualClock} from '@amaranthsail/core';

type ScheduledCallback = {readonly atMs: number; readonly sequence: number; readonly callback: () => void};

/** Runs callbacks in virtual time. Promises that need no timer settle between two callbacks. */
export class VirtualTime {
	readonly clock = new ManualClock(1_000_000);
	/** Binary heap, ordered by time and then by insertion. */
	readonly #heap: ScheduledCallback[] = [];
	#nextSequence = 0;

	/** Virtual monotonic time in milliseconds. */
	get nowMs(): number {
		return this.clock.monotonicMs();
	}

	/**
	 * Schedules a callback.
	 *
	 * @param delayMs - Delay from the current virtual time.
	 * @param callback - The callback.
	 */
	schedule(delayMs: number, callback: () => void): void {
		const scheduled = {atMs: this.nowMs + delayMs, sequence: this.#nextSequence++, callback};
		const heap = this.#heap;
		heap.push(scheduled);
		let index = heap.length - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(scheduled, heap[parent]!)) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = scheduled;
	}

	/**
	 * Advances the virtual time and runs all callbacks that become due.
	 *
	 * @param durationMs - Time to advance by.
	 */
	async advance(durationMs: number): Promise<void> {
		const endMs = this.nowMs + durationMs;
		await setImmediate();
		for (let next = this.#heap[0]; next && next.atMs <= endMs; next = this.#heap[0]) {
			this.#removeNext();
			this.clock.advance(Math.max(0, next.atMs - this.nowMs));
			next.callback();
			// Calls to the in-memory services settle in microtasks, so one turn of the event loop completes all of them.
			await setImmediate();
		}

		this.clock.advance(endMs - this.nowMs);
	}

	#removeNext(): void {
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

function isBefore(left: ScheduledCallback, right: ScheduledCallback): boolean {
	return left.atMs < right.atMs || (left.atMs === right.atMs && left.sequence < right.sequence);
}
