import type {DeclaredRack, Guarantee, SchedulerConfig, SchedulingPolicy} from '@amaranthsail/scheduler';
import type {ConfigSnapshot} from './config-snapshot.js';
import {type PolicySpec, policyV1} from './schemas/policy.js';

/** Policy of failure domains to which no policy record applies. */
export const BUILT_IN_POLICY: PolicySpec = policyV1.parse({
	ordering: 'balanced',
	weights: {
		completion: 1, fragmentation: 1, peak: 1, shortWork: 1,
	},
});

/**
 * Selects the policy of a failure domain: the policy that lists it, else the default policy, else the built-in policy.
 *
 * @param snapshot - The configuration.
 * @param failureDomain - The failure domain.
 * @returns The policy as the scheduler expects it.
 */
export function schedulingPolicyOf(snapshot: ConfigSnapshot, failureDomain: string): SchedulingPolicy {
	const policies = [...snapshot.records.Policy.values()];
	const spec = policies.find(({failureDomains}) => failureDomains?.includes(failureDomain))
		?? policies.find(({failureDomains}) => failureDomains === undefined)
		?? BUILT_IN_POLICY;
	return {
		ordering: spec.ordering,
		weights: spec.weights,
		shortLaneShare: spec.lanes.shortShare,
		maxWaitingPerAccount: spec.limits.maxWaitingPerAccount,
		checkpointGraceMs: spec.grace.checkpointMs,
		stragglerFactor: spec.stragglerFactor,
	};
}

/**
 * Lists the guarantees of a failure domain.
 *
 * @param snapshot - The configuration.
 * @param failureDomain - The failure domain.
 * @returns Its guarantees, sorted by name.
 */
export function guaranteesOf(snapshot: ConfigSnapshot, failureDomain: string): readonly Guarantee[] {
	return sortByName(snapshot.records.Guarantee)
		.filter(([, spec]) => spec.failureDomain === failureDomain)
		.map(([name, spec]) => ({name, ...spec}));
}

/**
 * Lists the declared racks of a failure domain.
 *
 * @param snapshot - The configuration.
 * @param failureDomain - The failure domain.
 * @returns Its racks, sorted by name; empty when the failure domain is not declared.
 */
export function declaredRacksOf(snapshot: ConfigSnapshot, failureDomain: string): readonly DeclaredRack[] {
	const spec = snapshot.records.FailureDomain.get(failureDomain);
	return sortByName(Object.entries(spec?.racks ?? {})).map(([rack, {workers}]) => ({rack, workers}));
}

/**
 * Derives the scheduler's configuration for a failure domain.
 *
 * @param snapshot - The configuration.
 * @param failureDomain - The failure domain.
 * @returns The policy and the guarantees of the failure domain, and all accounts.
 */
export function schedulerConfigOf(snapshot: ConfigSnapshot, failureDomain: string): SchedulerConfig {
	return {
		policy: schedulingPolicyOf(snapshot, failureDomain),
		guarantees: guaranteesOf(snapshot, failureDomain),
		accounts: sortByName(snapshot.records.ClientAccount)
			.map(([account, {weight, maxAccelerators}]) => ({account, weight, maxAccelerators})),
	};
}

function sortByName<Spec>(entries: Iterable<[string, Spec]>): ReadonlyArray<[string, Spec]> {
	return [...entries].toSorted(([left], [right]) => (left < right ? -1 : 1));
}
