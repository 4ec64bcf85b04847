import {
	type Address,
	DEGRADED_REDISCOVERY_INTERVAL_MS,
	HEARTBEAT_INTERVAL_MS,
	HEARTBEATS_BEFORE_REDISCOVERY,
	type HeartbeatAck,
	TASK_LEASE_MS,
} from '@amaranthsail/core';
import type {OwnerAnswer} from './agent-event.js';

/** Knows the owner of the failure domain, the highest epoch seen and which heartbeats were acknowledged. */
export class OwnerLink {
	readonly #entries: readonly Address[];
	readonly #sentAtMs = new Map<number, number>();
	#epoch = 0;
	#ownerId: string | undefined;
	#address: Address | undefined;
	#sequence = 0;
	#missed = 0;
	#ackedSinceBeat = true;
	#lastAckedSentAtMs: number | undefined;
	#degraded = false;
	#entryIndex = 0;
	#isDiscovering = false;
	#askedAtMs = Number.NEGATIVE_INFINITY;

	/**
	 * @param entries - Addresses of the entries to ask for the owner, in turn.
	 */
	constructor(entries: readonly Address[]) {
		this.#entries = entries;
	}

	/** Highest epoch seen; 0 before the first. */
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

	/** Whether the owner last said that it cannot reach the store. */
	get degraded(): boolean {
		return this.#degraded;
	}

	/** End of a lease that counts from the latest acknowledged heartbeat; undefined before the first acknowledgement. */
	get leaseUntilMs(): number | undefined {
		return this.#lastAckedSentAtMs === undefined ? undefined : this.#lastAckedSentAtMs + TASK_LEASE_MS;
	}

	/**
	 * Checks the epoch of a message or discovery answer and adopts a higher one with its owner.
	 *
	 * @param owner - Epoch, owner and the address it sent from.
	 * @returns `stale` when it must be ignored, `adopted` for a new owner, `current` otherwise.
	 */
	fence(owner: OwnerAnswer): 'stale' | 'adopted' | 'current' {
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
		this.#missed = 0;
		this.#ackedSinceBeat = true;
		this.#degraded = false;
		return 'adopted';
	}

	/**
	 * Records that a heartbeat is sent.
	 *
	 * @param nowMs - Monotonic time of sending.
	 * @returns Its sequence number.
	 */
	recordSent(nowMs: number): number {
		this.#sequence += 1;
		this.#sentAtMs.set(this.#sequence, nowMs);
		for (const [sequence, sentAtMs] of this.#sentAtMs) {
			if (nowMs - sentAtMs < TASK_LEASE_MS) {
				break;
			}

			this.#sentAtMs.delete(sequence);
		}

		return this.#sequence;
	}

	/** Counts a heartbeat interval and whether it went by without any acknowledgement. */
	recordBeat(): void {
		this.#missed = this.#ackedSinceBeat ? 0 : this.#missed + 1;
		this.#ackedSinceBeat = false;
	}

	/**
	 * Matches an acknowledgement with a heartbeat of this incarnation.
	 *
	 * @param ack - The acknowledgement, already fenced.
	 * @returns Monotonic end of the leases it renews, or undefined when it answers no heartbeat that was sent.
	 */
	acknowledge(ack: HeartbeatAck): number | undefined {
		const sentAtMs = this.#sentAtMs.get(ack.sequence);
		// An acknowledgement carries no incarnation; the echoed send time tells apart equal sequence numbers of two incarnations.
		if (sentAtMs === undefined || sentAtMs !== ack.sentAtMs) {
			return undefined;
		}

		this.#ackedSinceBeat = true;
		this.#missed = 0;
		this.#degraded = ack.degraded;
		this.#lastAckedSentAtMs = Math.max(this.#lastAckedSentAtMs ?? sentAtMs, sentAtMs);
		return sentAtMs + TASK_LEASE_MS;
	}

	/** Records that the query under way has been answered. */
	recordAnswered(): void {
		this.#isDiscovering = false;
	}

	/**
	 * Names the time of the next owner query.
	 *
	 * @returns Monotonic time, or infinity while none is due or one is under way.
	 */
	discoverAtMs(): number {
		if (this.#isDiscovering) {
			return Number.POSITIVE_INFINITY;
		}

		if (this.#address === undefined || this.#missed >= HEARTBEATS_BEFORE_REDISCOVERY) {
			return this.#askedAtMs + HEARTBEAT_INTERVAL_MS;
		}

		return this.#degraded ? this.#askedAtMs + DEGRADED_REDISCOVERY_INTERVAL_MS : Number.POSITIVE_INFINITY;
	}

	/**
	 * Takes the entry to ask when a query is due.
	 *
	 * @param nowMs - Monotonic time.
	 * @returns The next entry in turn, or undefined when no query is due.
	 */
	takeDiscovery(nowMs: number): Address | undefined {
		if (nowMs < this.discoverAtMs()) {
			return undefined;
		}

		const entry = this.#entries[this.#entryIndex % this.#entries.length];
		this.#entryIndex += 1;
		this.#isDiscovering = entry !== undefined;
		this.#askedAtMs = nowMs;
		return entry;
	}
}
