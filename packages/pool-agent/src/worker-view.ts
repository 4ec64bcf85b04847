import {type WorkerFacts, type WorkerLists, WORKER_STATES} from '@amaranthsail/pool';
import type {ReceivedLists} from './received-lists.js';
import {SupersededIncarnations} from './superseded-incarnations.js';

/** Number of deregistered incarnations that are still reported. */
const MAX_LEFT_INCARNATIONS = 8;

/** An announced incarnation of the worker. */
export type KnownWorker = {
	readonly facts: WorkerFacts;
	readonly sequence: number;
	readonly startedAtMs: number;
	readonly receivedAtMs: number;
	/** Number of polls that had been sent when this incarnation announced itself. */
	readonly pollsBefore: number;
};

/** What becomes of lists that have arrived. */
export type ListsOrder
	/** Newer than the present ones, and of the same incarnation. */
	= | 'newer'
		/** The first ones of an incarnation. */
		| 'otherIncarnation'
		| 'older'
		/** Of the same millisecond, or of an incarnation that may be an earlier one. */
		| 'unordered';

/** The newest heartbeat and the newest lists of the worker. Both arrive in any order, also across its incarnations. */
export class WorkerView {
	readonly #superseded = new SupersededIncarnations();
	#known: KnownWorker | undefined;
	#lists: ReceivedLists | undefined;
	#pollCount = 0;
	#leftIncarnations: readonly string[] = [];

	/** The announced incarnation. */
	get known(): KnownWorker | undefined {
		return this.#known;
	}

	/** The newest lists, which may be of another incarnation than the announced one. */
	get lists(): ReceivedLists | undefined {
		return this.#lists;
	}

	/** Name of the announced incarnation if the newest lists are its own. */
	get listedIncarnation(): string | undefined {
		return this.#known && this.#known.startedAtMs === this.#lists?.bornMs ? this.#known.facts.life : undefined;
	}

	/** Names of the last incarnations that deregistered before they ended. */
	get leftIncarnations(): readonly string[] {
		return this.#leftIncarnations;
	}

	/** @returns Number of a poll that is being sent. */
	beginPoll(): number {
		return ++this.#pollCount;
	}

	/**
	 * Takes a heartbeat unless it is older than the last one.
	 *
	 * @param facts - State and capacity that the worker reports.
	 * @param sequence - Number of the heartbeat within the incarnation.
	 * @param startedAtMs - Start time of the incarnation.
	 * @param nowMs - Time of arrival.
	 * @returns Whether it was taken.
	 */
	takeHeartbeat(facts: WorkerFacts, sequence: number, startedAtMs: number, nowMs: number): boolean {
		const known = this.#known;
		if (known && this.#isOutOfOrder(known, sequence, startedAtMs)) {
			return false;
		}

		if (known && known.startedAtMs !== startedAtMs) {
			this.#superseded.record(known.startedAtMs, startedAtMs);
		}

		this.#known = {
			facts, sequence, startedAtMs, receivedAtMs: nowMs, pollsBefore: known?.startedAtMs === startedAtMs ? known.pollsBefore : this.#pollCount,
		};
		return true;
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
	takeLists(lists: WorkerLists, poll: number, ordersBefore: number, nowMs: number): ListsOrder {
		const order = this.#orderOf(lists, poll);
		if (order === 'newer' || order === 'otherIncarnation') {
			if (this.#lists && order === 'otherIncarnation') {
				this.#superseded.record(this.#lists.bornMs, lists.bornMs);
			}

			this.#lists = {
				...lists, receivedAtMs: nowMs, ordersBefore, poll, pollsBefore: this.#pollCount,
			};
		}

		return order;
	}

	/**
	 * Forgets the announced incarnation if it is the one that has left.
	 *
	 * @param startedAtMs - Start time of the incarnation that has left. A worker drains before it leaves, so if this is
	 * unknown and the announced incarnation does not drain, an earlier one may have left.
	 * @returns Whether the announced incarnation has left.
	 */
	leave(startedAtMs: number | undefined): boolean {
		const known = this.#known;
		const isLeaving = startedAtMs === undefined ? known?.facts.state === WORKER_STATES.draining : startedAtMs === known?.startedAtMs;
		if (!known || !isLeaving) {
			return false;
		}

		this.#leftIncarnations = [...this.#leftIncarnations, known.facts.life].slice(-MAX_LEFT_INCARNATIONS);
		this.#known = undefined;
		this.#lists = undefined;
		return true;
	}

	/** A poll that was sent after the last heartbeat shows if another incarnation answers meanwhile. */
	#isOutOfOrder(known: KnownWorker, sequence: number, startedAtMs: number): boolean {
		if (startedAtMs === known.startedAtMs) {
			return sequence <= known.sequence;
		}

		const hasAnsweredSince = this.#lists?.bornMs === startedAtMs && this.#lists.poll > known.pollsBefore;
		return this.#superseded.isEarlier(startedAtMs, known.startedAtMs) && !hasAnsweredSince;
	}

	#orderOf({bornMs, clockMs}: WorkerLists, poll: number): ListsOrder {
		const current = this.#lists;
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
