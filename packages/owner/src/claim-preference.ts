import {sha256Of} from '@amaranthsail/core';

/** Added to a claim for each failure domain that the entry already owns, so that domains spread over the entries. Larger than the jitter. */
export const CLAIM_DELAY_PER_OWNED_MS = 250;

/** Added for an entry inside the failure domain: its loss would take down both. */
export const CLAIM_DELAY_SAME_DOMAIN_MS = 400;

/** Added for an entry of another region. */
export const CLAIM_DELAY_OTHER_REGION_MS = 800;

/** Width of the jitter that keeps two entries from claiming at the same moment. */
export const CLAIM_JITTER_MS = 200;

/** Who would claim what. */
export type ClaimCandidate = {
	readonly processId: string;
	readonly region: string;
	/** Failure domain of the entry. */
	readonly failureDomain: string;
	/** Failure domains that it owns or is claiming. */
	readonly ownedCount: number;
};

/**
 * Computes how long an entry waits before it claims a failure domain that is free.
 *
 * @param candidate - The entry.
 * @param target - The failure domain and its region.
 * @returns Milliseconds; the same for the same arguments.
 */
export function claimDelayMs(candidate: ClaimCandidate, target: {readonly failureDomain: string; readonly region: string}): number {
	const jitterMs = Number.parseInt(sha256Of(`${candidate.processId}/${target.failureDomain}`).slice(0, 8), 16) % CLAIM_JITTER_MS;
	const balanceMs = candidate.ownedCount * CLAIM_DELAY_PER_OWNED_MS;
	if (candidate.region !== target.region) {
		return CLAIM_DELAY_OTHER_REGION_MS + balanceMs + jitterMs;
	}

	return (candidate.failureDomain === target.failureDomain ? CLAIM_DELAY_SAME_DOMAIN_MS : 0) + balanceMs + jitterMs;
}
