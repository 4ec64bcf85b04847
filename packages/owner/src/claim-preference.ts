import {sha256Of} from '@amaranthsail/core';

/** Claim delay for each failure domain that the entry already owns, so that domains spread over the entries. Larger than the jitter. */
export const CLAIM_DELAY_PER_OWNED_MS = 250;

/** Claim delay for an entry inside the failure domain, whose loss would take down the owner as well. */
export const CLAIM_DELAY_SAME_DOMAIN_MS = 400;

/** Claim delay for an entry in another region. */
export const CLAIM_DELAY_OTHER_REGION_MS = 800;

/** Range of the jitter that keeps two entries from claiming at the same time. */
export const CLAIM_JITTER_MS = 200;

/** An entry that may claim a failure domain. */
export type ClaimCandidate = {
	readonly processId: string;
	readonly region: string;
	/** Failure domain of the entry. */
	readonly failureDomain: string;
	/** Number of failure domains that it owns or is claiming. */
	readonly ownedCount: number;
};

/**
 * Computes how long an entry waits before it claims a free failure domain.
 *
 * @param candidate - The entry.
 * @param target - The failure domain and its region.
 * @returns Milliseconds; the same for the same arguments.
 */
export function claimDelayMs(candidate: ClaimCandidate, target: {readonly failureDomain: string; readonly region: string}): number {
	const jitterMs = Number.parseInt(sha256Of(`${candidate.processId}/${target.failureDomain}`).slice(0, 8), 16) % CLAIM_JITTER_MS;
	const ownedDelayMs = candidate.ownedCount * CLAIM_DELAY_PER_OWNED_MS;
	if (candidate.region !== target.region) {
		return CLAIM_DELAY_OTHER_REGION_MS + ownedDelayMs + jitterMs;
	}

	return (candidate.failureDomain === target.failureDomain ? CLAIM_DELAY_SAME_DOMAIN_MS : 0) + ownedDelayMs + jitterMs;
}
