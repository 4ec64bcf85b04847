import type {Row} from '@amaranthsail/backing-services';
import type {DomainPlacement} from './ownership-events.js';
import {
	parseOwnershipRow, type LoadSummary, type OwnershipRow, type RenewalRow,
} from './ownership-rows.js';

/** What was last read of a failure domain. */
export type Observation = {
	readonly owner: OwnershipRow | undefined;
	readonly ownershipVersion: number;
	readonly renewal: RenewalRow | undefined;
	readonly renewalVersion: number;
	/** When this state was first read. */
	readonly sinceMs: number;
};

/** A failure domain that this process owns. */
export type Holding = {
	readonly epoch: number;
	readonly ownershipVersion: number;
	sequence: number;
	renewSentAtMs: number;
	/** Send times of renewals without an answer, by write id. */
	readonly renewals: Map<string, number>;
};

/** What an ownership manager knows of one failure domain. */
export type DomainState = {
	readonly placement: DomainPlacement;
	observation: Observation | undefined;
	holding: Holding | undefined;
	claim: {readonly writeId: string; readonly epoch: number; readonly sentAtMs: number} | undefined;
	/** Row that the claim replaces. */
	previous: OwnershipRow | undefined;
	/** This process claims nothing before, after it has given the failure domain up. */
	claimNotBeforeMs: number;
	/** Highest epoch that this process has held; it never holds one twice. */
	lastEpoch: number;
	load: LoadSummary | undefined;
	revision: number;
};

/**
 * Makes the state of a failure domain of which nothing was read yet.
 *
 * @param placement - The failure domain and its region.
 * @returns The state.
 */
export function createDomainState(placement: DomainPlacement): DomainState {
	return {
		placement, observation: undefined, holding: undefined, claim: undefined, previous: undefined, claimNotBeforeMs: Number.NEGATIVE_INFINITY, lastEpoch: 0, load: undefined, revision: 0,
	};
}

/**
 * Compares what was read of a failure domain with what was read before.
 *
 * @param seen - The last observation; undefined starts anew.
 * @param rows - Both rows as read.
 * @param nowMs - Monotonic milliseconds.
 * @returns The observation, which keeps its start while no version has changed.
 */
export function observe(seen: Observation | undefined, rows: {readonly ownership: Row | undefined; readonly renewal: Row | undefined}, nowMs: number): Observation {
	const ownershipVersion = rows.ownership?.version ?? 0;
	const renewalVersion = rows.renewal?.version ?? 0;
	const isSame = seen?.ownershipVersion === ownershipVersion && seen.renewalVersion === renewalVersion;
	return {
		owner: parseOwnershipRow(rows.ownership?.value),
		ownershipVersion,
		renewal: rows.renewal?.value as RenewalRow | undefined,
		renewalVersion,
		sinceMs: isSame ? seen.sinceMs : nowMs,
	};
}

/**
 * Counts the time that a row is unchanged anew.
 *
 * @param domain - The failure domain; updated.
 * @param nowMs - Monotonic milliseconds.
 */
export function restartObservation(domain: DomainState, nowMs: number): void {
	if (domain.observation !== undefined) {
		domain.observation = {...domain.observation, sinceMs: nowMs};
	}
}
