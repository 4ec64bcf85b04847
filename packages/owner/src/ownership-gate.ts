import {LEASE_EXTENSION_LIMIT_MS, type CommandKind} from '@amaranthsail/core';
import type {OwnershipValidity} from './owner-events.js';

/**
 * Decides what an owner may do at a given time. Validity is compared with the clock on every use,
 * so a process that was paused past its validity does nothing on the strength of an old event.
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

	/** Whether all open jobs have been read. */
	get isRecovered(): boolean {
		return this.#isRecovered;
	}

	/**
	 * Takes over a change of validity. A lost ownership never comes back under the same epoch.
	 *
	 * @param validity - The new validity.
	 * @param nowMs - Monotonic milliseconds.
	 */
	update(validity: OwnershipValidity, nowMs: number): void {
		if (validity.kind === 'valid') {
			this.#validUntilMs = Math.max(this.#validUntilMs, validity.validUntilMs);
			this.#renewedAtMs = Math.max(this.#renewedAtMs, validity.renewedAtMs);
			return;
		}

		this.#validUntilMs = Math.min(this.#validUntilMs, nowMs);
		this.#isLost ||= validity.kind === 'lost';
	}

	/** Notes that all open jobs have been read. */
	recovered(): void {
		this.#isRecovered = true;
	}

	/** Stops new placements and decisions for a shutdown. */
	drain(): void {
		this.#isDraining = true;
	}

	/**
	 * Tells whether transactions may be sent.
	 *
	 * @param nowMs - Monotonic milliseconds.
	 * @returns True while the ownership is valid.
	 */
	canWrite(nowMs: number): boolean {
		return !this.#isLost && nowMs < this.#validUntilMs;
	}

	/**
	 * Tells whether jobs may be placed and attempts decided.
	 *
	 * @param nowMs - Monotonic milliseconds.
	 * @returns True while the ownership is valid, recovery is complete and no shutdown is under way.
	 */
	canDecide(nowMs: number): boolean {
		return this.canWrite(nowMs) && this.#isRecovered && !this.#isDraining;
	}

	/**
	 * Tells whether heartbeats may be acknowledged.
	 *
	 * @param nowMs - Monotonic milliseconds.
	 * @returns True up to the lease extension limit after the last confirmed renewal.
	 */
	canAcknowledge(nowMs: number): boolean {
		return !this.#isLost && nowMs < this.#renewedAtMs + LEASE_EXTENSION_LIMIT_MS;
	}

	/**
	 * Tells whether a command may be sent. An owner that is not valid only stops tasks.
	 *
	 * @param kind - The kind of command.
	 * @param nowMs - Monotonic milliseconds.
	 * @returns True when it may be sent.
	 */
	canCommand(kind: CommandKind, nowMs: number): boolean {
		if (kind === 'stop') {
			return this.canAcknowledge(nowMs);
		}

		return kind === 'prepare' ? this.canDecide(nowMs) : this.canWrite(nowMs);
	}
}
