import type {Row} from '@amaranthsail/backing-services';
import type {DomainLocation} from './ownership-events.js';
import {
	parseOwnershipRow, type LoadSummary, type OwnershipRow, type RenewalRow,
} from './ownership-rows.js';

/** The ownership state of a failure domain as last read from the store. */
export type Observation = {
	readonly owner: OwnershipRow | undefined;
	readonly ownershipVersion: number;
	readonly renewal: RenewalRow | undefined;
	readonly renewalVersion: number;
	/** When these row versions were first read, in monotonic milliseconds. */
	readonly unchangedSinceMs: number;
};

/** The ownership of a failure domain by this process. */
export type HeldOwnership = {
	readonly epoch: number;
	readonly ownershipVersion: number;
	sequence: number;
	lastRenewalSentAtMs: number;
	/** Send times of unanswered renewals, by write id. */
	readonly pendingRenewals: Map<string, number>;
};

/** State that an ownership manager keeps for one failure domain. */
export type DomainState = {
	readonly location: DomainLocation;
	observation: Observation | undefined;
	heldOwnership: HeldOwnership | undefined;
	claim: {readonly writeId: string; readonly epoch: number; readonly sentAtMs: number} | undefined;
	/** The ownership row that the claim replaces. */
	previousOwner: OwnershipRow | undefined;
	/** This process does not claim the failure domain before this time; set when it releases the domain, so that other entries claim first. */
	earliestClaimAtMs: number;
	/** Highest epoch under which this process has owned the failure domain; an epoch is never used twice. */
	highestHeldEpoch: number;
	load: LoadSummary | undefined;
	revision: number;
};

/**
 * Creates the state of a failure domain whose rows have not been read yet.
 *
 * @param location - The failure domain and its region.
 * @returns The state.
 */
export function createDomainState(location: DomainLocation): DomainState {
	return {
		location, observation: undefined, heldOwnership: undefined, claim: undefined, previousOwner: undefined,
		earliestClaimAtMs: Number.NEGATIVE_INFINITY, highestHeldEpoch: 0, load: undefined, revision: 0,
	};
}

/**
 * Updates the observation of a failure domain with newly read rows.
 *
 * @param previousObservation - The last observation; undefined restarts the observation time.
 * @param rows - Both rows as read.
 * @param nowMs - Monotonic milliseconds.
 * @returns The observation; its start time is kept while both row versions are unchanged.
 */
export function updateObservation(previousObservation: Observation | undefined, rows: {readonly ownership: Row | undefined; readonly renewal: Row | undefined}, nowMs: number): Observation {
	const ownershipVersion = rows.ownership?.version ?? 0;
	const renewalVersion = rows.renewal?.version ?? 0;
	const isSame = previousObservation?.ownershipVersion === ownershipVersion && previousObservation.renewalVersion === renewalVersion;
	return {
		owner: parseOwnershipRow(rows.ownership?.value),
		ownershipVersion,
		renewal: rows.renewal?.value as RenewalRow | undefined,
		renewalVersion,
		unchangedSinceMs: isSame ? previousObservation.unchangedSinceMs : nowMs,
	};
}

/**
 * Restarts the period for which the rows of a failure domain count as unchanged.
 *
 * @param domain - The failure domain; updated.
 * @param nowMs - Monotonic milliseconds.
 */
export function restartObservation(domain: DomainState, nowMs: number): void {
	if (domain.observation !== undefined) {
		domain.observation = {...domain.observation, unchangedSinceMs: nowMs};
	}
}
