import type {WorkerOrder} from './model.js';

/** Starts to one worker that may be unanswered at once; keeps the connections to an agent busy, which are fewer. */
export const MAX_STARTS = 24;

/** Stops may exceed that, so that those of urgent work do not wait for starts. */
const MAX_STOPS = 200;

/** An order is answered, or has timed out, within 1 s. One without any outcome, as its connection was replaced, counts no longer than this. */
const MAX_AGE_MS = 5000;

/**
 * Bounds the orders to one worker that wait for an answer. Each of them holds a request with the job's payload, and a
 * leader that sends all starts of a job with thousands of tasks at once runs out of memory; most of them also time out
 * before they get a connection.
 */
export class OrdersInFlight {
	/** Leader's clock when each order was queued, in that order. */
	readonly #queuedAtMs = new Map<string, number>();
	#starts = 0;

	/**
	 * @param kind - Kind of the order.
	 * @param nowMs - Leader's clock.
	 * @returns Whether one more may be sent.
	 */
	mayAdd(kind: WorkerOrder['kind'], nowMs: number): boolean {
		const isFull = (): boolean => kind === 'start' ? this.#starts >= MAX_STARTS : this.#queuedAtMs.size - this.#starts >= MAX_STOPS;
		if (isFull()) {
			this.#removeOlderThan(nowMs - MAX_AGE_MS);
		}

		return !isFull();
	}

	/**
	 * @param order - An order that is queued; one that is known already is queued again.
	 * @param nowMs - Leader's clock.
	 */
	add(order: WorkerOrder, nowMs: number): void {
		this.remove(order);
		this.#queuedAtMs.set(keyOf(order), nowMs);
		this.#starts += order.kind === 'start' ? 1 : 0;
	}

	/** @param order - An order that has an outcome or is not sent; any other one is ignored. */
	remove(order: WorkerOrder): void {
		this.#removeKey(keyOf(order));
	}

	#removeOlderThan(untilMs: number): void {
		for (const [key, queuedAtMs] of this.#queuedAtMs) {
			if (queuedAtMs > untilMs) {
				return;
			}

			this.#removeKey(key);
		}
	}

	#removeKey(key: string): void {
		if (this.#queuedAtMs.delete(key) && key.startsWith('start ')) {
			this.#starts--;
		}
	}
}

function keyOf({kind, task, run}: WorkerOrder): string {
	return `${kind} ${task} ${run}`;
}
