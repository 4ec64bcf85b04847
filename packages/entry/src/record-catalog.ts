import type {JobSpec} from '@amaranthsail/core';
import {declaredRacksOf, guaranteesOf, schedulingPolicyOf, type ConfigSnapshot} from '@amaranthsail/records';
import {DeclaredCapacity, type EmptyClusterRefusal, type SchedulingPolicy} from '@amaranthsail/scheduler';
import type {Catalog, ServiceDefinition} from './catalog.js';

/** {@link Catalog} of one configuration snapshot. */
export class RecordCatalog implements Catalog {
	readonly #snapshot: ConfigSnapshot;
	readonly #capacities = new Map<string, DeclaredCapacity>();

	/**
	 * @param snapshot - The configuration in force.
	 */
	constructor(snapshot: ConfigSnapshot) {
		this.#snapshot = snapshot;
	}

	get revision(): number {
		return this.#snapshot.revision;
	}

	service(name: string): ServiceDefinition | undefined {
		const spec = this.#snapshot.records.Service.get(name);
		return spec && {operations: new Map(Object.entries(spec.operations))};
	}

	hasAccount(name: string): boolean {
		return this.#snapshot.records.ClientAccount.has(name);
	}

	mayCall(account: string, service: string): boolean {
		const services = this.#snapshot.records.ClientAccount.get(account)?.services;
		return services === undefined || services.includes(service);
	}

	failureDomains(): readonly string[] {
		return [...this.#snapshot.records.FailureDomain.keys()];
	}

	capacityRefusal(failureDomain: string, spec: JobSpec): EmptyClusterRefusal | undefined {
		let capacity = this.#capacities.get(failureDomain);
		if (!capacity) {
			capacity = new DeclaredCapacity(declaredRacksOf(this.#snapshot, failureDomain), guaranteesOf(this.#snapshot, failureDomain));
			this.#capacities.set(failureDomain, capacity);
		}

		return capacity.refusalReason(spec);
	}

	guaranteedAccelerators(account: string, failureDomain: string): number {
		let total = 0;
		for (const guarantee of this.#snapshot.records.Guarantee.values()) {
			if (guarantee.account === account && guarantee.failureDomain === failureDomain) {
				total += guarantee.accelerators * guarantee.count;
			}
		}

		return total;
	}

	maxAccelerators(account: string): number | undefined {
		return this.#snapshot.records.ClientAccount.get(account)?.maxAccelerators;
	}

	policyOf(failureDomain: string): SchedulingPolicy {
		return schedulingPolicyOf(this.#snapshot, failureDomain);
	}
}
