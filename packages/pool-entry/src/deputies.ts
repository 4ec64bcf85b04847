/** An entry as the leader knows it from its last call. */
export type KnownEntry = {
	readonly address: string;
	readonly failureDomain: string;
	/** Processor capacity of its VM. */
	readonly cores: number;
};

/** Number of entries that monitor the leader closely; with one in each of three failure domains lost, some are left. */
const DEPUTY_COUNT = 8;

/**
 * Chooses the entries that monitor the leader closely and replace it first. The others call it less often, so that the
 * leader's load from these calls does not grow with the number of entries.
 *
 * @param entries - The entries that have called the leader recently.
 * @returns Addresses of the largest entries, taken from the failure domains in turn.
 */
export function chooseDeputies(entries: readonly KnownEntry[]): ReadonlySet<string> {
	const byDomain = new Map<string, KnownEntry[]>();
	for (const entry of entries.toSorted((left, right) => right.cores - left.cores || (left.address < right.address ? -1 : 1))) {
		const inDomain = byDomain.get(entry.failureDomain) ?? [];
		inDomain.push(entry);
		byDomain.set(entry.failureDomain, inDomain);
	}

	const deputies = new Set<string>();
	for (let rank = 0; deputies.size < Math.min(DEPUTY_COUNT, entries.length); rank++) {
		for (const inDomain of byDomain.values()) {
			const entry = inDomain[rank];
			if (entry && deputies.size < DEPUTY_COUNT) {
				deputies.add(entry.address);
			}
		}
	}

	return deputies;
}
