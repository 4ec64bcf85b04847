import {OWNERSHIP_CLAIM_TIMEOUT_MS, OWNERSHIP_RENEWAL_INTERVAL_MS, OWNERSHIP_VALIDITY_MS} from '@amaranthsail/core';
import {claimDelayMs} from './claim-preference.js';
import {createDomainState, updateObservation, restartObservation, type DomainState, type HeldOwnership, type Observation} from './domain-state.js';
import type {WriteResult} from './owner-events.js';
import type {
	DomainLocation, OwnershipEffect, OwnershipEvent, OwnershipManagerOptions,
} from './ownership-events.js';
import {
	ownerAddressOf, type Address, type LoadSummary, type OwnerAddress, type OwnershipRow, type RenewalRow,
} from './ownership-rows.js';
import {claimTransaction, releaseTransaction, renewTransaction} from './ownership-transactions.js';

/** Interval between scans of the ownership tables. */
export const OWNERSHIP_SCAN_INTERVAL_MS = 500;

/** After a longer gap between two successful scans the observation restarts: the owner may have been unable to reach the store as well. */
export const MAX_SCAN_GAP_MS = 1500;

/** Time after which the next scan is sent although the previous one is unanswered. */
const SCAN_TIMEOUT_MS = 5000;

/** Unanswered renewals allowed per failure domain. */
const MAX_RENEWALS_IN_FLIGHT = 4;

/** Observes, claims, renews and releases the ownership of failure domains. Performs no I/O; times are monotonic milliseconds. */
export class OwnershipManager {
	readonly #options: OwnershipManagerOptions;
	readonly #domains = new Map<string, DomainState>();
	#effects: OwnershipEffect[] = [];
	#scanSentAtMs: number | undefined;
	#nextScanAtMs = Number.NEGATIVE_INFINITY;
	#lastScanAtMs: number | undefined;
	#isDraining = false;

	/**
	 * @param options - Identity and addresses of the process.
	 */
	constructor(options: OwnershipManagerOptions) {
		this.#options = options;
	}

	/**
	 * Handles an event.
	 *
	 * @param event - The event.
	 * @param nowMs - Monotonic milliseconds.
	 * @returns The effects to apply, in order.
	 */
	handle(event: OwnershipEvent, nowMs: number): readonly OwnershipEffect[] {
		switch (event.kind) {
			case 'configure': {
				this.#configure(event.domains);
				break;
			}

			case 'scanned': {
				this.#handleScan(event, nowMs);
				break;
			}

			case 'scanFailed': {
				this.#scanSentAtMs = undefined;
				break;
			}

			case 'writeResult': {
				this.#handleWriteResult(event, nowMs);
				break;
			}

			case 'load': {
				const domain = this.#domains.get(event.failureDomain);
				if (domain !== undefined) {
					domain.load = event.load;
					domain.revision = event.revision;
				}

				break;
			}

			case 'stepDown':
			case 'ownershipLost': {
				this.#stepDown(event);
				break;
			}

			case 'release': {
				this.#release(event.failureDomain, nowMs);
				break;
			}

			case 'drain': {
				this.#isDraining = true;
				break;
			}
		}

		return this.tick(nowMs);
	}

	/**
	 * Starts the scans, renewals and claims that are due.
	 *
	 * @param nowMs - Monotonic milliseconds.
	 * @returns The effects to apply, in order.
	 */
	tick(nowMs: number): readonly OwnershipEffect[] {
		const isScanOverdue = this.#scanSentAtMs !== undefined && nowMs - this.#scanSentAtMs >= SCAN_TIMEOUT_MS;
		if (nowMs >= this.#nextScanAtMs && (this.#scanSentAtMs === undefined || isScanOverdue)) {
			this.#scanSentAtMs = nowMs;
			this.#nextScanAtMs = nowMs + OWNERSHIP_SCAN_INTERVAL_MS;
			this.#effects.push({kind: 'scan'});
		}

		for (const domain of this.#domains.values()) {
			this.#renewIfDue(domain, nowMs);
			this.#claimIfDue(domain, nowMs);
		}

		const effects = this.#effects;
		this.#effects = [];
		return effects;
	}

	/**
	 * Finds the owner of a failure domain.
	 *
	 * @param failureDomain - The failure domain.
	 * @returns The owner as last read, or undefined when there is none.
	 */
	ownerOf(failureDomain: string): OwnerAddress | undefined {
		const domain = this.#domains.get(failureDomain);
		if (domain?.heldOwnership !== undefined) {
			return ownerAddressOf(this.#ownershipRow(domain.heldOwnership.epoch, '', false));
		}

		const owner = domain?.observation?.owner;
		// When this process does not own the failure domain, a row with its id is left from an ownership that it has dropped.
		return owner === undefined || owner.released || owner.ownerId === this.#options.processId
			? undefined
			: ownerAddressOf(owner);
	}

	/**
	 * Returns the epoch under which this process owns a failure domain.
	 *
	 * @param failureDomain - The failure domain.
	 * @returns The epoch, or undefined when this process does not own it.
	 */
	heldEpoch(failureDomain: string): number | undefined {
		return this.#domains.get(failureDomain)?.heldOwnership?.epoch;
	}

	/**
	 * Returns the load of each failure domain as last written by its owner.
	 *
	 * @returns Load by failure domain.
	 */
	loads(): ReadonlyMap<string, LoadSummary> {
		return new Map([...this.#domains].flatMap(([failureDomain, {heldOwnership, load, observation}]) => {
			const currentLoad = heldOwnership === undefined ? observation?.renewal?.load : load;
			return currentLoad === undefined ? [] : [[failureDomain, currentLoad] as const];
		}));
	}

	#configure(domains: readonly DomainLocation[]): void {
		const configuredDomains = new Set(domains.map(({failureDomain}) => failureDomain));
		for (const location of domains) {
			const knownState = this.#domains.get(location.failureDomain);
			this.#domains.set(location.failureDomain, knownState === undefined ? createDomainState(location) : {...knownState, location});
		}

		for (const [failureDomain, {heldOwnership, claim}] of this.#domains) {
			if (!configuredDomains.has(failureDomain) && heldOwnership === undefined && claim === undefined) {
				this.#domains.delete(failureDomain);
			}
		}
	}

	#handleScan(event: Extract<OwnershipEvent, {readonly kind: 'scanned'}>, nowMs: number): void {
		this.#scanSentAtMs = undefined;
		const isAfterGap = this.#lastScanAtMs !== undefined && nowMs - this.#lastScanAtMs > MAX_SCAN_GAP_MS;
		this.#lastScanAtMs = nowMs;
		const ownership = new Map(event.ownership.map(row => [row.key, row]));
		const renewals = new Map(event.renewals.map(row => [row.key, row]));
		for (const [failureDomain, domain] of this.#domains) {
			const previous = isAfterGap ? undefined : domain.observation;
			domain.observation = updateObservation(previous, {ownership: ownership.get(failureDomain), renewal: renewals.get(failureDomain)}, nowMs);
			this.#reconcileOwnership(domain, domain.observation, event.sentAtMs);
		}
	}

	#reconcileOwnership(domain: DomainState, observation: Observation, scanSentAtMs: number): void {
		const {owner, ownershipVersion} = observation;
		const {heldOwnership} = domain;
		if (heldOwnership !== undefined) {
			if (ownershipVersion > heldOwnership.ownershipVersion) {
				this.#dropOwnership(domain);
			}

			return;
		}

		// The row shows that a claim with a lost acknowledgement took effect.
		if (owner?.ownerId === this.#options.processId && !owner.released && owner.epoch > domain.highestHeldEpoch) {
			this.#acquireOwnership(domain, owner.epoch, ownershipVersion, {claimedAtMs: domain.claim?.sentAtMs ?? scanSentAtMs, isSendTimeKnown: domain.claim !== undefined});
			return;
		}

		if (domain.claim !== undefined && domain.claim.sentAtMs + OWNERSHIP_CLAIM_TIMEOUT_MS < scanSentAtMs) {
			domain.claim = undefined;
		}
	}

	#handleWriteResult(event: Extract<OwnershipEvent, {readonly kind: 'writeResult'}>, nowMs: number): void {
		const domain = this.#domains.get(event.failureDomain);
		if (domain === undefined) {
			return;
		}

		const {heldOwnership, claim} = domain;
		if (claim?.writeId === event.writeId) {
			this.#handleClaimResult(domain, claim, event.result, nowMs);
			return;
		}

		const sentAtMs = heldOwnership?.pendingRenewals.get(event.writeId);
		if (heldOwnership === undefined || sentAtMs === undefined) {
			return;
		}

		heldOwnership.pendingRenewals.delete(event.writeId);
		if (event.result.kind === 'committed') {
			this.#extendValidity(domain, heldOwnership, sentAtMs);
		} else if (event.result.kind === 'conditionFailed') {
			this.#dropOwnership(domain);
			restartObservation(domain, nowMs);
		}
	}

	#handleClaimResult(domain: DomainState, claim: NonNullable<DomainState['claim']>, result: WriteResult, nowMs: number): void {
		if (result.kind === 'committed') {
			this.#acquireOwnership(domain, claim.epoch, result.versions[0] ?? 0, {claimedAtMs: claim.sentAtMs, isSendTimeKnown: true});
			return;
		}

		// After an unknown result the next scans show whether the claim took effect.
		if (result.kind !== 'unknown') {
			domain.claim = undefined;
			// The observation is outdated; another claim based on it would fail as well.
			restartObservation(domain, nowMs);
		}
	}

	#acquireOwnership(domain: DomainState, epoch: number, ownershipVersion: number, time: {readonly claimedAtMs: number; readonly isSendTimeKnown: boolean}): void {
		const {previousOwner} = domain;
		const {claimedAtMs, isSendTimeKnown} = time;
		domain.claim = undefined;
		domain.highestHeldEpoch = epoch;
		domain.heldOwnership = {
			epoch, ownershipVersion, sequence: 0, lastRenewalSentAtMs: Number.NEGATIVE_INFINITY, pendingRenewals: new Map(),
		};
		const {failureDomain} = domain.location;
		this.#effects.push({
			kind: 'claimed', failureDomain, epoch, ownershipVersion, claimedAtMs,
			// An owner that has released the failure domain sends nothing under the old epoch any more, and neither does this process.
			previous: previousOwner === undefined || previousOwner.released || previousOwner.ownerId === this.#options.processId ? undefined : previousOwner,
		});
		// Without the send time of the claim, other entries may have observed the row for longer; only the first renewal makes the ownership valid.
		if (isSendTimeKnown) {
			this.#extendValidity(domain, domain.heldOwnership, claimedAtMs);
		}
	}

	#extendValidity(domain: DomainState, heldOwnership: HeldOwnership, sentAtMs: number): void {
		this.#effects.push({
			kind: 'validity', failureDomain: domain.location.failureDomain, epoch: heldOwnership.epoch,
			validity: {kind: 'valid', validUntilMs: sentAtMs + OWNERSHIP_VALIDITY_MS, renewedAtMs: sentAtMs},
		});
	}

	#dropOwnership(domain: DomainState): void {
		if (domain.heldOwnership === undefined) {
			return;
		}

		this.#effects.push({
			kind: 'validity', failureDomain: domain.location.failureDomain, epoch: domain.heldOwnership.epoch, validity: {kind: 'lost'},
		});
		domain.heldOwnership = undefined;
	}

	#stepDown(event: Extract<OwnershipEvent, {readonly kind: 'stepDown' | 'ownershipLost'}>): void {
		const domain = this.#domains.get(event.failureDomain);
		const epoch = domain?.heldOwnership?.epoch;
		const shouldDrop = epoch !== undefined && (event.kind === 'stepDown' ? epoch < event.epoch : epoch === event.epoch);
		if (domain !== undefined && shouldDrop) {
			this.#dropOwnership(domain);
		}
	}

	#release(failureDomain: string | undefined, nowMs: number): void {
		for (const domain of this.#domains.values()) {
			const {heldOwnership, location} = domain;
			if (heldOwnership === undefined || (failureDomain !== undefined && location.failureDomain !== failureDomain)) {
				continue;
			}

			// The core stops before the row is marked as released; otherwise a new owner could rely on the release too early.
			this.#dropOwnership(domain);
			// Other entries may claim first; if none does, this process claims the failure domain again.
			domain.earliestClaimAtMs = nowMs + OWNERSHIP_CLAIM_TIMEOUT_MS;
			const writeId = this.#options.newId();
			this.#effects.push({
				kind: 'write', purpose: 'release', failureDomain: location.failureDomain,
				transaction: releaseTransaction(location.failureDomain, heldOwnership.ownershipVersion, this.#ownershipRow(heldOwnership.epoch, writeId, true)),
			});
		}
	}

	#renewIfDue(domain: DomainState, nowMs: number): void {
		const {heldOwnership, location: {failureDomain}} = domain;
		if (heldOwnership === undefined || nowMs - heldOwnership.lastRenewalSentAtMs < OWNERSHIP_RENEWAL_INTERVAL_MS) {
			return;
		}

		for (const [writeId, sentAtMs] of heldOwnership.pendingRenewals) {
			// A confirmation of a renewal of this age would not make the ownership valid any more.
			if (nowMs - sentAtMs >= OWNERSHIP_VALIDITY_MS && heldOwnership.pendingRenewals.size >= MAX_RENEWALS_IN_FLIGHT) {
				heldOwnership.pendingRenewals.delete(writeId);
			}
		}

		if (heldOwnership.pendingRenewals.size >= MAX_RENEWALS_IN_FLIGHT) {
			return;
		}

		const writeId = this.#options.newId();
		heldOwnership.sequence += 1;
		heldOwnership.lastRenewalSentAtMs = nowMs;
		heldOwnership.pendingRenewals.set(writeId, nowMs);
		const row: RenewalRow = {
			ownerId: this.#options.processId, epoch: heldOwnership.epoch, sequence: heldOwnership.sequence, load: domain.load, revision: domain.revision, writeId,
		};
		this.#effects.push({
			kind: 'write', purpose: 'renew', failureDomain, transaction: renewTransaction(failureDomain, heldOwnership.ownershipVersion, row),
		});
	}

	#claimIfDue(domain: DomainState, nowMs: number): void {
		const {observation, location, claim} = domain;
		if (this.#isDraining || observation === undefined || domain.heldOwnership !== undefined || claim !== undefined || !this.#isLastScanRecent(nowMs) || nowMs < domain.earliestClaimAtMs) {
			return;
		}

		const {owner, unchangedSinceMs} = observation;
		const isFree = owner === undefined || owner.released;
		const {processId, region, failureDomain} = this.#options;
		const delayMs = claimDelayMs({
			processId, region, failureDomain, ownedCount: this.#ownedCount(),
		}, location);
		// A renewal after the last scan makes the claim fail its conditions, so the time since that scan counts as unchanged.
		if (nowMs - unchangedSinceMs < (isFree ? 0 : OWNERSHIP_CLAIM_TIMEOUT_MS) + delayMs) {
			return;
		}

		const writeId = this.#options.newId();
		const epoch = (owner?.epoch ?? 0) + 1;
		domain.claim = {writeId, epoch, sentAtMs: nowMs};
		domain.previousOwner = owner;
		const renewal: RenewalRow = {
			ownerId: processId, epoch, sequence: 0, load: domain.load, revision: domain.revision, writeId,
		};
		this.#effects.push({
			kind: 'write', purpose: 'claim', failureDomain: location.failureDomain,
			transaction: claimTransaction(location.failureDomain, observation, this.#ownershipRow(epoch, writeId, false), renewal),
		});
	}

	#isLastScanRecent(nowMs: number): boolean {
		return this.#lastScanAtMs !== undefined && nowMs - this.#lastScanAtMs <= MAX_SCAN_GAP_MS;
	}

	#ownedCount(): number {
		return [...this.#domains.values()].filter(({heldOwnership, claim}) => heldOwnership !== undefined || claim !== undefined).length;
	}

	#ownershipRow(epoch: number, writeId: string, released: boolean): OwnershipRow {
		const {processId, datagramAddress, controlAddress} = this.#options;
		return {
			ownerId: processId, epoch, datagram: datagramAddress, control: controlAddress, released, writeId,
		};
	}
}
