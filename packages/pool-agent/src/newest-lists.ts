import type {WorkerLists} from '@amaranthsail/pool';
import type {ReceivedLists} from './received-lists.js';
import {SupersededIncarnations} from './superseded-incarnations.js';

/** What becomes of lists that have arrived. */
export type ListsOrder
	/** Newer than the present ones, and of the same incarnation. */
	= | 'newer'
		/** The first ones of an incarnation. */
		| 'otherIncarnation'
		| 'older'
		/** Of the same millisecond, or of an incarnation that may be an earlier one. */
		| 'unordered';

/** The newest lists of the worker. Answers arrive in any order, also across its incarnations. */
export class NewestLists {
	readonly #superseded = new SupersededIncarnations();
	#current: ReceivedLists | undefined;
	#pollCount = 0;

	/** The newest lists, which may be of another incarnation than the announced one. */
	get current(): ReceivedLists | undefined {
		return this.#current;
	}

	/** @returns Number of a poll that is being sent. */
	beginPoll(): number {
		return ++this.#pollCount;
	}

	/**
	 * Takes lists unless they are older than the present ones, or cannot be ordered.
	 *
	 * @param lists - The lists. Those that do not name an incarnation count as the one that was announced before the poll.
	 * @param poll - Number of the poll that they answer.
	 * @param ordersBefore - Count of orders when that poll was sent.
	 * @param nowMs - Time of arrival.
	 * @returns Their order; they were taken if they are newer or of another incarnation.
	 */
	take(lists: WorkerLists, poll: number, ordersBefore: number, nowMs: number): ListsOrder {
		const order = this.#orderOf(lists, poll);
		if (order === 'newer' || order === 'otherIncarnation') {
			if (this.#current && order === 'otherIncarnation') {
				this.#superseded.record(this.#current.bornMs, lists.bornMs);
			}

			this.#current = {
				...lists, receivedAtMs: nowMs, ordersBefore, pollsBefore: this.#pollCount,
			};
		}

		return order;
	}

	/** Forgets the lists of a worker that has left. */
	clear(): void {
		this.#current = undefined;
	}

	#orderOf({bornMs, clockMs}: WorkerLists, poll: number): ListsOrder {
		const current = this.#current;
		if (!current) {
			return 'otherIncarnation';
		}

		if (current.bornMs === bornMs) {
			// Answers on different connections may arrive out of order, and those of the same millisecond cannot be ordered.
			return clockMs === current.clockMs ? 'unordered' : (clockMs < current.clockMs ? 'older' : 'newer');
		}

		// Only a poll that was sent after lists had arrived is certainly not answered by an earlier incarnation.
		const mayBeEarlier = poll <= current.pollsBefore && this.#superseded.isEarlier(bornMs, current.bornMs);
		return mayBeEarlier ? 'unordered' : 'otherIncarnation';
	}
}
