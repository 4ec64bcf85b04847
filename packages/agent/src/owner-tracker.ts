import {
	type Address,
	DEGRADED_REDISCOVERY_INTERVAL_MS,
	HEARTBEAT_INTERVAL_MS,
	MAX_UNANSWERED_HEARTBEATS,
	type HeartbeatAck,
	TASK_LEASE_MS,
} from '@amaranthsail/core';
import type {OwnerAddress} from './agent-event.js';

/** Tracks the owner of the failure domain, the highest epoch received and which heartbeats were acknowledged. */
export class OwnerTracker {
	readonly #entries: readonly Address[];
	readonly #sentAtMsBySequence = new Map<number, number>();
	#epoch = 0;
	#ownerId: string | undefined;
	#address: Address | undefined;
	#sequence = 0;
	#unansweredIntervals = 0;
	#isIntervalAcknowledged = true;
	#lastAcknowledgedSentAtMs: number | undefined;
	#isDegraded = false;
	#entryIndex = 0;
	#isQueryInFlight = false;
	#lastQueryAtMs = Number.NEGATIVE_INFINITY;

	/**
	 * @param entries - Addresses of the entries, which are queried for the owner in round-robin order.
	 */
	constructor(entries: readonly Address[]) {
		this.#entries = entries;
	}

	/** Highest epoch received; 0 before the first. */
	get epoch(): number {
		return this.#epoch;
	}

	/** Address of the owner; undefined before the first discovery. */
	get address(): Address | undefined {
		return this.#address;
	}

	/** Id of the owner; undefined before the first discovery. */
	get ownerId(): string | undefined {
		return this.#ownerId;
	}

	/** Whether the owner cannot reach the store, according to its latest acknowledgement; false for a newly adopted owner. */
	get isDegraded(): boolean {
		return this.#isDegraded;
	}

	/** End of a lease that starts when the latest acknowledged heartbeat was sent; undefined before the first acknowledgement. */
	get leaseUntilMs(): number | undefined {
		return this.#lastAcknowledgedSentAtMs === undefined ? undefined : this.#lastAcknowledgedSentAtMs + TASK_LEASE_MS;
	}

	/**
	 * Checks the epoch of a message or of an owner query's answer and adopts the owner of a higher epoch.
	 *
	 * @param owner - The epoch, the owner and its address.
	 * @returns `stale` when the message must be ignored, `adopted` for a new owner, `current` otherwise.
	 */
	fence(owner: OwnerAddress): 'stale' | 'adopted' | 'current' {
		if (owner.epoch < this.#epoch || (owner.epoch === this.#epoch && this.#ownerId !== undefined && owner.ownerId !== this.#ownerId)) {
			return 'stale';
		}

		if (owner.epoch === this.#epoch && this.#ownerId !== undefined) {
			this.#address = owner.address;
			return 'current';
		}

		this.#epoch = owner.epoch;
		this.#ownerId = owner.ownerId;
		this.#address = owner.address;
		this.#unansweredIntervals = 0;
		this.#isIntervalAcknowledged = true;
		this.#isDegraded = false;
		return 'adopted';
	}

	/**
	 * Records that a heartbeat is sent.
	 *
	 * @param nowMs - Monotonic time at which it is sent.
	 * @returns The sequence number of the heartbeat.
	 */
	recordHeartbeatSent(nowMs: number): number {
		this.#sequence += 1;
		this.#sentAtMsBySequence.set(this.#sequence, nowMs);
		for (const [sequence, sentAtMs] of this.#sentAtMsBySequence) {
			if (nowMs - sentAtMs < TASK_LEASE_MS) {
				break;
			}

			this.#sentAtMsBySequence.delete(sequence);
		}

		return this.#sequence;
	}

	/** Begins a heartbeat interval and counts the previous one as unanswered when no acknowledgement arrived in it. */
	beginInterval(): void {
		this.#unansweredIntervals = this.#isIntervalAcknowledged ? 0 : this.#unansweredIntervals + 1;
		this.#isIntervalAcknowledged = false;
	}

	/**
	 * Matches an acknowledgement with a heartbeat of this incarnation.
	 *
	 * @param ack - The acknowledgement, whose epoch has been checked.
	 * @returns Monotonic end of the leases it renews, or undefined when it matches no heartbeat that was sent.
	 */
	acknowledge(ack: HeartbeatAck): number | undefined {
		const sentAtMs = this.#sentAtMsBySequence.get(ack.sequence);
		// An acknowledgement carries no incarnation; the echoed send time distinguishes equal sequence numbers of two incarnations.
		if (sentAtMs === undefined || sentAtMs !== ack.sentAtMs) {
			return undefined;
		}

		this.#isIntervalAcknowledged = true;
		this.#unansweredIntervals = 0;
		this.#isDegraded = ack.degraded;
		this.#lastAcknowledgedSentAtMs = Math.max(this.#lastAcknowledgedSentAtMs ?? sentAtMs, sentAtMs);
		return sentAtMs + TASK_LEASE_MS;
	}

	/** Records that the owner query in flight has ended. */
	recordQueryEnd(): void {
		this.#isQueryInFlight = false;
	}

	/**
	 * Returns the time of the next owner query.
	 *
	 * @returns Monotonic time, or infinity while none is needed or one is in flight.
	 */
	nextQueryAtMs(): number {
		if (this.#isQueryInFlight) {
			return Number.POSITIVE_INFINITY;
		}

		if (this.#address === undefined || this.#unansweredIntervals >= MAX_UNANSWERED_HEARTBEATS) {
			return this.#lastQueryAtMs + HEARTBEAT_INTERVAL_MS;
		}

		return this.#isDegraded ? this.#lastQueryAtMs + DEGRADED_REDISCOVERY_INTERVAL_MS : Number.POSITIVE_INFINITY;
	}

	/**
	 * Begins an owner query when one is due.
	 *
	 * @param nowMs - Monotonic time.
	 * @returns The entry to query, or undefined when no query is due.
	 */
	beginDueQuery(nowMs: number): Address | undefined {
		if (nowMs < this.nextQueryAtMs()) {
			return undefined;
		}

		const entry = this.#entries[this.#entryIndex % this.#entries.length];
		this.#entryIndex += 1;
		this.#isQueryInFlight = entry !== undefined;
		this.#lastQueryAtMs = nowMs;
		return entry;
	}
}
