import type {Clock} from '@amaranthsail/core';
import type {PoolLeader} from './pool-leader.js';

/** Numbers of jobs that have not started, by queue; a queue without such jobs may be absent. */
export type CountsByQueue = Readonly<Record<string, number>>;

/** Maximum age of the counts that are served to callers. */
const MAX_AGE_MS = 1500;

/** The counts of waiting jobs, from the leader in this process or from the answers of another one. */
export class PendingCounts {
	readonly #clock: Clock;
	#received: {readonly counts: CountsByQueue; readonly atMs: number} | undefined;

	/** @param clock - Source of time. */
	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** @param counts - Counts that another entry has just sent as the leader. */
	record(counts: CountsByQueue): void {
		this.#received = {counts, atMs: this.#clock.monotonicMs()};
	}

	/**
	 * @param leader - The leader in this process, if any.
	 * @returns Its counts, or undefined while they are unknown to it.
	 */
	ofLeader(leader: Pick<PoolLeader, 'core' | 'wasConfirmedWithin'> | undefined): CountsByQueue | undefined {
		return leader?.wasConfirmedWithin(MAX_AGE_MS) ? Object.fromEntries(leader.core.pendingCounts()) : undefined;
	}

	/**
	 * @param queue - The queue.
	 * @param leader - The leader in this process, if any.
	 * @returns The number of its waiting jobs, or undefined while no recent count is known.
	 */
	countOf(queue: string, leader: Pick<PoolLeader, 'core' | 'wasConfirmedWithin'> | undefined): number | undefined {
		const counts = this.ofLeader(leader) ?? this.#recentlyReceived();
		return counts && (counts[queue] ?? 0);
	}

	#recentlyReceived(): CountsByQueue | undefined {
		return this.#received && this.#clock.monotonicMs() - this.#received.atMs < MAX_AGE_MS ? this.#received.counts : undefined;
	}
}
