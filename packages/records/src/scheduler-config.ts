import type {DeclaredRack, Guarantee, SchedulerConfig, SchedulingPolicy} from '@amaranthsail/scheduler';
import type {ConfigSnapshot} from './config-snapshot.js';
import {type PolicySpec, policyV1} from './schemas/policy.js';

/** In force where no policy record applies. */
export const BUILT_IN_POLICY: PolicySpec = policyV1.parse({
	ordering: 'balanced',
	weights: {
		completion: 1, fragmentation: 1, peak: 1, shortWork: 1,
	},
});

/**
 * Selects the policy of a failure domain: the one that names it, else the default one, else the built-in one.
 *
 * @param snapshot - The configuration.
 * @param failureDomain - The failure domain.
 * @returns The policy in the form of the scheduler.
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
 * @returns Its guarantees in the order of their names.
 */
export function guaranteesOf(snapshot: ConfigSnapshot, failureDomain: string): readonly Guarantee[] {
	return sorted(snapshot.records.Guarantee)
		.filter(([, spec]) => spec.failureDomain === failureDomain)
		.map(([name, spec]) => ({name, ...spec}));
}

/**
 * Lists the declared racks of a failure domain.
 *
 * @param snapshot - The configuration.
 * @param failureDomain - The failure domain.
 * @returns Its racks in the order of their names; empty when the failure domain is not declared.
 */
export function declaredRacksOf(snapshot: ConfigSnapshot, failureDomain: string): readonly DeclaredRack[] {
	const spec = snapshot.records.FailureDomain.get(failureDomain);
	return sorted(Object.entries(spec?.racks ?? {})).map(([rack, {workers}]) => ({rack, workers}));
}

/**
 * Derives what the scheduler of a failure domain takes from the configuration.
 *
 * @param snapshot - The configuration.
 * @param failureDomain - The failure domain.
 * @returns Policy, guarantees of the failure domain, and all accounts.
 */
export function schedulerConfigOf(snapshot: ConfigSnapshot, failureDomain: string): SchedulerConfig {
	return {
		policy: schedulingPolicyOf(snapshot, failureDomain),
		guarantees: guaranteesOf(snapshot, failureDomain),
		accounts: sorted(snapshot.records.ClientAccount)
			.map(([account, {weight, maxAccelerators}]) => ({account, weight, maxAccelerators})),
	};
}

function sorted<Spec>(entries: Iterable<[string, Spec]>): ReadonlyArray<[string, Spec]> {
	return [...entries].toSorted(([left], [right]) => (left < right ? -1 : 1));
}
