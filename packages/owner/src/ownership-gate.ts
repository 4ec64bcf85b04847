import {MAX_DEGRADED_LEASE_RENEWAL_MS, type CommandKind} from '@amaranthsail/core';
import type {OwnershipValidity} from './owner-events.js';

/**
 * Decides which actions an owner may take at a given time. Validity is compared with the clock on every use,
 * so a process that resumes after its validity has expired does not act on an old event.
 */
export class OwnershipGate {
	#validUntilMs: number;
	#renewedAtMs: number;
	#isLost = false;
	#isDraining = false;
	#isRecovered = false;

	/**
	 * @param claimedAtMs - When the claim was sent, in monotonic milliseconds.
	 */
	constructor(claimedAtMs: number) {
		this.#validUntilMs = claimedAtMs;
		this.#renewedAtMs = claimedAtMs;
	}

	/** Whether another process owns the failure domain. */
	get isLost(): boolean {
		return this.#isLost;
	}

	/** Whether recovery is complete: all open jobs have been read. */
	get isRecovered(): boolean {
		return this.#isRecovered;
	}

	/**
	 * Applies a change of validity. A lost ownership never becomes valid again under the same epoch.
	 *
	 * @param validity - The new validity.
	 * @param nowMs - Monotonic milliseconds.
	 */
	updateValidity(validity: OwnershipValidity, nowMs: number): void {
		if (validity.kind === 'valid') {
			this.#validUntilMs = Math.max(this.#validUntilMs, validity.validUntilMs);
			this.#renewedAtMs = Math.max(this.#renewedAtMs, validity.renewedAtMs);
			return;
		}

		this.#validUntilMs = Math.min(this.#validUntilMs, nowMs);
		this.#isLost ||= validity.kind === 'lost';
	}

	/** Records that all open jobs have been read. */
	markRecovered(): void {
		this.#isRecovered = true;
	}

	/** Disallows new placements and decisions, for a shutdown. */
	startDraining(): void {
		this.#isDraining = true;
	}

	/**
	 * Returns whether transactions may be sent.
	 *
	 * @param nowMs - Monotonic milliseconds.
	 * @returns True while the ownership is valid.
	 */
	canWrite(nowMs: number): boolean {
		return !this.#isLost && nowMs < this.#validUntilMs;
	}

	/**
	 * Returns whether jobs may be placed and attempts decided.
	 *
	 * @param nowMs - Monotonic milliseconds.
	 * @returns True while the ownership is valid, recovery is complete and the owner is not draining.
	 */
	canDecide(nowMs: number): boolean {
		return this.canWrite(nowMs) && this.#isRecovered && !this.#isDraining;
	}

	/**
	 * Returns whether heartbeats may be acknowledged.
	 *
	 * @param nowMs - Monotonic milliseconds.
	 * @returns True until the longest time for which an owner renews leases without the store has passed since its last confirmed renewal.
	 */
	canAcknowledge(nowMs: number): boolean {
		return !this.#isLost && nowMs < this.#renewedAtMs + MAX_DEGRADED_LEASE_RENEWAL_MS;
	}

	/**
	 * Returns whether a command may be sent. Without a valid ownership, only `stop` is allowed.
	 *
	 * @param kind - The kind of command.
	 * @param nowMs - Monotonic milliseconds.
	 * @returns True when the command may be sent.
	 */
	canSendCommand(kind: CommandKind, nowMs: number): boolean {
		if (kind === 'stop') {
			return this.canAcknowledge(nowMs);
		}

		return kind === 'prepare' ? this.canDecide(nowMs) : this.canWrite(nowMs);
	}
}
