import {OWNERSHIP_CLAIM_AFTER_MS, OWNERSHIP_RENEWAL_INTERVAL_MS, OWNERSHIP_VALIDITY_MS} from '@amaranthsail/core';
import {claimDelayMs} from './claim-preference.js';
import {createDomainState, observe, restartObservation, type DomainState, type Holding, type Observation} from './domain-state.js';
import type {WriteResult} from './owner-events.js';
import type {
	DomainPlacement, OwnershipEffect, OwnershipEvent, OwnershipManagerOptions,
} from './ownership-events.js';
import {
	ownerAddressOf, type Address, type LoadSummary, type OwnerAddress, type OwnershipRow, type RenewalRow,
} from './ownership-rows.js';
import {claimTransaction, releaseTransaction, renewTransaction} from './ownership-transactions.js';

/** How often the ownership tables are read. */
export const OWNERSHIP_SCAN_INTERVAL_MS = 500;

/** A longer gap between two successful scans restarts the observation: the owner may not have reached the store either. */
export const MAX_SCAN_GAP_MS = 1500;

/** Scans without an answer after which the next one is sent anyway. */
const SCAN_TIMEOUT_MS = 5000;

/** Renewals of one failure domain that may be without an answer. */
const MAX_RENEWALS_IN_FLIGHT = 4;

/** Watches, claims, renews and releases the ownership of failure domains. It does no I/O; times are monotonic milliseconds. */
export class OwnershipManager {
	readonly #options: OwnershipManagerOptions;
	readonly #domains = new Map<string, DomainState>();
	#effects: OwnershipEffect[] = [];
	#scanSentAtMs: number | undefined;
	#nextScanAtMs = Number.NEGATIVE_INFINITY;
	#scannedAtMs: number | undefined;
	#isDraining = false;

	/**
	 * @param options - Identity and addresses of the process.
	 */
	constructor(options: OwnershipManagerOptions) {
		this.#options = options;
	}

	/**
	 * Takes an event.
	 *
	 * @param event - The event.
	 * @param nowMs - Monotonic milliseconds.
	 * @returns The effects to carry out, in order.
	 */
	handle(event: OwnershipEvent, nowMs: number): readonly OwnershipEffect[] {
		switch (event.kind) {
			case 'configure': {
				this.#configure(event.domains);
				break;
			}

			case 'scanned': {
				this.#scanned(event, nowMs);
				break;
			}

			case 'scanFailed': {
				this.#scanSentAtMs = undefined;
				break;
			}

			case 'writeResult': {
				this.#writeResult(event, nowMs);
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
	 * Does what is due: scans, renewals and claims.
	 *
	 * @param nowMs - Monotonic milliseconds.
	 * @returns The effects to carry out, in order.
	 */
	tick(nowMs: number): readonly OwnershipEffect[] {
		const isScanOverdue = this.#scanSentAtMs !== undefined && nowMs - this.#scanSentAtMs >= SCAN_TIMEOUT_MS;
		if (nowMs >= this.#nextScanAtMs && (this.#scanSentAtMs === undefined || isScanOverdue)) {
			this.#scanSentAtMs = nowMs;
			this.#nextScanAtMs = nowMs + OWNERSHIP_SCAN_INTERVAL_MS;
			this.#effects.push({kind: 'scan'});
		}

		for (const domain of this.#domains.values()) {
			this.#renewWhenDue(domain, nowMs);
			this.#claimWhenDue(domain, nowMs);
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
		if (domain?.holding !== undefined) {
			return ownerAddressOf(this.#ownershipRow(domain.holding.epoch, '', false));
		}

		const owner = domain?.observation?.owner;
		// A row of this process that it does not hold is one that it has given up.
		return owner === undefined || owner.released || owner.ownerId === this.#options.processId
			? undefined
			: ownerAddressOf(owner);
	}

	/**
	 * Tells under which epoch this process owns a failure domain.
	 *
	 * @param failureDomain - The failure domain.
	 * @returns The epoch, or undefined when it is not held.
	 */
	heldEpoch(failureDomain: string): number | undefined {
		return this.#domains.get(failureDomain)?.holding?.epoch;
	}

	/**
	 * Lists the load of each failure domain as its owner last wrote it.
	 *
	 * @returns Load by failure domain.
	 */
	loads(): ReadonlyMap<string, LoadSummary> {
		return new Map([...this.#domains].flatMap(([failureDomain, {holding, load, observation}]) => {
			const current = holding === undefined ? observation?.renewal?.load : load;
			return current === undefined ? [] : [[failureDomain, current] as const];
		}));
	}

	#configure(domains: readonly DomainPlacement[]): void {
		const named = new Set(domains.map(({failureDomain}) => failureDomain));
		for (const placement of domains) {
			const known = this.#domains.get(placement.failureDomain);
			this.#domains.set(placement.failureDomain, known === undefined ? createDomainState(placement) : {...known, placement});
		}

		for (const [failureDomain, {holding, claim}] of this.#domains) {
			if (!named.has(failureDomain) && holding === undefined && claim === undefined) {
				this.#domains.delete(failureDomain);
			}
		}
	}

	#scanned(event: Extract<OwnershipEvent, {readonly kind: 'scanned'}>, nowMs: number): void {
		this.#scanSentAtMs = undefined;
		const isAfterGap = this.#scannedAtMs !== undefined && nowMs - this.#scannedAtMs > MAX_SCAN_GAP_MS;
		this.#scannedAtMs = nowMs;
		const ownership = new Map(event.ownership.map(row => [row.key, row]));
		const renewals = new Map(event.renewals.map(row => [row.key, row]));
		for (const [failureDomain, domain] of this.#domains) {
			const seen = isAfterGap ? undefined : domain.observation;
			domain.observation = observe(seen, {ownership: ownership.get(failureDomain), renewal: renewals.get(failureDomain)}, nowMs);
			this.#compareWithHolding(domain, domain.observation, event.sentAtMs);
		}
	}

	#compareWithHolding(domain: DomainState, observation: Observation, scanSentAtMs: number): void {
		const {owner, ownershipVersion} = observation;
		const {holding} = domain;
		if (holding !== undefined) {
			if (ownershipVersion > holding.ownershipVersion) {
				this.#drop(domain);
			}

			return;
		}

		// A claim whose acknowledgement was lost shows in the row.
		if (owner?.ownerId === this.#options.processId && !owner.released && owner.epoch > domain.lastEpoch) {
			this.#hold(domain, owner.epoch, ownershipVersion, {claimedAtMs: domain.claim?.sentAtMs ?? scanSentAtMs, isSendTimeKnown: domain.claim !== undefined});
			return;
		}

		if (domain.claim !== undefined && domain.claim.sentAtMs + OWNERSHIP_CLAIM_AFTER_MS < scanSentAtMs) {
			domain.claim = undefined;
		}
	}

	#writeResult(event: Extract<OwnershipEvent, {readonly kind: 'writeResult'}>, nowMs: number): void {
		const domain = this.#domains.get(event.failureDomain);
		if (domain === undefined) {
			return;
		}

		const {holding, claim} = domain;
		if (claim?.writeId === event.writeId) {
			this.#claimResult(domain, claim, event.result, nowMs);
			return;
		}

		const sentAtMs = holding?.renewals.get(event.writeId);
		if (holding === undefined || sentAtMs === undefined) {
			return;
		}

		holding.renewals.delete(event.writeId);
		if (event.result.kind === 'committed') {
			this.#validate(domain, holding, sentAtMs);
		} else if (event.result.kind === 'conditionFailed') {
			this.#drop(domain);
			restartObservation(domain, nowMs);
		}
	}

	#claimResult(domain: DomainState, claim: NonNullable<DomainState['claim']>, result: WriteResult, nowMs: number): void {
		if (result.kind === 'committed') {
			this.#hold(domain, claim.epoch, result.versions[0] ?? 0, {claimedAtMs: claim.sentAtMs, isSendTimeKnown: true});
			return;
		}

		// After an unknown result the next scans show whether the claim took effect.
		if (result.kind !== 'unknown') {
			domain.claim = undefined;
			// The observation was out of date; another claim on the strength of it would fail as well.
			restartObservation(domain, nowMs);
		}
	}

	#hold(domain: DomainState, epoch: number, ownershipVersion: number, time: {readonly claimedAtMs: number; readonly isSendTimeKnown: boolean}): void {
		const {previous} = domain;
		const {claimedAtMs, isSendTimeKnown} = time;
		domain.claim = undefined;
		domain.lastEpoch = epoch;
		domain.holding = {
			epoch, ownershipVersion, sequence: 0, renewSentAtMs: Number.NEGATIVE_INFINITY, renewals: new Map(),
		};
		const {failureDomain} = domain.placement;
		this.#effects.push({
			kind: 'claimed', failureDomain, epoch, ownershipVersion, claimedAtMs,
			// An owner that released the failure domain, or this process itself, sends nothing more under the old epoch.
			previous: previous === undefined || previous.released || previous.ownerId === this.#options.processId ? undefined : previous,
		});
		// Without the send time of the claim, other entries may have watched the row for longer; the first renewal gives validity.
		if (isSendTimeKnown) {
			this.#validate(domain, domain.holding, claimedAtMs);
		}
	}

	#validate(domain: DomainState, holding: Holding, sentAtMs: number): void {
		this.#effects.push({
			kind: 'validity', failureDomain: domain.placement.failureDomain, epoch: holding.epoch,
			validity: {kind: 'valid', validUntilMs: sentAtMs + OWNERSHIP_VALIDITY_MS, renewedAtMs: sentAtMs},
		});
	}

	#drop(domain: DomainState): void {
		if (domain.holding === undefined) {
			return;
		}

		this.#effects.push({
			kind: 'validity', failureDomain: domain.placement.failureDomain, epoch: domain.holding.epoch, validity: {kind: 'lost'},
		});
		domain.holding = undefined;
	}

	#stepDown(event: Extract<OwnershipEvent, {readonly kind: 'stepDown' | 'ownershipLost'}>): void {
		const domain = this.#domains.get(event.failureDomain);
		const epoch = domain?.holding?.epoch;
		const isOlder = epoch !== undefined && (event.kind === 'stepDown' ? epoch < event.epoch : epoch === event.epoch);
		if (domain !== undefined && isOlder) {
			this.#drop(domain);
		}
	}

	#release(failureDomain: string | undefined, nowMs: number): void {
		for (const domain of this.#domains.values()) {
			const {holding, placement} = domain;
			if (holding === undefined || (failureDomain !== undefined && placement.failureDomain !== failureDomain)) {
				continue;
			}

			// The core stops before the row says so; otherwise a new owner could count on it too early.
			this.#drop(domain);
			// Others come first; without any, this process takes it back.
			domain.claimNotBeforeMs = nowMs + OWNERSHIP_CLAIM_AFTER_MS;
			const writeId = this.#options.newId();
			this.#effects.push({
				kind: 'write', purpose: 'release', failureDomain: placement.failureDomain,
				transaction: releaseTransaction(placement.failureDomain, holding.ownershipVersion, this.#ownershipRow(holding.epoch, writeId, true)),
			});
		}
	}

	#renewWhenDue(domain: DomainState, nowMs: number): void {
		const {holding, placement: {failureDomain}} = domain;
		if (holding === undefined || nowMs - holding.renewSentAtMs < OWNERSHIP_RENEWAL_INTERVAL_MS) {
			return;
		}

		for (const [writeId, sentAtMs] of holding.renewals) {
			// A renewal that old cannot extend the validity any more.
			if (nowMs - sentAtMs >= OWNERSHIP_VALIDITY_MS && holding.renewals.size >= MAX_RENEWALS_IN_FLIGHT) {
				holding.renewals.delete(writeId);
			}
		}

		if (holding.renewals.size >= MAX_RENEWALS_IN_FLIGHT) {
			return;
		}

		const writeId = this.#options.newId();
		holding.sequence += 1;
		holding.renewSentAtMs = nowMs;
		holding.renewals.set(writeId, nowMs);
		const row: RenewalRow = {
			ownerId: this.#options.processId, epoch: holding.epoch, sequence: holding.sequence, load: domain.load, revision: domain.revision, writeId,
		};
		this.#effects.push({
			kind: 'write', purpose: 'renew', failureDomain, transaction: renewTransaction(failureDomain, holding.ownershipVersion, row),
		});
	}

	#claimWhenDue(domain: DomainState, nowMs: number): void {
		const {observation, placement, claim} = domain;
		if (this.#isDraining || observation === undefined || domain.holding !== undefined || claim !== undefined || !this.#isFresh(nowMs) || nowMs < domain.claimNotBeforeMs) {
			return;
		}

		const {owner, sinceMs} = observation;
		const isFree = owner === undefined || owner.released;
		const {processId, region, failureDomain} = this.#options;
		const delayMs = claimDelayMs({
			processId, region, failureDomain, ownedCount: this.#ownedCount(),
		}, placement);
		// A renewal since the last scan makes the claim fail, so the time since then may be counted.
		if (nowMs - sinceMs < (isFree ? 0 : OWNERSHIP_CLAIM_AFTER_MS) + delayMs) {
			return;
		}

		const writeId = this.#options.newId();
		const epoch = (owner?.epoch ?? 0) + 1;
		domain.claim = {writeId, epoch, sentAtMs: nowMs};
		domain.previous = owner;
		const renewal: RenewalRow = {
			ownerId: processId, epoch, sequence: 0, load: domain.load, revision: domain.revision, writeId,
		};
		this.#effects.push({
			kind: 'write', purpose: 'claim', failureDomain: placement.failureDomain,
			transaction: claimTransaction(placement.failureDomain, observation, this.#ownershipRow(epoch, writeId, false), renewal),
		});
	}

	#isFresh(nowMs: number): boolean {
		return this.#scannedAtMs !== undefined && nowMs - this.#scannedAtMs <= MAX_SCAN_GAP_MS;
	}

	#ownedCount(): number {
		return [...this.#domains.values()].filter(({holding, claim}) => holding !== undefined || claim !== undefined).length;
	}

	#ownershipRow(epoch: number, writeId: string, released: boolean): OwnershipRow {
		const {processId, datagramAddress, controlAddress} = this.#options;
		return {
			ownerId: processId, epoch, datagram: datagramAddress, control: controlAddress, released, writeId,
		};
	}
}
